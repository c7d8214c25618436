package fleet

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/clock"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica/replicatest"
	"lacewingturn.example/replica/schedule"
)

// handoverSeeds is the number of schedules that a run of the test plays.
var handoverSeeds = flag.Uint64("handover.seeds", 30, "number of random schedules of changes of leader")

const (
	siteTick        = 20 * time.Millisecond
	siteTrouble     = 40 * time.Second
	siteCalm        = 40 * time.Second
	siteStopTimeout = 900 * time.Millisecond
	siteNotice      = 4500 * time.Millisecond // after which a task counts as away for any cause
	siteStartup     = 500 * time.Millisecond  // until a lasting task is at work
	siteMoveTime    = 1500 * time.Millisecond
	siteUpkeepTime  = 2 * time.Second
	siteCapacity    = 8000
	siteMissable    = 1
	siteCap         = 2 // instances of an upkeep that may be down at once
)

// TestChangesOfLeaderKeepTheRulesOfPlannedWork guards against planned work that breaks its limits, or is never
// done, because a leader does not know what an earlier one has ordered: scheduler and fleet machine play
// waves, moves and lasting tasks together, while leaders change at any moment, stops take their time,
// heartbeats come late, and answers of the platform and to heartbeats are lost or late.
func TestChangesOfLeaderKeepTheRulesOfPlannedWork(t *testing.T) {
	for seed := range *handoverSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playHandovers(t, seed) })
		})
	}
}

// siteRun is a run on a worker.
type siteRun struct {
	ref    model.RunRef
	began  time.Time
	endsAt time.Time // of a run that ends by itself; zero for one that lasts
	stopAt time.Time // when a stop will have ended it; zero if it is not being stopped
}

func (r *siteRun) atWork(now time.Time) bool { return now.Sub(r.began) >= siteStartup }

// siteWorker is one life of a worker.
type siteWorker struct {
	name       string
	born       time.Time
	sequence   int64
	position   int64
	leaseUntil time.Time
	nextReport time.Time
	runs       []*siteRun
	ended      []schedule.Ended
	lastEnded  map[model.TaskRef]int
}

// siteInstance is an instance of the platform.
type siteInstance struct {
	id        model.InstanceID
	pool      model.PoolName
	worker    *siteWorker        // nil while it is down or off
	backAt    time.Time          // when it is back; zero if it is up
	forUpkeep model.UpkeepNumber // the upkeep that it is down for; 0 if it is not
	done      map[model.UpkeepNumber]bool
}

// heldReport is a heartbeat that arrives late.
type heldReport struct {
	at     time.Time
	report schedule.Report
}

// handoverSite plays the platform and the workers, and judges what is done to them.
type handoverSite struct {
	t         *testing.T
	rng       *rand.Rand
	replica   *replicatest.Replica
	scheduler *schedule.Machine
	mu        sync.Mutex // guards arrived
	arrived   []*platformRequest
	answering []*platformRequest
	instances []*siteInstance
	lives     int
	held      []heldReport
	lasting   map[model.WorkloadID]int // number of tasks
	took      map[model.WorkloadID]time.Duration
	// awayByOrder holds the lasting tasks that planned work has ended and that are not at work again,
	// workedAt when each was last at work.
	awayByOrder map[model.TaskRef]bool
	workedAt    map[model.TaskRef]time.Time
	term        model.Term
	nextChange  time.Time // when the leader changes next
	calm        bool
	jobs        int
}

