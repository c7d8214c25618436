package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/clock"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica"
	"lacewingturn.example/replica/replicatest"
)

const orderHandoverDelay = 3 * time.Second

// fakeScheduler reports the instances that the test sets.
type fakeScheduler struct {
	mu        sync.Mutex
	instances []model.WorkerObservation
	stopped   []model.RunRef
	ended     []model.WorkerID
}

func (f *fakeScheduler) endedWorkers() []model.WorkerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]model.WorkerID(nil), f.ended...)
}

func (f *fakeScheduler) Observe(time.Time) []model.WorkerObservation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]model.WorkerObservation(nil), f.instances...)
}

func (f *fakeScheduler) Serving(time.Time, model.TaskRef) bool { return true }
func (f *fakeScheduler) SetCordons(map[model.InstanceID]bool)  {}
func (f *fakeScheduler) MarkWorkerEnded(_ time.Time, id model.WorkerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = append(f.ended, id)
}
func (f *fakeScheduler) SetRetiring(map[model.InstanceID]model.Timestamp) {}
func (f *fakeScheduler) StopRun(r model.RunRef)                           { f.stopped = append(f.stopped, r) }
func (f *fakeScheduler) set(instances ...model.WorkerObservation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = instances
}

// platformCall is an order that the platform received.
type platformCall struct {
	at   time.Time
	what string
	term model.Term
}

// fakePlatform answers every order with the error that the test sets.
type fakePlatform struct {
	mu      sync.Mutex
	list    []ListedInstance
	skipped int
	answer  error
	orders  []platformCall
	// recorded reports whether an order for the instance is in the log; early is set
	// if one was not when its call arrived.
	recorded func(model.InstanceID) bool
	early    bool
}

func (p *fakePlatform) Instances(context.Context) (InstanceList, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return InstanceList{Instances: p.list, Skipped: p.skipped, SkipReason: errUnreadable}, nil
}

var errUnreadable = errors.New("unreadable")

// set replaces the list and the answer to orders.
func (p *fakePlatform) set(answer error, list ...ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answer, p.list = answer, list
}

// setSkipped sets the number of entries of the list that cannot be read.
func (p *fakePlatform) setSkipped(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.skipped = n
}

// take records an order and returns the set answer.
func (p *fakePlatform) take(id model.InstanceID, what string, term model.Term) error {
	recorded := p.recorded(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.early = p.early || !recorded
	p.orders = append(p.orders, platformCall{time.Now(), what, term})
	return p.answer
}

func (p *fakePlatform) Move(_ context.Context, id model.InstanceID, to model.PoolName, term model.Term) error {
	return p.take(id, fmt.Sprintf("%s to %s", id, to), term)
}

func (p *fakePlatform) Maintain(_ context.Context, id model.InstanceID, n model.UpkeepNumber, term model.Term) error {
	return p.take(id, fmt.Sprintf("%s for %d", id, n), term)
}

func (p *fakePlatform) calls() []platformCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]platformCall(nil), p.orders...)
}

// harness runs a machine on a loop, with a fake replica, scheduler and platform.
type harness struct {
	t         *testing.T
	replica   *replicatest.Replica
	scheduler *fakeScheduler
	platform  *fakePlatform
}

// runHarness runs the test with a harness in a synctest bubble, on virtual time. The
// catalog has the pool p and the standby pool off.
func runHarness(t *testing.T, test func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &harness{t, replicatest.NewLeader(1), &fakeScheduler{}, &fakePlatform{}}
		h.platform.recorded = func(id model.InstanceID) bool { return h.replica.View().State.Orders.Has(id) }
		h.propose(model.PublishCatalog{Catalog: model.Catalog{Version: 1, Pools: []model.WorkerPool{{Name: "p"}, {Name: "off", Standby: true}}}})
		l := loop.New(64)
		New(ctx, l, h.replica, clock.NewSuspendDetector(), h.scheduler, h.platform, Settings{
			OrderHandoverDelay: orderHandoverDelay, MoveTime: time.Second, UpkeepTime: 2 * time.Second, Logger: zap.NewNop(),
		})
		done := make(chan struct{})
		go func() { defer close(done); l.Run(ctx) }()
		test(h)
		cancel()
		<-done
	})
}

func (h *harness) propose(c model.Command) {
	_, err := h.replica.Propose(context.Background(), []model.Envelope{{Command: c}})
	assert.NilError(h.t, err)
}

