package fleet

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
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