func playHandovers(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &handoverSite{
		t: t, rng: rand.New(rand.NewPCG(seed, 20261207)), replica: replicatest.NewLeader(1), term: 1, lasting: map[model.WorkloadID]int{},
		took: map[model.WorkloadID]time.Duration{}, awayByOrder: map[model.TaskRef]bool{}, workedAt: map[model.TaskRef]time.Time{},
	}
	l := loop.New(64)
	detector := clock.NewSuspendDetector()
	s.scheduler = schedule.New(ctx, l, s.replica, detector, schedule.Settings{
		MaxLease: 6 * time.Second, StopTimeout: siteStopTimeout, Metrics: schedule.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(),
	})
	New(ctx, l, s.replica, detector, s.scheduler, s, Settings{
		OrderHandoverDelay: orderHandoverDelay, MoveTime: siteMoveTime, UpkeepTime: siteUpkeepTime, OrdersPerSecond: 64, Logger: zap.NewNop(),
	})
	s.propose(model.PublishCatalog{Catalog: model.Catalog{
		Version: 1, Pools: []model.WorkerPool{{Name: "p"}, {Name: "off", Standby: true}},
		Queues: []model.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxFailures: 3, Stretch: 2, Target: time.Second}},
	}})
	for i := range 8 {
		s.instances = append(s.instances, &siteInstance{id: model.InstanceID(fmt.Sprintf("m%d", i)), pool: "p", done: map[model.UpkeepNumber]bool{}})
		s.begin(s.instances[i])
	}
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	s.play()
	cancel()
	<-done
}

func (s *handoverSite) propose(c model.Command) {
	_, err := s.replica.Propose(context.Background(), []model.Envelope{{Command: c}})
	assert.NilError(s.t, err)
}

// submit hands in a job; one without a run time lasts.
func (s *handoverSite) submit(step model.Step, takes time.Duration) {
	s.jobs++
	name := fmt.Sprintf("%016x", s.jobs)
	id := model.WorkloadID(name)
	step.Lasting, step.Estimate = takes == 0, takes
	if step.Lasting {
		s.lasting[id] = step.Count
	}
	s.took[id] = takes
	s.propose(model.SubmitWorkload{Host: "h", Path: "/" + name, Workload: model.Workload{Payload: "x", Steps: []model.Step{step}}})
}

// begin starts the next life of the worker of an instance.
func (s *handoverSite) begin(i *siteInstance) {
	i.backAt, i.forUpkeep = time.Time{}, 0
	if i.pool != "p" {
		i.worker = nil
		return
	}
	s.lives++
	i.worker = &siteWorker{name: fmt.Sprintf("w%d", s.lives), born: time.Now(), lastEnded: map[model.TaskRef]int{}}
}

func (s *handoverSite) play() {
	began := time.Now()
	changeEvery := time.Duration(1500+s.rng.IntN(4500)) * time.Millisecond
	s.nextChange = began.Add(5 * time.Second)
	nextWave, wave := began.Add(4*time.Second), model.UpkeepNumber(0)
	for ; time.Since(began) < siteTrouble+siteCalm; time.Sleep(siteTick) {
		now := time.Now()
		s.calm = now.Sub(began) >= siteTrouble
		if s.jobs == 0 {
			s.submit(model.Step{Count: 6, Need: model.Resources{MilliCPU: 2000, MemoryMB: 1}, MaxPerWorker: 1, Missable: siteMissable}, 0)
			s.submit(model.Step{Count: 4, Need: model.Resources{MilliCPU: 2000, MemoryMB: 1}, MaxPerWorker: 1, Missable: siteMissable}, 0)
		}
		if !s.calm && s.rng.IntN(25) == 0 {
			s.submit(model.Step{Count: 1 + s.rng.IntN(3), Need: model.Resources{MilliCPU: 1000, MemoryMB: 1}}, time.Duration(200+s.rng.IntN(3000))*time.Millisecond)
		}
		if !s.calm && now.After(s.nextChange) {
			s.term++
			s.replica.Lead(s.term)
			s.nextChange = now.Add(time.Duration(s.rng.Int64N(int64(2 * changeEvery))))
		}
		if !s.calm && now.After(nextWave) {
			wave++
			s.orderUpkeep(wave)
			nextWave = now.Add(18 * time.Second)
		}
		s.step(now)
	}
	s.judgeEnd(wave)
}

func (s *handoverSite) orderUpkeep(n model.UpkeepNumber) {
	u := model.Upkeep{Number: n, Limit: siteCap, Duration: 15 * time.Second}
	for _, k := range s.rng.Perm(len(s.instances))[:5] {
		u.Instances = append(u.Instances, model.UpkeepInstance{ID: s.instances[k].id})
	}
	s.propose(model.OrderUpkeep{Upkeep: u})
}

