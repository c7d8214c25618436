package crowd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/cmd/internal/faults"
	"lacewingturn.example/platform/settings"
	"lacewingturn.example/platform/standin"
)

const (
	// memoryMB and maxFDs are the limits in the settings of both processes, and the bounds of
	// every test.
	memoryMB = 160
	maxFDs   = 600

	firstPort = 11000
	// answerTimeout is how long an ordinary client repeats a request that gets no answer.
	answerTimeout = 60 * time.Second
)

var queue = standin.Queue{Name: "orders", Prefix: "/orders/", Pool: "workshop", Attempts: 2}

// site is a control process and an entry process on loopback, with a configuration in force.
type site struct {
	t              *testing.T
	settings       standin.ProcessSettings
	control, entry *faults.Process
	operator       *standin.Operator
	caller         *standin.Caller
	sequence       int // of the last heartbeat
}

func startSite(t *testing.T) *site {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.1", 2+rand.IntN(250), rand.IntN(256))
	s := &site{
		t: t, operator: standin.NewOperator([]standin.Queue{queue}, nil), caller: standin.NewCaller(),
		settings: standin.ProcessSettings{Name: "n1", IP: ip, Zone: "z1", Zones: []string{"z1"}, FirstPort: firstPort, Seeds: []string{ip}, Bootstrap: true, MemoryMB: memoryMB, MaxFDs: maxFDs},
	}
	if *scale > 1 {
		s.settings.MemoryMB, s.settings.MaxFDs = standin.DefaultMemoryMB, standin.DefaultMaxFDs
	}
	folder := t.TempDir()
	var pids faults.PIDs
	start := func(role string, p standin.ProcessSettings) *faults.Process {
		file := filepath.Join(folder, role+".yaml")
		assert.NilError(t, p.Write(file))
		process := faults.NewProcess(t, role, &pids, []string{settings.PathVariable + "=" + file}, "platform", role)
		process.Start()
		t.Cleanup(process.Kill)
		return process
	}
	s.entry = start("entry", s.settings)
	control := s.settings
	control.Control, control.DataFolder = true, filepath.Join(folder, "data")
	s.control = start("control", control)
	s.waitUntil("a configuration is in force", func() bool {
		acked, err := s.operator.Publish(t.Context(), s.settings.ControlAddress(), 1)
		return err == nil && acked
	})
	s.waitUntil("the entry process serves callers", s.submitted)
	return s
}

// waitUntil waits for a condition and fails the test if it does not hold in time.
func (s *site) waitUntil(what string, condition func() bool) {
	s.t.Helper()
	if !faults.WaitWithin(answerTimeout, condition) {
		s.t.Fatalf("waited %s in vain until %s", answerTimeout, what)
	}
}

// submitted submits a small workload and reports whether it was accepted.
func (s *site) submitted() bool {
	w := standin.Workload{ID: fmt.Sprintf("%016x", rand.Uint64()), Queue: queue, Steps: 1, Tasks: 1, MilliCPU: 500, Time: time.Second}
	status, _ := s.caller.Submit(s.t.Context(), s.settings.Callers(), w) // an error leaves status 0
	return status == http.StatusOK
}

// ready reports whether the readiness check of the entry process passes.
func (s *site) ready() bool {
	return s.status(http.MethodGet, s.settings.Readiness(), "/lacewingturn/readyz", "") == http.StatusOK
}

// heartbeat sends a heartbeat of a worker and reports whether it was acknowledged.
func (s *site) heartbeat() bool {
	s.sequence++
	body := fmt.Sprintf(`{"service":"workshop","address":"10.1.1.1:80","zone":"z1","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,`+
		`"capacity":{"cpu_millis":16000,"mem_mb":32768,"gpus":0},"labels":["a","r1"],"machine":"m1","clock_ms":%d,"sequence":%d,"born":1700000000000,"running":[],"finished":[]}`, s.sequence, s.sequence)
	return s.status(http.MethodPut, s.settings.ControlAddress(), "/lacewingturn/instances/w1", body) == http.StatusOK
}

// configured reports whether the control process answers a read of the configuration.
func (s *site) configured() bool {
	return s.operator.Version(s.t.Context(), s.settings.ControlAddress()) == 1
}

// status sends a request on a connection of its own and returns the status of the response; 0 without one.
func (s *site) status(method, address, path, body string) int {
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(s.t, err)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// descriptors returns the number of open descriptors of a process.
func descriptors(t *testing.T, p *faults.Process) int {
	t.Helper()
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID()))
	assert.NilError(t, err)
	return len(list)
}
