package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/cmd/internal/faults"
	"lacewingturn.example/operator/client"
	"lacewingturn.example/platform/settings"
	"lacewingturn.example/platform/standin"
)

const (
	firstPort    = 11000
	replicaCount = 3
	nodeCount    = 5 // the nodes after the first replicaCount hold no replica
	workerCount  = 10
	workerCPU    = 16000 // thousandths of a processor
	startTimeout = 20 * time.Second
)

// node is an instance with its control process, its entry process and the relay in
// front of its replica.
type node struct {
	standin.ProcessSettings
	file    string // settings file of the control process
	control *faults.Process
	entry   *faults.Process
	relay   *faults.Relay // nil without a disk
	// operator is a client of only this control process.
	operator *client.Client
}

// system is a running site on loopback.
type system struct {
	t       *testing.T
	nodes   []*node
	workers []*standin.Worker
	cloud   standin.Cloud
	checker *checker
	pids    faults.PIDs
	all     sync.WaitGroup
	ctx     context.Context // ends when the site stops
	cancel  context.CancelFunc
}

// queues lists the queues that workloads are submitted to. The second allows fewer
// attempts, so that its workloads use them up first when runs fail; its callers need no key.
var queues = []standin.Queue{
	{Name: "tickets", Prefix: "/tickets/", Pool: "counter", Attempts: 3},
	{Name: "orders", Prefix: "/orders/", Pool: "workshop", Attempts: 2, Public: true},
}

// startSystem starts all processes on loopback addresses in a network that rng
// chooses, so that sites can run at the same time.
func startSystem(t *testing.T, rng *rand.Rand) *system {
	t.Helper()
	s := &system{t: t, checker: newChecker()}
	ctx, cancel := context.WithCancel(t.Context())
	s.ctx, s.cancel = ctx, cancel
	t.Cleanup(s.stop)
	network := fmt.Sprintf("127.%d.%d", 2+rng.IntN(250), rng.IntN(256))
	cloud, err := net.Listen("tcp", net.JoinHostPort(network+".200", "9000"))
	assert.NilError(t, err)
	server := &http.Server{Handler: s.cloud.Handler()}
	s.all.Go(func() { _ = server.Serve(cloud) }) // returns when the server is closed
	t.Cleanup(func() { _ = server.Close() })
	folder := t.TempDir()
	var seeds []string
	for i := range replicaCount {
		seeds = append(seeds, fmt.Sprintf("%s.%d", network, i+1))
	}
	for i := range nodeCount {
		n := &node{ProcessSettings: standin.ProcessSettings{
			Name: fmt.Sprintf("n%d", i), IP: fmt.Sprintf("%s.%d", network, i+1), Zone: fmt.Sprintf("z%d", i%replicaCount), Zones: []string{"z0", "z1", "z2"},
			FirstPort: firstPort, Seeds: seeds, Bootstrap: true, Cloud: cloud.Addr().String(),
		}}
		s.nodes = append(s.nodes, n)
		s.startNode(n, folder, i < replicaCount)
	}
	s.startWorkers(ctx, network)
	return s
}

func (s *system) startNode(n *node, folder string, disk bool) {
	listen := n.Internal()
	if disk {
		n.DataFolder = filepath.Join(folder, n.Name)
		listen = net.JoinHostPort(n.IP, fmt.Sprint(firstPort+standin.Ports))
		relay, err := faults.NewRelay(n.Internal(), listen, s.pids.List)
		assert.NilError(s.t, err)
		n.relay = relay
	}
	n.file = filepath.Join(folder, n.Name+"-control.yaml")
	entryFile := filepath.Join(folder, n.Name+"-entry.yaml")
	n.write(s.t, true)
	assert.NilError(s.t, n.Write(entryFile))
	operator, err := client.New(client.Settings{Addresses: []string{n.Operator()}, Actor: "soak"})
	assert.NilError(s.t, err)
	n.operator = operator
	n.control = faults.NewProcess(s.t, n.Name+"-control", &s.pids, []string{settings.PathVariable + "=" + n.file, "LACEWINGTURN_INTERNAL_LISTEN=" + listen}, "platform", "control")
	n.entry = faults.NewProcess(s.t, n.Name+"-entry", &s.pids, []string{settings.PathVariable + "=" + entryFile}, "platform", "entry")
	n.control.Start()
	n.entry.Start()
}

// write writes the settings file of the control process.
func (n *node) write(t *testing.T, firstStart bool) {
	control := n.ProcessSettings
	control.Control, control.Bootstrap = true, firstStart
	assert.NilError(t, control.Write(n.file))
}

func (s *system) startWorkers(ctx context.Context, network string) {
	var listed []standin.ListedInstance
	for i := range workerCount {
		queue := queues[i%len(queues)]
		w := standin.NewWorker(standin.Worker{
			Name: fmt.Sprintf("w%d", i), Instance: fmt.Sprintf("m%d", i), Pool: queue.Pool, Address: fmt.Sprintf("%s.%d:80", network, 100+i),
			Zone: fmt.Sprintf("z%d", i%replicaCount), Rack: fmt.Sprintf("r%d", i/4), MilliCPU: workerCPU, Controls: s.controls, Observer: s.checker,
		})
		s.workers = append(s.workers, w)
		listed = append(listed, standin.ListedInstance{Instance: w.Instance, Pool: w.Pool, Worker: w.Name, Zone: w.Zone, Rack: w.Rack, MilliCPU: w.MilliCPU})
		s.all.Go(func() { w.Run(ctx) })
	}
	s.cloud.SetInstances(listed)
}

func (s *system) controls() (out []string) {
	for _, n := range s.nodes {
		out = append(out, n.ControlAddress())
	}
	return out
}

func (s *system) processes() (out []*faults.Process) {
	for _, n := range s.nodes {
		out = append(out, n.control, n.entry)
	}
	return out
}

// stop ends everything that startSystem started. If the test has failed, the logs
// are kept in a temporary folder.
func (s *system) stop() {
	s.cancel()
	s.all.Wait()
	for _, p := range s.processes() {
		if p != nil {
			p.Kill()
		}
	}
	for _, n := range s.nodes {
		if n.relay != nil {
			n.relay.Close()
		}
	}
	if !s.t.Failed() {
		return
	}
	folder, err := os.MkdirTemp("", "lacewingturn-soak-")
	assert.NilError(s.t, err)
	for _, p := range s.processes() {
		assert.NilError(s.t, os.WriteFile(filepath.Join(folder, p.Name+".log"), []byte(p.Log()), 0o600))
	}
	s.t.Logf("logs are in %s", folder)
}

// waitUntil waits for a condition and fails the test if it does not hold in time.
func (s *system) waitUntil(what string, limit time.Duration, condition func() bool) {
	s.t.Helper()
	if !faults.WaitWithin(limit, condition) {
		s.t.Errorf("timed out after %s waiting until %s", limit, what)
	}
}