// step advances all instances by one tick.
func (s *handoverSite) step(now time.Time) {
	s.serve(now)
	s.deliverHeld(now)
	for _, i := range s.instances {
		if !i.backAt.IsZero() && now.After(i.backAt) {
			s.begin(i)
		}
		w := i.worker
		if w != nil {
			s.work(w, now)
		}
		if w != nil && now.After(w.nextReport) {
			s.report(i, w, now)
		}
	}
}

// work ends the runs of a worker whose time, stop or lease is over.
func (s *handoverSite) work(w *siteWorker, now time.Time) {
	for _, r := range slices.Clone(w.runs) {
		_, lasting := s.lasting[r.ref.Task.Workload]
		switch {
		case now.After(w.leaseUntil):
			s.end(w, r, model.RunInterrupted)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			s.endByOrder(w, r, now, "a stop")
			s.end(w, r, model.RunInterrupted)
		case !lasting && now.After(r.endsAt):
			s.end(w, r, model.RunDone)
		case lasting && r.atWork(now):
			s.workedAt[r.ref.Task] = now
			if r.stopAt.IsZero() {
				delete(s.awayByOrder, r.ref.Task)
			}
		}
	}
}

func (s *handoverSite) end(w *siteWorker, r *siteRun, outcome model.RunOutcome) {
	w.runs = slices.DeleteFunc(w.runs, func(o *siteRun) bool { return o == r })
	w.position++
	w.ended = append(w.ended, schedule.Ended{Position: w.position, Run: r.ref, Outcome: outcome})
	w.lastEnded[r.ref.Task] = max(w.lastEnded[r.ref.Task], r.ref.Number)
	w.nextReport = time.Time{}
}

// endByOrder judges that planned work ends a run.
func (s *handoverSite) endByOrder(w *siteWorker, r *siteRun, now time.Time, what string) {
	tasks, lasting := s.lasting[r.ref.Task.Workload]
	if !lasting || !r.atWork(now) {
		return
	}
	away := 0
	for k := range tasks {
		other := r.ref.Task
		other.Index = k
		worked, ever := s.workedAt[other]
		if other != r.ref.Task && (s.awayByOrder[other] || ever && now.Sub(worked) > siteNotice) {
			away++
		}
	}
	if away >= siteMissable {
		s.t.Errorf("%s: %s ends %v at work on %s while %d others of its step are away", now.Format("05.000"), what, r.ref, w.name, away)
	}
	s.awayByOrder[r.ref.Task] = true
}

// report sends a heartbeat, or holds it up, and carries out the answer unless that is lost.
func (s *handoverSite) report(i *siteInstance, w *siteWorker, now time.Time) {
	w.sequence++
	r := schedule.Report{
		Worker: model.MakeWorkerID(w.name, model.TimestampOf(w.born)), Name: w.name, StartedAt: model.TimestampOf(w.born), Address: "10.0.0.1:" + w.name,
		Instance: i.id, Pool: i.pool, Capacity: model.Resources{MilliCPU: siteCapacity, MemoryMB: 4000}, Sequence: w.sequence, Clock: now.Sub(w.born),
		Ended: slices.Clone(w.ended),
	}
	for _, run := range w.runs {
		r.Running = append(r.Running, schedule.Running{Run: run.ref, Percent: s.percent(run, now)})
	}
	if !s.calm && s.rng.IntN(40) == 0 {
		s.held = append(s.held, heldReport{now.Add(time.Duration(s.rng.IntN(3000)) * time.Millisecond), r})
		w.nextReport = now.Add(time.Second)
		return
	}
	o, err := s.scheduler.Report(context.Background(), r)
	w.nextReport = now.Add(max(o.NextReport, 50*time.Millisecond))
	if err != nil || !s.calm && s.rng.IntN(15) == 0 {
		w.nextReport = now.Add(time.Second)
		return
	}
	s.obey(w, o, now)
}

