package schedule

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/replica"
)

const (
	adviceTick     = 10 * time.Millisecond
	adviceDecision = 100 * time.Millisecond
	advicePeriod   = 10 * time.Millisecond // for each worker that a call names
	adviceValidity = 3 * time.Second
	// startBound is how long a task may wait whose turn has come, beside idle workers.
	startBound = 3 * time.Second
)

// policyService is a policy service as the users' pages describe it.
type policyService struct {
	calls atomic.Int64
	// allows is the policy; nil allows everything.
	allows func(w model.WorkloadID, worker string) bool
	// hurdle makes calls about some workloads fail, or changes their duration and validity.
	hurdle func(w model.WorkloadID, wait, validity *time.Duration) error
}

func (p *policyService) Advise(ctx context.Context, w model.WorkloadID, _, _ int, workers []string) (Advice, error) {
	p.calls.Add(1)
	wait, validity := adviceDecision+time.Duration(len(workers))*advicePeriod, adviceValidity
	var err error
	if p.hurdle != nil {
		err = p.hurdle(w, &wait, &validity)
	}
	select {
	case <-ctx.Done():
		return Advice{}, ctx.Err()
	case <-time.After(wait):
	}
	out := Advice{Tickets: map[string]string{}, Validity: validity}
	ticket := strconv.FormatInt(time.Now().Add(validity).UnixMilli(), 10) // says until when it is valid
	for _, name := range workers {
		if p.allows == nil || p.allows(w, name) {
			out.Tickets[name] = ticket
		}
	}
	return out, err
}

// advisedRun is a run on a worker of advisedSite.
type advisedRun struct {
	start StartOrder
	until time.Time
}

// advisedSite is a pool of workers with 16 processors, whose queue has advice. The first one has
// the label "rack".
type advisedSite struct {
	*harness
	service     *policyService
	workers     int
	running     map[string][]advisedRun
	ended       map[string]int64
	took        map[model.WorkloadID]time.Duration // run time of the tasks
	submittedAt map[model.WorkloadID]time.Time
	started     map[model.WorkloadID]time.Duration // wait until the first start
	jobs        int
}

func newAdvisedSite(h *harness, service *policyService, workers int) *advisedSite {
	h.onLoop(func() { h.machine.settings.Advisor = service })
	catalog := *h.replica.View().State.Catalog
	catalog.Queues = append([]model.Queue(nil), catalog.Queues...)
	catalog.Queues[0].Advised = true
	h.replica.Change(func(v *replica.View) { v.State.Catalog = &catalog })
	return &advisedSite{
		harness: h, service: service, workers: workers, running: map[string][]advisedRun{}, ended: map[string]int64{}, took: map[model.WorkloadID]time.Duration{},
		submittedAt: map[model.WorkloadID]time.Time{}, started: map[model.WorkloadID]time.Duration{},
	}
}

// submitJob submits a job of one task.
func (s *advisedSite) submitJob(milliCPU int64, takes time.Duration, label string) model.WorkloadID {
	s.jobs++
	id := s.submit(s.jobs, model.Step{Count: 1, Need: model.Resources{MilliCPU: milliCPU, MemoryMB: 1}, Estimate: takes, Label: label})
	s.took[id], s.submittedAt[id] = takes, time.Now()
	return id
}

// pass lets the time go on, with a report of each worker every second tick.
func (s *advisedSite) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(adviceTick) {
		for i := range s.workers {
			name := fmt.Sprintf("w%02d", i)
			if done := s.work(name); len(done) > 0 || (time.Now().UnixMilli()/adviceTick.Milliseconds()+int64(i))%2 == 0 {
				s.heartbeat(name, i == 0, done)
			}
		}
	}
}

// work ends the runs of a worker whose time is over.
func (s *advisedSite) work(name string) []Ended {
	var done []Ended
	var left []advisedRun
	for _, r := range s.running[name] {
		if time.Now().Before(r.until) {
			left = append(left, r)
			continue
		}
		s.ended[name]++
		done = append(done, Ended{Position: s.ended[name], Run: r.start.Run, Outcome: model.RunDone})
	}
	s.running[name] = left
	return done
}

