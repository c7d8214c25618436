package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Bounds of the small deployments of the users' pages that the stand-ins use.
const (
	heartbeatMs   = 1500
	holdMax       = 6 * time.Second
	stopTimeout   = 900 * time.Millisecond
	upkeepTime    = 2 * time.Second
	moveTime      = 1500 * time.Millisecond
	finishTime    = 14 * time.Second
	contactTime   = 3 * time.Second
	answerTimeout = time.Second
)

// node is a machine with one process for each role.
type node struct {
	ip             string
	disk           bool
	control, entry *process
}

// site is a small deployment: five machines, three of them with a disk.
type site struct {
	rec     *record
	root    string
	folder  string
	trouble bool

	network  string
	port     int
	nodes    []*node
	platform *platform
	mu       sync.Mutex
	workers  []*worker
	runs     *runs
	gangs    *gangs
	// unguarded services have enforces_capacity false.
	unguarded bool
	logs      []*os.File
}

func (s *site) frontend(n *node) string { return fmt.Sprintf("%s:%d", n.ip, s.port) }
func (s *site) control(n *node) string  { return fmt.Sprintf("%s:%d", n.ip, s.port+2) }

func (s *site) controls() (out []string) {
	for _, n := range s.nodes {
		out = append(out, s.control(n))
	}
	return out
}

// free reports whether nothing listens at the ports of an address.
func free(ip string, from, to int) bool {
	for p := from; p <= to; p++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

const (
	machines    = 5
	withDisk    = 3
	firstInner  = 4 // offset of the first port of port_range
	innerPorts  = 8
	platformIP  = 200
	firstWorker = 100
)

// start starts the platform and all processes of the site.
func (s *site) start() {
	s.runs = newRuns(s.rec)
	s.gangs = &gangs{rec: s.rec, all: map[string]*gang{}}
	s.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	s.port = 12000 + rand.IntN(15000)
	for i := range machines {
		n := &node{ip: fmt.Sprintf("%s.%d", s.network, i+1), disk: i < withDisk}
		if !free(n.ip, s.port, s.port+firstInner+innerPorts) {
			fail("ports from %d are in use at %s", s.port, n.ip)
		}
		s.nodes = append(s.nodes, n)
	}
	s.platform = startPlatform(s, fmt.Sprintf("%s.%d:0", s.network, platformIP))
	for i, n := range s.nodes {
		n.control = s.process(n, i, "control")
		n.entry = s.process(n, i, "entry")
	}
	for _, n := range s.nodes {
		n.control.start()
		n.entry.start()
	}
}

func (s *site) process(n *node, i int, role string) *process {
	name := fmt.Sprintf("edge-%d-%s", i, role)
	boot := filepath.Join(s.folder, name+".yaml")
	if err := os.WriteFile(boot, []byte(s.settings(n, i, role)), 0o600); err != nil {
		fail("%v", err)
	}
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		fail("%v", err)
	}
	s.logs = append(s.logs, log)
	root, err := filepath.Abs(s.root)
	if err != nil {
		fail("%v", err)
	}
	return &process{name: name, argv: command(s.root, role), root: root, boot: boot, log: log}
}

// settings returns the settings file of a process, with the fields of the users' page.
func (s *site) settings(n *node, i int, role string) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	zone := fmt.Sprintf("z%d", i%withDisk)
	line("node_name: \"edge-%s-%d\"\nrole: %q\nmachine_class: \"edge\"\nip: %q\nzone: %q\nregion: \"r1\"", zone, i, role, n.ip, zone)
	line("zones:\n  z0: \"r1\"\n  z1: \"r1\"\n  z2: \"r1\"\nlisten:")
	serves := "edge"
	if role == "control" {
		serves = "control"
		line("  control_plane: %q", s.control(n))
	} else {
		line("  frontend: %q\n  readiness: \"%s:%d\"", s.frontend(n), n.ip, s.port+1)
	}
	line("serves:\n  - %q\nport_range:\n  - %d\n  - %d\nseeds:", serves, s.port+firstInner, s.port+firstInner+innerPorts)
	for _, seed := range s.nodes[:withDisk] {
		line("  - %q", s.control(seed))
	}
	line("bootstrap: true\nfault_counted: %t", n.disk)
	if n.disk && role == "control" {
		data := filepath.Join(s.folder, fmt.Sprintf("data-%d", i))
		if err := os.MkdirAll(data, 0o700); err != nil {
			fail("%v", err)
		}
		line("data_dir: %q", data)
	}
	line("limits:\n  cpu_share: 0.6\n  cores: 1\n  memory_mb: 284\n  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 128")
	line("discovery: \"registration\"\nentry: \"vip\"\nheartbeat_ms: %d\nconfig_mode: \"highest\"\ncommands: \"heartbeat\"", heartbeatMs)
	line("contracts: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"sched\", \"advice\", \"upkeep\", \"sharing\"]")
	line("fault_tolerance:\n  machines: 1\n  zones: 0\n  region_count: 0\nbounds:")
	line("  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_timeout_ms: 4000\n  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 6")
	line("  loss_slack_ms: 200\n  config_apply_ms: 2000\n  regression_ms: 250\n  max_stretch_ms: 5000\n  recovery_s: 12\n  hold_max_ms: 6000")
	line("  stop_timeout_ms: 900\n  gang_timeout_ms: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120")
	line("  far_factor: 1.5\n  checkpoint_s: 0.5\n  restore_ms: 600\n  notice_ms: 4500\n  migrate_s: 1.5\n  maintenance_s: 2\n  fencing_required: false")
	line("  lease_ms: 3000\n  thaw_slack_ms: 300\n  pace_after_ms: 100\n  disruption_ms: 4000")
	line("advice: %q", s.platform.adviceAddress)
	line("cloud_api:\n  address: %q\n  rate_per_s: 64.0\n  duties: []\n  duty_per_s: 64.0", s.platform.address)
	return b.String()
}