// percent returns the progress that a run lists; one that is being stopped lists what it had.
func (s *handoverSite) percent(r *siteRun, now time.Time) int {
	if _, lasting := s.lasting[r.ref.Task.Workload]; lasting {
		if r.atWork(now) {
			return 100
		}
		return 0
	}
	return min(99, int(100*now.Sub(r.began)/(r.endsAt.Sub(r.began)+1)))
}

// obey carries out an answer.
func (s *handoverSite) obey(w *siteWorker, o schedule.Orders, now time.Time) {
	w.ended = slices.DeleteFunc(w.ended, func(e schedule.Ended) bool { return e.Position <= o.AckCursor })
	if o.Lease == 0 {
		return
	}
	w.leaseUntil = now.Add(o.Lease)
	for _, run := range o.Stop {
		w.lastEnded[run.Task] = max(w.lastEnded[run.Task], run.Number)
		for _, r := range w.runs {
			if r.ref == run && r.stopAt.IsZero() {
				r.stopAt = now.Add(time.Duration(s.rng.Int64N(int64(siteStopTimeout))))
				s.mayChangeLeader(now)
			}
		}
	}
	for _, start := range o.Start {
		s.start(w, start, now)
	}
}

// mayChangeLeader has the leader change soon after an order, now and then.
func (s *handoverSite) mayChangeLeader(now time.Time) {
	if s.rng.IntN(3) == 0 {
		s.nextChange = now.Add(time.Duration(s.rng.IntN(600)) * time.Millisecond)
	}
}

func (s *handoverSite) start(w *siteWorker, o schedule.StartOrder, now time.Time) {
	task := o.Run.Task
	if o.Run.Number <= w.lastEnded[task] || slices.ContainsFunc(w.runs, func(r *siteRun) bool { return r.ref == o.Run }) {
		return
	}
	for _, i := range s.instances {
		if i.worker != nil && slices.ContainsFunc(i.worker.runs, func(r *siteRun) bool { return r.ref.Task == task }) {
			s.t.Errorf("%s: %v starts on %s while another run is on %s", now.Format("05.000"), o.Run, w.name, i.worker.name)
		}
	}
	w.runs = append(w.runs, &siteRun{ref: o.Run, began: now, endsAt: now.Add(s.took[task.Workload])})
}

// deliverHeld delivers the heartbeats that were held up; nobody waits for their answers.
func (s *handoverSite) deliverHeld(now time.Time) {
	s.held = slices.DeleteFunc(s.held, func(h heldReport) bool {
		if now.Before(h.at) {
			return false
		}
		_, _ = s.scheduler.Report(context.Background(), h.report)
		return true
	})
}

// platformRequest is a call of the platform, which waits for its turn in the site's schedule: the
// machine calls on goroutines of its own.
type platformRequest struct {
	id       model.InstanceID // empty for a reading of the list
	carryOut func(now time.Time) error
	reply    chan error
	answerAt time.Time
	answer   error
}