// heartbeat sends a report and takes its start orders.
func (s *advisedSite) heartbeat(name string, labelled bool, done []Ended) {
	o, err := s.report(name, 1, func(r *Report) {
		r.Capacity = model.Resources{MilliCPU: 16000, MemoryMB: 16000}
		if labelled {
			r.Labels = []string{"rack"}
		}
		for _, run := range s.running[name] {
			r.Running = append(r.Running, Running{Run: run.start.Run, Percent: int(time.Now().UnixMilli() / 1000 % 100)})
		}
		r.Ended = done
	})
	if err != nil {
		return
	}
	for _, start := range o.Start {
		until, err := strconv.ParseInt(start.Ticket, 10, 64)
		assert.Assert(s.t, err == nil && time.Now().UnixMilli() < until, "ticket %q", start.Ticket)
		id := start.Run.Task.Workload
		s.running[name] = append(s.running[name], advisedRun{start, time.Now().Add(s.took[id])})
		if _, ok := s.started[id]; !ok {
			s.started[id] = time.Since(s.submittedAt[id])
		}
	}
}

// startedInTime fails unless the jobs were started within the bound.
func (s *advisedSite) startedInTime(ids []model.WorkloadID, bound time.Duration) {
	s.t.Helper()
	for _, id := range ids {
		wait, ok := s.started[id]
		assert.Assert(s.t, ok && wait <= bound, "job %s, started %t after %s, %d calls", id, ok, wait, s.service.calls.Load())
	}
}

// fill occupies the labelled worker.
func (s *advisedSite) fill() {
	s.submitJob(16000, 10*time.Minute, "rack")
	s.pass(2 * time.Second)
	assert.Equal(s.t, len(s.running["w00"]), 1)
}

// submitMany submits n jobs for any worker within d.
func (s *advisedSite) submitMany(n int, d time.Duration) []model.WorkloadID {
	var ids []model.WorkloadID
	for range n {
		ids = append(ids, s.submitJob(1000, 500*time.Millisecond, ""))
		s.pass(d / time.Duration(n))
	}
	return ids
}

// Guards against jobs that never start beside idle workers, because jobs for which no worker has
// capacity use up all calls of the policy service.
func TestJobsWithoutCapacityTakeNoCallsFromOthers(t *testing.T) {
	for _, waiting := range []int{1, 30, 300} {
		t.Run(fmt.Sprint(waiting), func(t *testing.T) {
			runHarness(t, func(h *harness) {
				s := newAdvisedSite(h, &policyService{}, 9)
				s.fill()
				for range waiting {
					s.submitJob(1000, time.Second, "rack")
					s.pass(100 * time.Millisecond)
				}
				ids := s.submitMany(10, 5*time.Second)
				s.pass(startBound)
				s.startedInTime(ids, startBound)
			})
		})
	}
}

// Guards against jobs that never start because of one about which the policy service fails, is
// silent, or gives tickets that have expired on arrival.
func TestJobWithoutUsableAdviceHoldsUpNoOther(t *testing.T) {
	const first = "0000000000000001"
	hurdles := map[string]func(wait, validity *time.Duration) error{
		"fails":     func(wait, _ *time.Duration) error { *wait = 0; return errors.New("refused") },
		"is silent": func(wait, _ *time.Duration) error { *wait = 2 * time.Second; return errors.New("timeout") },
		"expired":   func(_, validity *time.Duration) error { *validity = 350 * time.Millisecond; return nil },
	}
	for name, hurdle := range hurdles {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				service := &policyService{hurdle: func(w model.WorkloadID, wait, validity *time.Duration) error {
					if w != first {
						return nil
					}
					return hurdle(wait, validity)
				}}
				s := newAdvisedSite(h, service, 9)
				s.submitJob(1000, time.Second, "")
				s.pass(10 * time.Second)
				ids := s.submitMany(10, 5*time.Second)
				s.pass(startBound)
				s.startedInTime(ids, startBound)
			})
		})
	}
}

// Guards against a job that never starts because the policy service allows few workers.
func TestJobStartsOnTheOnlyWorkerThatIsAllowed(t *testing.T) {
	runHarness(t, func(h *harness) {
		service := &policyService{allows: func(_ model.WorkloadID, worker string) bool { return worker == "w37" }}
		s := newAdvisedSite(h, service, 40)
		s.pass(time.Second)
		id := s.submitJob(1000, time.Second, "")
		s.pass(startBound)
		s.startedInTime([]model.WorkloadID{id}, startBound)
		calls := service.calls.Load()
		s.pass(20 * time.Second) // refusals hold for good
		assert.Assert(t, service.calls.Load()-calls <= 1, "%d calls", service.calls.Load()-calls)
	})
}