// upkeep orders upkeep 7 for the instances, at most limit of them at once.
func (h *harness) upkeep(limit int, ids ...model.InstanceID) {
	u := model.Upkeep{Number: 7, Limit: limit, Duration: 20 * time.Second}
	for _, id := range ids {
		u.Instances = append(u.Instances, model.UpkeepInstance{ID: id})
	}
	h.propose(model.OrderUpkeep{Upkeep: u})
}

// complete reports whether upkeep 7 is complete.
func (h *harness) complete() bool {
	u, _ := h.replica.View().State.Upkeeps.Get(7)
	return u.Complete()
}

// idle returns an instance of pool p without runs.
func idle(id model.InstanceID) model.WorkerObservation {
	return model.WorkerObservation{ID: id, Worker: model.MakeWorkerID(string(id), 1), Pool: "p", Capacity: model.Resources{MilliCPU: 16000}, NoUnassignedRuns: true}
}

// busy returns an instance with a long-running task, which is not moved.
func busy(id model.InstanceID) model.WorkerObservation {
	i := idle(id)
	i.Runs = []model.ObservedRun{{Run: model.RunRef{Number: 1}, Lasting: true}}
	return i
}

// Guards against an order that is sent before it is in the log, which a new leader
// would not know of, and against an upkeep that is complete before the platform has
// confirmed its order.
func TestOrdersAreRecordedFirst(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.scheduler.set(idle("a"), busy("b"))
		h.platform.set(errors.New("no answer"))
		h.upkeep(1, "a")
		time.Sleep(time.Second)
		assert.Assert(t, !h.complete())
		h.platform.set(nil)
		time.Sleep(2 * orderRetry)
		assert.Assert(t, h.complete())
		assert.Assert(t, !h.platform.early)
		assert.Equal(t, h.platform.calls()[0].what, "a for 7")
	})
}

// Guards against runs lost by a late confirmation: it must end the incarnation that
// the order was for, not the one that has started on the instance meanwhile.
func TestLateConfirmationEndsTheOldWorkerOnly(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.scheduler.set(idle("a"), busy("b"))
		h.platform.set(errors.New("no answer"))
		h.upkeep(1, "a")
		time.Sleep(500 * time.Millisecond)
		back := idle("a")
		back.Worker = model.MakeWorkerID("a", 2)
		h.scheduler.set(back, busy("b"))
		h.platform.set(nil)
		time.Sleep(2 * orderRetry)
		assert.DeepEqual(t, h.scheduler.endedWorkers(), []model.WorkerID{model.MakeWorkerID("a", 1)})
	})
}

// Guards against a sound worker that gets no lease any more: it has come after an upkeep that an
// earlier leader had ordered, and the platform confirms the order of the next leader as done.
func TestUpkeepThatAnEarlierLeaderOrderedDoesNotEndTheNextWorker(t *testing.T) {
	runHarness(t, func(h *harness) {
		leaving := idle("a")
		leaving.Leaving = true
		h.scheduler.set(leaving, busy("b")) // the first leader gives no order of its own
		h.upkeep(1, "a")
		h.propose(model.RecordOrders{Instances: []model.InstanceID{"a"}})
		h.replica.Lead(2)
		back := idle("a")
		back.Worker = model.MakeWorkerID("a", 2)
		h.scheduler.set(back, busy("b"))
		time.Sleep(2 * orderHandoverDelay)
		assert.Assert(t, h.complete())
		assert.Equal(t, len(h.scheduler.endedWorkers()), 0)
	})
}

// Guards against the same after a call without answer of the same leader, if the next call was
// refused, so that the order was dropped and decided again for the worker that had come meanwhile.
func TestUpkeepThatMayHaveBegunDoesNotEndTheNextWorker(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.scheduler.set(idle("a"), busy("b"))
		h.platform.set(errors.New("no answer"))
		h.upkeep(1, "a")
		time.Sleep(500 * time.Millisecond)
		h.platform.set(RefusedError{Reason: "busy"})
		time.Sleep(orderRetry)
		back := idle("a")
		back.Worker = model.MakeWorkerID("a", 2)
		h.scheduler.set(back, busy("b"))
		h.platform.set(nil)
		time.Sleep(3 * orderRetry)
		assert.Assert(t, h.complete())
		assert.Equal(t, len(h.scheduler.endedWorkers()), 0)
	})
}

