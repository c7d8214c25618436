package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program       = "target/lacewingturnd"
	replicas      = 3
	portsEach     = 16
	restartDelay  = 500 * time.Millisecond
	firstPortLow  = 20000
	firstPortHigh = 50000
)

// Offsets of the ports of a machine from the first one.
const (
	controlPort = iota
	frontendPort
	readinessPort
	rangePort
)

// machine is one machine of the system. It runs the roles control and entry, as the deploy
// file says.
type machine struct {
	name string
	ip   string
	role map[string]*exec.Cmd
}

// site is a small deployment on loopback addresses.
type site struct {
	folder   string
	port     int
	cloud    string
	advice   string // empty for none
	machines []*machine
	record   *record
	// reservation keeps the ports from others while the site is there.
	reservation net.Listener

	mu      sync.Mutex // guards the processes
	stopped bool       // no process is started any more
}

// reservePorts returns the first of portsEach ports that are free on all machines, and a
// listener that keeps others from taking them. The processes leave the last port to it.
func reservePorts() (int, net.Listener, error) {
	for port := firstPortLow + os.Getpid()%97*portsEach; port < firstPortHigh; port += portsEach {
		reservation, err := net.Listen("tcp", address(machineIP(0), port+portsEach-1))
		if err != nil {
			continue
		}
		if allFree(port) {
			return port, reservation, nil
		}
		reservation.Close()
	}
	return 0, nil, fmt.Errorf("no free ports")
}

// allFree reports whether all ports but the last are free on all machines.
func allFree(first int) bool {
	for i := range replicas {
		for offset := range portsEach - 1 {
			l, err := net.Listen("tcp", address(machineIP(i), first+offset))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

func machineIP(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// startSite starts the processes of all machines.
func startSite(folder, cloud, advice string, r *record) (*site, error) {
	port, reservation, err := reservePorts()
	if err != nil {
		return nil, err
	}
	s := &site{folder: folder, port: port, reservation: reservation, cloud: cloud, advice: advice, record: r}
	for i := range replicas {
		m := &machine{name: fmt.Sprintf("edge-%d", i+1), ip: machineIP(i), role: map[string]*exec.Cmd{}}
		s.machines = append(s.machines, m)
		for _, role := range []string{"control", "entry"} {
			if err := s.writeSettings(m, role, true); err != nil {
				return s, err
			}
			if err := s.start(m, role); err != nil {
				return s, err
			}
		}
	}
	return s, nil
}

func (s *site) settingsPath(m *machine, role string) string {
	return filepath.Join(s.folder, m.name+"-"+role+".yaml")
}

// writeSettings writes the settings file of a process, with the values of a small deployment.
func (s *site) writeSettings(m *machine, role string, bootstrap bool) error {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	data := ""
	if role == "control" {
		data = filepath.Join(s.folder, m.name)
	}
	line("node_name: %q\nrole: %q\nmachine_class: \"edge\"\nip: %q\nzone: \"z1\"\nregion: \"r1\"\nzones:\n  z1: \"r1\"", m.name, role, m.ip)
	line("listen:\n  frontend: %q\n  readiness: %q\n  control_plane: %q", address(m.ip, s.port+frontendPort), address(m.ip, s.port+readinessPort), address(m.ip, s.port+controlPort))
	line("port_range:\n  - %d\n  - %d\nseeds:", s.port+rangePort, s.port+portsEach-2)
	for _, o := range s.seeds() {
		line("  - %q", o)
	}
	line("bootstrap: %t\nfault_counted: true\ndata_dir: %q", bootstrap, data)
	line("limits:\n  cpu_share: 0.624\n  cores: 1\n  memory_mb: 284\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 128")
	line("discovery: \"registration\"\nentry: \"vip\"\nheartbeat_ms: 1500\ncommands: \"heartbeat\"\nconfig_mode: \"highest\"")
	line("fault_tolerance:\n  machines: 1\n  zones: 0\n  region_count: 0")
	line("bounds:\n  contact_ms: 3000\n  ack_timeout_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 6\n  hold_max_ms: 6000\n  stop_timeout_ms: 900\n  gang_timeout_ms: 3000")
	line("  cancel_ms: 3000\n  visible_ms: 3000\n  finish_s: 14\n  far_factor: 1.5\n  notice_ms: 4500\n  migrate_s: 1.5\n  maintenance_s: 2\n  fencing_required: false\n  lease_ms: 3000")
	if s.advice != "" {
		line("advice: %q", s.advice)
	}
	line("cloud_api:\n  address: %q\n  rate_per_s: 64.0\n  duty_per_s: 64.0", s.cloud)
	return os.WriteFile(s.settingsPath(m, role), []byte(b.String()), 0o600)
}

// seeds returns the control addresses of all machines.
func (s *site) seeds() []string {
	var out []string
	for i := range replicas {
		out = append(out, address(machineIP(i), s.port+controlPort))
	}
	return out
}

// frontends returns the addresses at which entry processes serve clients.
func (s *site) frontends() []string {
	var out []string
	for _, m := range s.machines {
		out = append(out, address(m.ip, s.port+frontendPort))
	}
	return out
}

// start starts one process with the command of the deploy file.
func (s *site) start(m *machine, role string) error {
	log, err := os.OpenFile(filepath.Join(s.folder, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "platform", role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "LACEWINGTURN_BOOT=" + s.settingsPath(m, role)}
	cmd.Stdout, cmd.Stderr = log, log
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.role[role] = cmd
	return nil
}

// byControl returns the machine with the control address; nil if there is none.
func (s *site) byControl(to string) *machine {
	for _, m := range s.machines {
		if address(m.ip, s.port+controlPort) == to {
			return m
		}
	}
	return nil
}

// byName returns the machine that calls itself so; nil if there is none.
func (s *site) byName(name string) *machine {
	for _, m := range s.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// killControl kills the control process of a machine and starts it again after restartDelay.
func (s *site) killControl(m *machine) error { return s.restartControl(m, restartDelay, false) }

// restartControl kills the control process of a machine and starts it again after a time. With
// wipe its disk is empty then.
func (s *site) restartControl(m *machine, after time.Duration, wipe bool) error {
	s.mu.Lock()
	cmd := m.role["control"]
	s.mu.Unlock()
	s.record.add("SIGKILL to the control process of %s", m.name)
	if err := cmd.Process.Kill(); err != nil {
		return err
	}
	_ = cmd.Wait() // killed
	time.Sleep(after)
	if wipe {
		s.record.add("the disk of %s is empty", m.name)
		if err := os.RemoveAll(filepath.Join(s.folder, m.name)); err != nil {
			return err
		}
	}
	if err := s.writeSettings(m, "control", false); err != nil {
		return err
	}
	s.record.add("control process of %s starts again", m.name)
	return s.start(m, "control")
}

// terminateControl sends SIGTERM to the control process of a machine and starts it again once it
// has ended.
func (s *site) terminateControl(m *machine) error {
	s.mu.Lock()
	cmd := m.role["control"]
	s.mu.Unlock()
	s.record.add("SIGTERM to the control process of %s", m.name)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	_ = cmd.Wait() // its exit code does not matter
	if err := s.writeSettings(m, "control", false); err != nil {
		return err
	}
	s.record.add("control process of %s has ended and starts again", m.name)
	return s.start(m, "control")
}

// stop ends all processes.
func (s *site) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, m := range s.machines {
		for _, cmd := range m.role {
			_ = cmd.Process.Kill() // it may have ended
			_ = cmd.Wait()
		}
	}
}