// Guards against a leader that starts less than its predecessor, because it waits for calls that
// were made before, and against calls that cost starts on a busy pool.
func TestAdvisedPoolStaysBusyAcrossAChangeOfLeader(t *testing.T) {
	runHarness(t, func(h *harness) {
		s := newAdvisedSite(h, &policyService{}, 9)
		s.pass(time.Second)
		var before, after []model.WorkloadID
		for range 60 {
			before = append(before, s.submitJob(4000, time.Second, ""))
			s.pass(200 * time.Millisecond)
		}
		s.harness.replica.Lead(2)
		calls := s.service.calls.Load()
		for range 60 {
			after = append(after, s.submitJob(4000, time.Second, ""))
			s.pass(200 * time.Millisecond)
		}
		s.pass(startBound)
		s.startedInTime(after, startBound)
		t.Logf("mean wait %s before and %s after the change of leader; calls %d and %d", s.meanWait(before), s.meanWait(after), calls, s.service.calls.Load()-calls)
	})
}

func (s *advisedSite) meanWait(ids []model.WorkloadID) time.Duration {
	var sum time.Duration
	for _, id := range ids {
		sum += s.started[id]
	}
	return sum / time.Duration(len(ids))
}

// Guards against tickets that are missing when capacity becomes free on a full pool: the
// service is asked in advance about what starts first.
func TestFullPoolIsAskedAboutInAdvance(t *testing.T) {
	runHarness(t, func(h *harness) {
		s := newAdvisedSite(h, &policyService{}, 3)
		s.pass(time.Second)
		var ids []model.WorkloadID
		for range 30 {
			ids = append(ids, s.submitJob(8000, time.Second, ""))
		}
		began := time.Now()
		for len(s.started) < len(ids) && time.Since(began) < time.Minute {
			s.pass(adviceTick)
		}
		t.Logf("30 jobs of 1 s on 6 places were all started after %s, with %d calls", time.Since(began), s.service.calls.Load())
		s.startedInTime(ids, 10*time.Second)
	})
}

// loseAnswer reports for the first worker, with the answer lost on its way, once the answer has a
// start order.
func (s *advisedSite) loseAnswer() {
	for range 100 {
		o, err := s.report("w00", 1, func(r *Report) { r.Capacity = model.Resources{MilliCPU: 16000, MemoryMB: 16000} })
		if err == nil && len(o.Start) > 0 {
			return
		}
		time.Sleep(adviceTick)
	}
	s.t.Fatal("no start order")
}

// Guards against start orders that a worker rejects, because a new leader repeats those of its
// predecessor without its tickets, or because a ticket has expired before the order arrives.
func TestRepeatedStartOrderHasAValidTicket(t *testing.T) {
	for name, between := range map[string]func(s *advisedSite){
		"new leader":     func(s *advisedSite) { s.harness.replica.Lead(2) },
		"expired ticket": func(*advisedSite) { time.Sleep(adviceValidity) },
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				s := newAdvisedSite(h, &policyService{}, 1)
				id := s.submitJob(1000, time.Second, "")
				s.loseAnswer()
				between(s)
				s.pass(time.Second)
				s.startedInTime([]model.WorkloadID{id}, startBound+adviceValidity)
			})
		})
	}
}

// Guards against a run that reserves capacity of its worker for good, because the service gives no
// ticket for it any more.
func TestRunWithoutTicketReservesNoCapacity(t *testing.T) {
	for name, service := range map[string]*policyService{
		"refused": {allows: func(w model.WorkloadID, _ string) bool { return w != "0000000000000001" }},
		"fails": {hurdle: func(w model.WorkloadID, _, _ *time.Duration) error {
			if w == "0000000000000001" {
				return errors.New("refused")
			}
			return nil
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runHarness(t, func(h *harness) {
				s := newAdvisedSite(h, &policyService{}, 1)
				s.submitJob(16000, time.Second, "")
				s.loseAnswer()
				s.harness.replica.Lead(2)
				h.onLoop(func() { h.machine.settings.Advisor = service })
				id := s.submitJob(16000, time.Second, "")
				s.pass(lease + startBound)
				s.startedInTime([]model.WorkloadID{id}, lease+startBound)
			})
		})
	}
}