// Guards against the same if a move without answer comes between the two orders for upkeep.
func TestMoveDoesNotHideThatUpkeepMayHaveBegun(t *testing.T) {
	m := &Machine{
		settings: Settings{Logger: zap.NewNop()}, pausedUntil: map[model.InstanceID]time.Time{}, mayHaveBegun: map[model.InstanceID]model.UpkeepNumber{},
		orders: map[model.InstanceID]*activeOrder{"a": {upkeep: 7, unanswered: true}},
	}
	m.finishOrder(time.Now(), orderResult{id: "a", err: RefusedError{Reason: "busy"}})
	m.orders["a"] = &activeOrder{to: "p", unanswered: true}
	m.finishOrder(time.Now(), orderResult{id: "a", err: RefusedError{Reason: "busy"}})
	assert.Assert(t, m.upkeepOrder(model.State{}, "a", model.Upkeep{Number: 7}).mayHaveBegun)
}

// Guards against an upkeep of an earlier wave, or a move, that makes the order of the next wave
// look like a repetition: its confirmation ends the worker at once.
func TestFirstOrderOfAnUpkeepEndsItsWorker(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.scheduler.set(idle("a"), busy("b"))
		h.propose(model.RecordOrders{Instances: []model.InstanceID{"a"}})
		h.replica.Lead(2)
		time.Sleep(orderHandoverDelay + time.Second)
		h.upkeep(1, "a")
		time.Sleep(time.Second)
		assert.DeepEqual(t, h.scheduler.endedWorkers(), []model.WorkerID{idle("a").Worker})
	})
}

// Guards against upkeep beyond its limit after an election, because the new leader
// does not count the instances that an earlier leader has taken down.
func TestUpkeepOfEarlierLeadersCounts(t *testing.T) {
	runHarness(t, func(h *harness) {
		leaving := idle("c")
		leaving.Leaving = true
		h.scheduler.set(busy("b"), leaving) // the first leader must neither order upkeep of c nor take it for removed
		h.upkeep(1, "a", "c")
		h.propose(model.RecordOrders{Instances: []model.InstanceID{"a"}})
		h.propose(model.BeginUpkeep{Number: 7, Instance: "a"})
		begun := time.Now()
		h.replica.Lead(2)
		h.scheduler.set(busy("b"), idle("c"))
		time.Sleep(5 * time.Second)
		first := h.platform.calls()[0]
		assert.Equal(t, first.what, "c for 7")
		assert.Assert(t, first.at.Sub(begun) >= 2*time.Second)
	})
}

// Guards against upkeep beyond its limit after the clock of the earlier leader was stepped
// back: its orders carry too early a time in the log, so that the next leader, whose clock
// is right, took the instances that are down for ones that are back.
func TestUpkeepCountsAfterAClockStep(t *testing.T) {
	runHarness(t, func(h *harness) {
		leaving := idle("c")
		leaving.Leaving = true
		h.scheduler.set(busy("b"), leaving)
		h.upkeep(1, "a", "c")
		h.propose(model.RecordOrders{Instances: []model.InstanceID{"a"}})
		h.propose(model.BeginUpkeep{Number: 7, Instance: "a"})
		begun := time.Now()
		order, _ := h.replica.View().State.Orders.Get("a")
		order.At = order.At.Add(-5 * time.Second)
		h.replica.Change(func(v *replica.View) { v.State.Orders = v.State.Orders.Set("a", order) })
		h.replica.Lead(2)
		h.scheduler.set(busy("b"), idle("c"))
		time.Sleep(6 * time.Second)
		first := h.platform.calls()[0]
		assert.Equal(t, first.what, "c for 7")
		assert.Assert(t, first.at.Sub(begun) >= 2*time.Second, "%v", first.at.Sub(begun))
	})
}

// Guards against a new leader that gives an order for an instance too soon after an
// order of the earlier leader, and against one that gives no orders for other
// instances during that pause.
func TestNewLeaderPausesForOrderedInstancesOnly(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.scheduler.set(idle("a"), idle("c"), busy("b"))
		h.propose(model.RecordOrders{Instances: []model.InstanceID{"a"}})
		ordered := time.Now()
		h.replica.Lead(2)
		h.upkeep(2, "a", "c")
		time.Sleep(orderHandoverDelay + 2*time.Second)
		at := map[string]time.Duration{}
		for _, o := range h.platform.calls() {
			if _, seen := at[o.what]; !seen {
				at[o.what] = o.at.Sub(ordered)
			}
			assert.Equal(t, o.term, model.Term(2))
		}
		assert.Assert(t, at["c for 7"] < time.Second)
		assert.Assert(t, at["a for 7"] > orderHandoverDelay, "%v", at)
	})
}

// Guards against a refused order that is repeated without backoff and overloads the
// platform.
func TestRefusedOrdersAreRetriedWithBackoff(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.scheduler.set(idle("a"), busy("b"))
		h.platform.set(RefusedError{Reason: "busy"})
		h.upkeep(1, "a")
		time.Sleep(5 * time.Second)
		assert.Assert(t, len(h.platform.calls()) <= 6, "%d", len(h.platform.calls()))
		assert.Assert(t, !h.complete())
	})
}

