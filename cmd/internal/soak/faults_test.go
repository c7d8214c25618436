package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"lacewingturn.example/cmd/internal/faults"
	"lacewingturn.example/node/wait"
	"lacewingturn.example/platform/standin"
)

const (
	// maxFault is the longest time that a fault lasts.
	maxFault = 4 * time.Second
	// maxPause is the longest time between the starts of two faults.
	maxPause = 1200 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 6 * time.Second
)

// faultInjector injects overlapping faults. One goroutine calls inject, which draws
// them from rng; only that goroutine uses rng.
type faultInjector struct {
	*system
	rng      *rand.Rand
	all      sync.WaitGroup
	mu       sync.Mutex // guards reserved
	reserved map[*faults.Process]bool
}

// supervise restarts processes that have ended by themselves, as the platform
// does, until ctx ends. It leaves out processes that a fault has reserved.
func (s *faultInjector) supervise(ctx context.Context) {
	for wait.Sleep(ctx, restartDelay) == nil {
		for _, p := range s.processes() {
			if s.reserve(p) == nil {
				continue
			}
			if !p.Running() {
				s.checker.recordFault()
				p.Start()
			}
			s.release(p)
		}
	}
}

// inject injects faults for the duration d and returns when all of them have ended.
func (s *faultInjector) inject(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	kinds := []func(){
		s.kill, s.kill, s.pause, s.terminate, s.reload, s.cut, s.cutOneWay, s.silence, s.reset, s.delay, s.wipe, s.fullDisk, s.killReplicas,
		s.crashWorker, s.disconnectWorker, s.drainWorker,
	}
	for time.Now().Before(end) {
		s.checker.recordFault()
		kinds[s.rng.IntN(len(kinds))]()
		if wait.Sleep(ctx, time.Duration(s.rng.Int64N(int64(maxPause)))) != nil {
			break
		}
	}
	s.all.Wait()
	s.checker.recordFault()
}

func (s *faultInjector) duration() time.Duration {
	return 100*time.Millisecond + time.Duration(s.rng.Int64N(int64(maxFault)))
}

// runFault begins a fault and ends it after a random time.
func (s *faultInjector) runFault(begin, end func()) {
	d := s.duration()
	begin()
	s.all.Go(func() {
		_ = wait.Sleep(s.t.Context(), d) // the fault ends early if the test ends
		end()
		s.checker.recordFault()
	})
}

// reserve reserves the process for one fault and returns it; nil if another fault
// has reserved it.
func (s *faultInjector) reserve(p *faults.Process) *faults.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reserved[p] {
		return nil
	}
	s.reserved[p] = true
	return p
}

func (s *faultInjector) release(p *faults.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, p)
}

func (s *faultInjector) anyProcess() *faults.Process {
	list := s.processes()
	return s.reserve(list[s.rng.IntN(len(list))])
}

func (s *faultInjector) anyReplicaNode() *node { return s.nodes[s.rng.IntN(replicaCount)] }

func (s *faultInjector) kill() {
	if p := s.anyProcess(); p != nil {
		s.runFault(p.Kill, func() { p.Start(); s.release(p) })
	}
}

// signal sends a signal to a process unless it has ended by itself.
func signal(p *faults.Process, sig syscall.Signal) {
	if p.Running() {
		p.Signal(sig)
	}
}

func (s *faultInjector) pause() {
	if p := s.anyProcess(); p != nil {
		s.runFault(func() { signal(p, syscall.SIGSTOP) }, func() { signal(p, syscall.SIGCONT); s.release(p) })
	}
}

func (s *faultInjector) terminate() {
	p := s.anyProcess()
	if p == nil {
		return
	}
	signal(p, syscall.SIGTERM)
	s.all.Go(func() {
		timer := time.AfterFunc(stopGrace, p.Kill)
		_ = p.Wait() // being killed after the grace period is not a failure in this test
		timer.Stop()
		p.Start()
		s.release(p)
	})
}

func (s *faultInjector) reload() {
	if p := s.anyProcess(); p != nil {
		signal(p, syscall.SIGHUP)
		s.release(p)
	}
}

func (s *faultInjector) cut() {
	r := s.anyReplicaNode().relay
	s.runFault(func() { r.Cut(faults.Both) }, r.Heal)
}

func (s *faultInjector) cutOneWay() {
	r := s.anyReplicaNode().relay
	direction := []faults.Direction{faults.ToServer, faults.ToClient}[s.rng.IntN(2)]
	s.runFault(func() { r.Cut(direction) }, r.Heal)
}

func (s *faultInjector) silence() { s.anyReplicaNode().relay.SilenceOpenConnections() }

func (s *faultInjector) reset() { s.anyReplicaNode().relay.ResetOpenConnections() }

func (s *faultInjector) delay() {
	r := s.anyReplicaNode().relay
	d := time.Duration(s.rng.IntN(150)) * time.Millisecond
	s.runFault(func() { r.Delay(d) }, func() { r.Delay(0) })
}

// wipe deletes the data folder of one replica and restarts it as a new member. It
// does nothing unless all replicas vote, because the site tolerates the loss of
// only one replica at a time.
func (s *faultInjector) wipe() {
	n := s.anyReplicaNode()
	p := s.reserve(n.control)
	if p == nil {
		return
	}
	if !s.voting() {
		s.release(p)
		return
	}
	s.runFault(func() {
		p.Kill()
		assert.Check(s.t, os.RemoveAll(n.DataFolder))
	}, func() {
		n.write(s.t, false)
		p.Start()
		s.release(p)
	})
}

// fullDisk simulates a full disk: writes that would extend a file of one replica fail.
func (s *faultInjector) fullDisk() {
	p := s.reserve(s.anyReplicaNode().control)
	if p == nil {
		return
	}
	s.runFault(func() { s.limitFiles(p, 1) }, func() { s.limitFiles(p, unix.RLIM_INFINITY); s.release(p) })
}

func (s *faultInjector) limitFiles(p *faults.Process, bytes uint64) {
	if !p.Running() {
		return // it has ended by itself; supervise restarts it
	}
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	assert.Check(s.t, unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &limit, nil))
}

// killReplicas kills all replicas at once and restarts them.
func (s *faultInjector) killReplicas() {
	var list []*faults.Process
	for _, n := range s.nodes[:replicaCount] {
		if p := s.reserve(n.control); p != nil {
			list = append(list, p)
		}
	}
	for _, p := range list {
		p.Kill()
	}
	for _, p := range list {
		p.Start()
		s.release(p)
	}
}

func (s *faultInjector) anyWorker() *standin.Worker { return s.workers[s.rng.IntN(len(s.workers))] }

func (s *faultInjector) crashWorker() { s.anyWorker().Crash() }

func (s *faultInjector) drainWorker() { s.anyWorker().Drain() }

func (s *faultInjector) disconnectWorker() {
	w := s.anyWorker()
	s.runFault(func() { w.Partition(true) }, func() { w.Partition(false) })
}

// writeOddHeartbeats plays another writer, whose heartbeats name workers, until ctx ends. It
// draws from a generator of its own, so that the faults of a seed stay the same.
func (s *faultInjector) writeOddHeartbeats(ctx context.Context, rng *rand.Rand) {
	writer := standin.NewWriter(s.controls)
	for wait.Sleep(ctx, time.Duration(rng.Int64N(int64(maxPause)))) == nil {
		writer.Send(ctx, s.workers[rng.IntN(len(s.workers))], rng)
	}
}