// callPlatform hands a request to the site and waits for its answer.
func (s *handoverSite) callPlatform(ctx context.Context, id model.InstanceID, carryOut func(now time.Time) error) error {
	r := &platformRequest{id: id, carryOut: carryOut, reply: make(chan error, 1)}
	s.mu.Lock()
	s.arrived = append(s.arrived, r)
	s.mu.Unlock()
	select {
	case err := <-r.reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serve carries out the calls that have arrived, and answers those whose time has come.
func (s *handoverSite) serve(now time.Time) {
	s.mu.Lock()
	arrived := s.arrived
	s.arrived = nil
	s.mu.Unlock()
	slices.SortStableFunc(arrived, func(a, b *platformRequest) int { return cmp.Compare(a.id, b.id) })
	for _, r := range arrived {
		s.carryOut(r, now)
	}
	s.answering = slices.DeleteFunc(append(s.answering, arrived...), func(r *platformRequest) bool {
		if now.Before(r.answerAt) {
			return false
		}
		r.reply <- r.answer
		return true
	})
}

// carryOut carries out a call at once. The answer to an order may be a refusal, late or lost.
func (s *handoverSite) carryOut(r *platformRequest, now time.Time) {
	luck := 100
	if !s.calm && r.id != "" {
		luck = s.rng.IntN(100)
	}
	switch {
	case luck < 10:
		r.answer = RefusedError{Reason: "rate"}
		return
	case luck < 25: // the answer is lost
		r.answerAt = now.Add(2 * time.Second)
	case luck < 40:
		r.answerAt = now.Add(time.Second)
	}
	if r.answer = r.carryOut(now); luck >= 10 && luck < 25 {
		r.answer = errors.New("no answer")
	}
}

// Instances implements Platform.
func (s *handoverSite) Instances(ctx context.Context) (InstanceList, error) {
	var out InstanceList
	err := s.callPlatform(ctx, "", func(time.Time) error {
		for _, i := range s.instances {
			out.Instances = append(out.Instances, ListedInstance{ID: i.id, Pool: i.pool, Up: i.backAt.IsZero(), Capacity: model.Resources{MilliCPU: siteCapacity, MemoryMB: 4000}})
		}
		return nil
	})
	return out, err
}

// Move implements Platform.
func (s *handoverSite) Move(ctx context.Context, id model.InstanceID, to model.PoolName, _ model.Term) error {
	return s.callPlatform(ctx, id, func(now time.Time) error {
		i := s.instance(id)
		switch {
		case i.pool == to:
			return nil
		case !i.backAt.IsZero():
			return RefusedError{Reason: "busy"}
		}
		s.mayChangeLeader(now)
		s.endAll(i, now, "a move")
		i.pool, i.backAt = to, now.Add(siteMoveTime)
		return nil
	})
}

// Maintain implements Platform.
func (s *handoverSite) Maintain(ctx context.Context, id model.InstanceID, number model.UpkeepNumber, _ model.Term) error {
	return s.callPlatform(ctx, id, func(now time.Time) error {
		i := s.instance(id)
		switch {
		case i.done[number]:
			return nil
		case !i.backAt.IsZero():
			return RefusedError{Reason: "busy"}
		}
		down := 0
		for _, o := range s.instances {
			if o.forUpkeep == number {
				down++
			}
		}
		if down >= siteCap {
			s.t.Errorf("%s: upkeep of %s begins while %d instances are down for theirs", now.Format("05.000"), id, down)
		}
		s.mayChangeLeader(now)
		s.endAll(i, now, "an upkeep")
		i.done[number], i.forUpkeep, i.backAt = true, number, now.Add(siteUpkeepTime)
		return nil
	})
}

func (s *handoverSite) instance(id model.InstanceID) *siteInstance {
	return s.instances[slices.IndexFunc(s.instances, func(i *siteInstance) bool { return i.id == id })]
}

// endAll ends all runs on an instance, whose worker does not come back.
func (s *handoverSite) endAll(i *siteInstance, now time.Time, what string) {
	if i.worker == nil {
		return
	}
	for _, r := range i.worker.runs {
		s.endByOrder(i.worker, r, now, what)
	}
	i.worker = nil
}

// judgeEnd judges what must be true after the calm part.
func (s *handoverSite) judgeEnd(waves model.UpkeepNumber) {
	now := time.Now()
	state := s.replica.View().State
	for n := model.UpkeepNumber(1); n <= waves; n++ {
		if u, _ := state.Upkeeps.Get(n); !u.Complete() {
			s.t.Errorf("upkeep %d is not complete: %+v", n, u)
		}
	}
	for _, i := range s.instances {
		if i.worker != nil && now.After(i.worker.leaseUntil) {
			s.t.Errorf("worker %s of %s has no lease", i.worker.name, i.id)
		}
	}
	for id, tasks := range s.lasting {
		for k := range tasks {
			if task := (model.TaskRef{Workload: id, Index: k}); now.Sub(s.workedAt[task]) > time.Second {
				s.t.Errorf("task %v is not at work", task)
			}
		}
	}
	for _, w := range state.Workloads.All() {
		if _, lasting := s.lasting[w.ID]; !lasting {
			s.t.Errorf("workload %s has not ended", w.ID)
		}
	}
}