// Guards against an upkeep that never completes because the platform has removed an
// instance, and against an upkeep that counts as begun on an instance that is only down.
func TestUpkeepOfInstancesThatAreGone(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.platform.set(nil, ListedInstance{ID: "down", Pool: "p", Down: true})
		h.scheduler.set(busy("b"))
		time.Sleep(listInterval + time.Second)
		h.upkeep(1, "gone", "down")
		time.Sleep(2 * listInterval)
		u, _ := h.replica.View().State.Upkeeps.Get(7)
		assert.Assert(t, u.Instances[0].Begun && !u.Instances[1].Begun)
	})
}

// Guards against an instance that counts as removed, so that its upkeep counts as begun,
// because its entry in the platform's list could not be read.
func TestSkippedEntriesRemoveNoInstance(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.platform.set(nil, ListedInstance{ID: "down", Pool: "p", Down: true})
		h.scheduler.set(busy("b"))
		time.Sleep(listInterval + time.Second)
		h.platform.set(nil)
		h.platform.setSkipped(1)
		h.upkeep(1, "down")
		time.Sleep(2 * listInterval)
		u, _ := h.replica.View().State.Upkeeps.Get(7)
		assert.Assert(t, !u.Instances[0].Begun)
		h.platform.setSkipped(0)
		time.Sleep(2 * listInterval)
		u, _ = h.replica.View().State.Upkeeps.Get(7)
		assert.Assert(t, u.Instances[0].Begun)
	})
}

// Guards against idle instances that stay powered on, against the move of an instance
// with work on it, and against moves before the workers have reported to a new leader.
func TestIdleInstancesAreMovedToStandby(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.scheduler.set(busy("b"), busy("c"), idle("d"), idle("e"))
		time.Sleep(settleTime - pollInterval)
		assert.Equal(t, len(h.platform.calls()), 0)
		time.Sleep(3 * time.Second)
		moved := map[string]bool{}
		for _, o := range h.platform.calls() {
			moved[o.what] = true
		}
		assert.DeepEqual(t, moved, map[string]bool{"d to off": true, "e to off": true})
	})
}

// Guards against pools that are not scaled for a burst in the two seconds after an
// election although all workers have reported, and against moves while some workers
// have not reported.
func TestMovesBeginOnceWorkersHaveReported(t *testing.T) {
	up := func(ids ...model.InstanceID) (list []ListedInstance) {
		for _, id := range ids {
			list = append(list, ListedInstance{ID: id, Pool: "p", Up: true})
		}
		return list
	}
	for _, c := range []struct {
		listed []ListedInstance
		moves  int
	}{{up("b", "c", "d"), 1}, {up("b", "c", "d", "silent"), 0}} {
		runHarness(t, func(h *harness) {
			h.platform.set(nil, c.listed...)
			h.scheduler.set(busy("b"), busy("c"), idle("d"))
			h.replica.Lead(2) // reads the list again
			time.Sleep(settleTime - pollInterval)
			assert.Equal(t, len(h.platform.calls()), c.moves)
		})
	}
}

// Guards against an instance that counts as powered off while its worker misses some
// reports, because the list in use was read before the instance left standby.
func TestSilentInstanceIsNotOff(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.platform.set(nil, ListedInstance{ID: "a", Pool: "off", Up: true, Capacity: model.Resources{MilliCPU: 16000}})
		h.scheduler.set(busy("b"), busy("c"), busy("d"))
		time.Sleep(settleTime)
		assert.Equal(t, len(h.platform.calls()), 0)
		moved := busy("a")
		for i := range 25 { // shorter than the time to the next reading of the list
			moved.SinceLastReport = time.Duration(i) * pollInterval
			moved.Unavailable = moved.SinceLastReport > time.Second
			h.scheduler.set(busy("b"), moved)
			time.Sleep(pollInterval)
		}
		for _, o := range h.platform.calls() {
			assert.Assert(t, o.what != "a to p", "%v", o)
		}
	})
}

// Guards against moves that exceed the platform's rate limit and are refused, or that
// leave no orders for upkeep and retries.
func TestMovesStayWithinPlatformRateLimit(t *testing.T) {
	assert.Equal(t, Settings{OrdersPerSecond: 64}.maxMoves(), 9)
	assert.Equal(t, Settings{OrdersPerSecond: 2}.maxMoves(), 1)
}