// stop ends all processes that the case has started. The logs of the processes are kept
// beside the record if KEEP_LOGS names a folder.
func (s *site) stop() {
	for _, n := range s.nodes {
		for _, p := range []*process{n.control, n.entry} {
			if p != nil {
				p.kill()
			}
		}
	}
	for _, log := range s.logs {
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			data, _ := os.ReadFile(log.Name())
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(log.Name())), data, 0o600)
		}
		log.Close()
	}
}

// newClient returns a client that follows two redirects.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
}

// call sends a request. The status is 0 if there was no complete response.
func call(c *http.Client, method, url, host string, body any) (int, []byte) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		fail("%v", err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

type fields = map[string]any

// maxAttempts is the max_attempts of all routes.
const maxAttempts = 3

// route is a route of the configuration.
func route(name, host, prefix, service string, timeoutMs int) fields {
	return fields{
		"name": name, "host": host, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": timeoutMs, "target_latency_ms": 3600,
		"priority": 0, "service": service, "max_attempts": maxAttempts, "stretch": 1.6,
	}
}

// publish sends a configuration until it is acknowledged.
func (s *site) publish(version int, routes []fields, services ...string) {
	var list []fields
	for _, name := range services {
		list = append(list, fields{"name": name, "health_path": "/healthz", "max_connections": 64, "protocol": "h1", "tls": false, "enforces_capacity": !s.unguarded, "standby": false})
	}
	body := fields{
		"version": version, "routes": routes, "services": list,
		"limits": fields{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	client := newClient(answerTimeout)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		address := s.controls()[rand.IntN(machines)]
		status, _ := call(client, "PUT", "http://"+address+"/lacewingturn/config", "", body)
		s.rec.log("operator: PUT version %d to %s: %d", version, address, status)
		if status == 200 {
			return
		}
		if status >= 400 && status < 500 && status != 408 && status != 429 {
			fail("version %d was refused with %d", version, status)
		}
	}
	fail("version %d was not acknowledged", version)
}

// submit sends a job until it is accepted.
func (s *site) submit(host, path string, body fields) {
	client := newClient(3 * time.Second)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		address := s.frontend(s.nodes[rand.IntN(machines)])
		status, _ := call(client, "POST", "http://"+address+path, host, body)
		s.rec.log("client: POST %s to %s: %d", path, address, status)
		if status == 200 {
			return
		}
	}
	fail("the job was not accepted")
}

// state returns the state of a job, or the status of the answer if that is not 200.
func (s *site) state(host, path string) string {
	address := s.frontend(s.nodes[rand.IntN(machines)])
	status, body := call(newClient(3*time.Second), "GET", "http://"+address+path, host, nil)
	var got struct{ State string }
	if status == 200 {
		_ = json.Unmarshal(body, &got)
	} else {
		got.State = fmt.Sprint(status)
	}
	s.rec.log("client: GET %s at %s: %s", path, address, got.State)
	return got.State
}

// wait polls a condition until it holds; the case could not run if it does not.
func (s *site) wait(what string, limit time.Duration, condition func() bool) {
	if !within(limit, condition) {
		fail("not within %s: %s", limit, what)
	}
}

func within(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
