package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of every machine, as offsets from the first port of the site.
const (
	frontendPort = iota
	readinessPort
	controlPort
	firstFreePort // of a range of freePorts ports between processes
	freePorts     = 8
)

// memoryMB is the memory limit of a process in the settings, as on the small sites.
const memoryMB = 284

// site is a small deployment on loopback: each machine has an address of its own.
type site struct {
	rec       *record
	root      string // folder of the repository
	folder    string // temporary
	port      int    // first port
	tolerated int    // machines with a disk that may be lost at the same time
	cloud     string // address of the platform's interface for machines
	seeds     []string

	mu       sync.Mutex // guards machines
	machines []*machine
}

// machine runs a process of each role.
type machine struct {
	site      *site
	name      string
	ip        string
	zone      string
	disk      bool
	bootstrap bool // the system as a whole starts for the first time
	control   atomic.Pointer[process]
	entry     atomic.Pointer[process]
}

// process is one running process of a machine.
type process struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// newSite chooses free ports and creates the temporary folder.
func newSite(rec *record, root string, tolerated int) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	port, err := freePortRange(firstFreePort + freePorts)
	if err != nil {
		return nil, err
	}
	return &site{rec: rec, root: root, folder: folder, port: port, tolerated: tolerated}, nil
}

// freePortRange returns the first of n successive ports that are free.
func freePortRange(n int) (int, error) {
	const low, high, tries = 21000, 32000, 100
	for range tries {
		if first := low + rand.IntN((high-low)/n)*n; portsFree(first, n) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d successive ports are free", n)
}

func portsFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", net.JoinHostPort(machineIP(1), strconv.Itoa(port)))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

func machineIP(number int) string { return fmt.Sprintf("127.0.77.%d", number) }

// add adds a machine that does not run yet. Its number makes its address.
func (s *site) add(number int, disk, bootstrap bool) *machine {
	m := &machine{
		site: s, name: fmt.Sprintf("edge-%d", number), ip: machineIP(number),
		zone: fmt.Sprintf("z%d", number%3+1), disk: disk, bootstrap: bootstrap,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines = append(s.machines, m)
	return m
}

// list returns the machines in the order in which they were added.
func (s *site) list() []*machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.machines)
}

func (s *site) address(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.port+offset))
}

// controls returns the control addresses of the machines whose control process runs.
func (s *site) controls() (out []string) {
	for _, m := range s.list() {
		if m.control.Load().running() {
			out = append(out, s.address(m.ip, controlPort))
		}
	}
	return out
}

// entries returns the frontend addresses of the machines whose entry process runs.
func (s *site) entries() (out []string) {
	for _, m := range s.list() {
		if m.entry.Load().running() {
			out = append(out, s.address(m.ip, frontendPort))
		}
	}
	return out
}

// stop kills all processes and removes the temporary folder.
func (s *site) stop() {
	for _, m := range s.list() {
		m.kill()
	}
	_ = os.RemoveAll(s.folder) // the system removes temporary folders later
}

// start starts both roles of the machine with the commands of the deploy file.
func (m *machine) start() error {
	control, err := m.run("control")
	if err != nil {
		return err
	}
	m.control.Store(control)
	entry, err := m.run("entry")
	if err != nil {
		return err
	}
	m.entry.Store(entry)
	return nil
}

func (m *machine) run(role string) (*process, error) {
	path := filepath.Join(m.site.folder, m.name+"-"+role+".yaml")
	if err := os.WriteFile(path, []byte(m.settings(role)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(m.site.folder, m.name+"-"+role+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("target/lacewingturnd", "platform", role)
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.site.root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.site.folder, "LACEWINGTURN_BOOT=" + path}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // the record has the exit status
		m.site.rec.add(m.name, role+" ended", cmd.ProcessState.String())
		close(p.done)
	}()
	m.site.rec.add(m.name, role+" started", cmd.Process.Pid)
	return p, nil
}

// settings returns the settings file of a process, as the platform writes it.
func (m *machine) settings(role string) string {
	s := m.site
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node_name: %q\nrole: %q\nmachine_class: \"edge\"\nip: %q\nzone: %q\nregion: \"r\"", m.name, role, m.ip, m.zone)
	line("zones: {z1: \"r\", z2: \"r\", z3: \"r\"}\nlisten:")
	if role == "control" {
		line("  control_plane: %q", s.address(m.ip, controlPort))
	} else {
		line("  frontend: %q\n  readiness: %q", s.address(m.ip, frontendPort), s.address(m.ip, readinessPort))
	}
	line("port_range: [%d, %d]\nseeds:", s.port+firstFreePort, s.port+firstFreePort+freePorts-1)
	for _, ip := range s.seeds {
		line("  - %q", s.address(ip, controlPort))
	}
	line("bootstrap: %t\nfault_counted: %t", m.bootstrap, m.disk)
	line("limits: {cpu_share: 0.624, cores: 1, memory_mb: %d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 128}", memoryMB)
	if m.disk && role == "control" {
		line("data_dir: %q", filepath.Join(s.folder, m.name+"-data"))
	}
	line("discovery: \"registration\"\nentry: \"vip\"\nheartbeat_ms: 1500")
	line("contracts: [base, drain, config, cost, recover, sched, advice, upkeep, sharing]")
	line("fault_tolerance: {machines: %d, zones: 0, region_count: 0}", s.tolerated)
	line("bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_timeout_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 6,")
	line("  loss_slack_ms: 200, config_apply_ms: 2000, regression_ms: 250, max_stretch_ms: 5000, recovery_s: 12, hold_max_ms: 6000,")
	line("  stop_timeout_ms: 900, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120,")
	line("  far_factor: 1.5, checkpoint_s: 0.5, restore_ms: 600, notice_ms: 4500, migrate_s: 1.5, maintenance_s: 2,")
	line("  fencing_required: false, lease_ms: 3000, thaw_slack_ms: 300, pace_after_ms: 100, disruption_ms: 4000}")
	line("config_mode: \"highest\"\ncommands: \"heartbeat\"\nadvice: \"\"")
	line("cloud_api: {address: %q, rate_per_s: 64.0, duties: [], duty_per_s: 64.0}", s.cloud)
	return b.String()
}

// kill ends both processes at once, like a loss of power.
func (m *machine) kill() {
	for _, p := range []*process{m.control.Load(), m.entry.Load()} {
		if p.running() {
			_ = p.cmd.Process.Kill() // it may have ended meanwhile
			<-p.done
		}
	}
}

// term sends SIGTERM to both processes, and SIGKILL after the grace period.
func (m *machine) term() {
	for _, p := range []*process{m.control.Load(), m.entry.Load()} {
		if p.running() {
			_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended meanwhile
		}
	}
	deadline := time.After(6 * time.Second)
	for _, p := range []*process{m.control.Load(), m.entry.Load()} {
		if p == nil {
			continue
		}
		select {
		case <-p.done:
		case <-deadline:
			m.kill()
			return
		}
	}
}

func (p *process) running() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// residentMB returns the resident memory of the process in MB, without the pages of files, as the
// program itself; 0 if it has ended.
func (p *process) residentMB() int {
	if !p.running() {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 3 {
		return 0
	}
	resident, _ := strconv.Atoi(fields[1]) // 0 if it is no number
	files, _ := strconv.Atoi(fields[2])
	return (resident - files) * os.Getpagesize() >> 20
}
