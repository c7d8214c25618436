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
	// maxPause is the longest time between the beginnings of two faults.
	maxPause = 1200 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 6 * time.Second
)

// series injects faults that overlap. Its goroutine chooses them by the seed.
type series struct {
	*system
	rng  *rand.Rand
	all  sync.WaitGroup
	mu   sync.Mutex // guards held
	held map[*faults.Process]bool
}

// supervise starts processes again that have ended by themselves, as the
// platform does, until ctx ends.
func (s *series) supervise(ctx context.Context) {
	for wait.For(ctx, restartDelay) == nil {
		for _, p := range s.processes() {
			if s.hold(p) == nil {
				continue
			}
			if !p.Running() {
				s.ledger.disturb()
				p.Start()
			}
			s.release(p)
		}
	}
}

// inject injects faults for the time and returns when all have ended.
func (s *series) inject(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	kinds := []func(){
		s.kill, s.kill, s.pause, s.terminate, s.reload, s.cut, s.oneWay, s.silence, s.reset, s.delay, s.wipe, s.fullDisk, s.killCore,
		s.crashWorker, s.cutWorker, s.drainWorker,
	}
	for time.Now().Before(end) {
		s.ledger.disturb()
		kinds[s.rng.IntN(len(kinds))]()
		if wait.For(ctx, time.Duration(s.rng.Int64N(int64(maxPause)))) != nil {
			break
		}
	}
	s.all.Wait()
	s.ledger.disturb()
}

func (s *series) duration() time.Duration {
	return 100*time.Millisecond + time.Duration(s.rng.Int64N(int64(maxFault)))
}

// during begins a fault and ends it after a time that the seed chooses.
func (s *series) during(begin, end func()) {
	d := s.duration()
	begin()
	s.all.Go(func() {
		_ = wait.For(s.t.Context(), d) // the fault ends early with the test
		end()
		s.ledger.disturb()
	})
}

// hold returns a process that no other fault holds; nil if the one chosen is held.
func (s *series) hold(p *faults.Process) *faults.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[p] {
		return nil
	}
	s.held[p] = true
	return p
}

func (s *series) release(p *faults.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, p)
}

func (s *series) anyProcess() *faults.Process {
	list := s.processes()
	return s.hold(list[s.rng.IntN(len(list))])
}

func (s *series) anyCore() *node { return s.nodes[s.rng.IntN(coreCount)] }

func (s *series) kill() {
	if p := s.anyProcess(); p != nil {
		s.during(p.Kill, func() { p.Start(); s.release(p) })
	}
}

// signal sends a signal to a process unless it has ended by itself.
func signal(p *faults.Process, sig syscall.Signal) {
	if p.Running() {
		p.Signal(sig)
	}
}

func (s *series) pause() {
	if p := s.anyProcess(); p != nil {
		s.during(func() { signal(p, syscall.SIGSTOP) }, func() { signal(p, syscall.SIGCONT); s.release(p) })
	}
}

func (s *series) terminate() {
	p := s.anyProcess()
	if p == nil {
		return
	}
	signal(p, syscall.SIGTERM)
	s.all.Go(func() {
		timer := time.AfterFunc(stopGrace, p.Kill)
		_ = p.Wait() // a process that was killed after its grace is no fault of its own here
		timer.Stop()
		p.Start()
		s.release(p)
	})
}

func (s *series) reload() {
	if p := s.anyProcess(); p != nil {
		signal(p, syscall.SIGHUP)
		s.release(p)
	}
}

func (s *series) cut() {
	r := s.anyCore().relay
	s.during(func() { r.Cut(faults.Both) }, r.Heal)
}

func (s *series) oneWay() {
	r := s.anyCore().relay
	direction := []faults.Direction{faults.ToServer, faults.ToClient}[s.rng.IntN(2)]
	s.during(func() { r.Cut(direction) }, r.Heal)
}

func (s *series) silence() { s.anyCore().relay.SilenceOpen() }

func (s *series) reset() { s.anyCore().relay.ResetOpen() }

func (s *series) delay() {
	r := s.anyCore().relay
	d := time.Duration(s.rng.IntN(150)) * time.Millisecond
	s.during(func() { r.Delay(d) }, func() { r.Delay(0) })
}

// wipe takes the disk of one replica, and no other one before it votes again:
// the site bears the loss of one at a time.
func (s *series) wipe() {
	n := s.anyCore()
	p := s.hold(n.control)
	if p == nil {
		return
	}
	if !s.voting() {
		s.release(p)
		return
	}
	s.during(func() {
		p.Kill()
		assert.Check(s.t, os.RemoveAll(n.DataFolder))
	}, func() {
		n.write(s.t, false)
		p.Start()
		s.release(p)
	})
}

// fullDisk makes writes fail that would lengthen a file of one replica.
func (s *series) fullDisk() {
	p := s.hold(s.anyCore().control)
	if p == nil {
		return
	}
	s.during(func() { s.limitFiles(p, 1) }, func() { s.limitFiles(p, unix.RLIM_INFINITY); s.release(p) })
}

func (s *series) limitFiles(p *faults.Process, bytes uint64) {
	if !p.Running() {
		return // it has ended by itself and is started again
	}
	limit := unix.Rlimit{Cur: bytes, Max: unix.RLIM_INFINITY}
	assert.Check(s.t, unix.Prlimit(p.PID(), unix.RLIMIT_FSIZE, &limit, nil))
}

// killCore kills all replicas at once.
func (s *series) killCore() {
	var list []*faults.Process
	for _, n := range s.nodes[:coreCount] {
		if p := s.hold(n.control); p != nil {
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

func (s *series) anyWorker() *standin.Worker { return s.workers[s.rng.IntN(len(s.workers))] }

func (s *series) crashWorker() { s.anyWorker().Crash() }

func (s *series) drainWorker() { s.anyWorker().Drain() }

func (s *series) cutWorker() {
	w := s.anyWorker()
	s.during(func() { w.Partition(true) }, func() { w.Partition(false) })
}
