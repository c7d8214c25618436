package reconcile

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

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica"
)

// fakeReplica applies commands at once, without replication. lead sets its term and
// whether it is the leader.
type fakeReplica struct {
	mu        sync.Mutex
	view      *replica.View
	proposals int
}

func (f *fakeReplica) View() *replica.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeReplica) Propose(_ context.Context, commands []model.Envelope) ([]result.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposals++
	next := *f.view
	out := make([]result.Result, len(commands))
	for i, env := range commands {
		env.Time = model.TimestampOf(time.Now())
		next.State, out[i] = command.Apply(next.State, next.State.Index+1, next.Term, env)
	}
	f.view = &next
	return out, nil
}

func (f *fakeReplica) lead(term model.Term, leads bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.view
	next.Term, next.IsLeader, next.LeaderSince = term, leads, time.Now()
	f.view = &next
}

func (f *fakeReplica) state() model.State { return f.View().State }

// fakePlatform starts operations at once; an operation takes 40 s. If delay is set, the
// call that starts one fails after that time, although the operation has started.
type fakePlatform struct {
	mu    sync.Mutex
	delay time.Duration
	ends  map[model.OperationID]time.Time
	calls []string
}

func (p *fakePlatform) logCall(call string, id model.OperationID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, call+" "+string(id))
}

func (p *fakePlatform) Start(ctx context.Context, a model.PlatformAction) error {
	p.logCall("start", a.Operation)
	p.mu.Lock()
	if _, seen := p.ends[a.Operation]; !seen {
		p.ends[a.Operation] = time.Now().Add(40 * time.Second)
	}
	p.mu.Unlock()
	if p.delay == 0 {
		return nil
	}
	select {
	case <-time.After(p.delay):
		return errors.New("answered too late")
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *fakePlatform) Operation(_ context.Context, id model.OperationID) (model.OperationReport, error) {
	p.logCall("query", id)
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.ends[id]
	switch {
	case !ok:
		return model.OperationReport{State: model.OperationAbsent}, nil
	case time.Now().Before(at):
		return model.OperationReport{State: model.OperationRunning}, nil
	}
	return model.OperationReport{State: model.OperationSucceeded}, nil
}

func (p *fakePlatform) Instance(context.Context, model.InstanceID) (bool, error) { return true, nil }

// harness runs a machine on a loop, with a fake replica and platform.
type harness struct {
	replica  *fakeReplica
	platform *fakePlatform
	machine  *Machine
}

// startHarness returns a harness with one entry instance and a pool of three instances,
// of which two have to be available.
func startHarness(t *testing.T, delay time.Duration) *harness {
	h := &harness{
		replica:  &fakeReplica{view: &replica.View{Term: 1, IsLeader: true, LeaderSince: time.Now()}},
		platform: &fakePlatform{delay: delay, ends: map[model.OperationID]time.Time{}},
	}
	c := model.Config{
		Weights: model.Weights{RollOut: 1}, Waves: model.WavePolicy{MaxStep: 1},
		Limits: model.Limits{SlotsPerTarget: 8, ConnectionsPerTarget: 64, KeyRetention: time.Minute, MaxClaims: 10},
		Pools:  []model.Pool{{Name: "a", Budget: model.Budget{MinAvailable: 2}}},
	}
	for i := range 3 {
		c.Instances = append(c.Instances, model.InstanceSpec{
			ID: model.InstanceID(fmt.Sprint("a", i)), Pool: "a", Domain: model.Domain{DataCenter: "d", Rack: "r"},
			Capacity: model.Resources{MilliCPU: 1, MemoryMB: 1},
		})
	}
	h.propose(t, model.AcceptConfig{Config: c})
	h.propose(t, model.JoinEntry{ID: "e", Address: "127.0.0.1:1"})
	l := loop.New(loop.DefaultCapacity)
	h.machine = New(t.Context(), l, h.replica, h.platform, h.platform, zap.NewNop())
	go l.Run(t.Context())
	return h
}

// propose applies a command that has to be accepted.
func (h *harness) propose(t *testing.T, c model.Command) {
	t.Helper()
	r, err := h.replica.Propose(t.Context(), []model.Envelope{{Command: c}})
	assert.NilError(t, err)
	assert.NilError(t, r[0].Err())
}

// freshReports returns reports of the instances, each with a heartbeat that has just
// arrived.
func freshReports(inFlight int, ids ...model.InstanceID) []InstanceReport {
	var out []InstanceReport
	for _, id := range ids {
		out = append(out, InstanceReport{Instance: id, InFlight: inFlight, HasHeartbeat: true})
	}
	return out
}

// report sends a report of the only entry instance each second for the time d.
func (h *harness) report(d time.Duration, inFlight int) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second) {
		h.machine.Report(EntryReport{Entry: "e", OutOfService: freshReports(inFlight, "a0", "a1", "a2")})
	}
	synctest.Wait()
}

func (h *harness) phase(id model.InstanceID) model.Phase {
	i, _ := h.replica.state().Instances.Get(id)
	return i.Phase
}

// Guards against a reboot that is sent twice because the platform answers late and the
// leader changes meanwhile, and against a reboot while requests are in flight.
func TestLeaderChangeDuringReboot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 25*time.Second)
		h.propose(t, model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
		h.report(time.Minute, 3)
		assert.Equal(t, h.phase("a0"), model.PhaseDraining)
		assert.Equal(t, len(h.platform.calls), 0)
		h.report(55*time.Second, 0)
		assert.Equal(t, h.phase("a0"), model.PhaseRebooting)
		h.replica.lead(2, false)
		h.report(5*time.Second, 0)
		h.replica.lead(3, true)
		h.report(20*time.Minute, 0)
		w, _ := h.replica.state().Waves.Get("w")
		assert.Equal(t, w.Phase, model.WaveDone)
		starts := map[string]int{}
		for i, call := range h.platform.calls {
			if call[:5] == "start" {
				starts[call]++
				assert.Equal(t, h.platform.calls[i-1], "query"+call[5:], "an operation is queried before it is sent")
			}
		}
		assert.Equal(t, len(starts), 6)
		for call, n := range starts {
			assert.Equal(t, n, 1, "%s", call)
		}
	})
}

// Guards against a follower that proposes commands or calls the platform, and against
// a leader that fills the log or decides without a pause while nothing has to be done.
func TestIdleLeaderAndFollowerProposeNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 0)
		h.report(10*time.Minute, 0)
		assert.Equal(t, h.replica.proposals, 2) // by the test itself
		h.replica.lead(1, false)
		h.propose(t, model.StartWave{ID: "w", Pools: []model.PoolName{"a"}})
		h.report(10*time.Minute, 0)
		assert.Equal(t, h.replica.proposals, 3)
		assert.Equal(t, len(h.platform.calls), 0)
	})
}

// Guards against an instance that sends no heartbeats any more and still counts as
// available, and against one that stays lost although its heartbeats have resumed.
func TestSilentInstanceIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := startHarness(t, 0)
		h.report(time.Minute, 0)
		for range 70 {
			h.machine.Report(EntryReport{Entry: "e", OutOfService: freshReports(0, "a1", "a2")})
			time.Sleep(time.Second)
		}
		synctest.Wait()
		assert.Equal(t, h.phase("a0"), model.PhaseLost)
		assert.Equal(t, h.phase("a1"), model.PhaseActive)
		h.report(5*time.Second, 0)
		assert.Equal(t, h.phase("a0"), model.PhaseActive)
	})
}

// Guards against an instance in service that counts as lost because reports do not
// list it, and against one that is listed as silent and still counts as seen.
func TestInstancesInServiceAreSeenUnlessSilent(t *testing.T) {
	s := model.State{}
	s.Entries = s.Entries.Set("e", model.EntryMember{ID: "e"})
	for _, id := range []model.InstanceID{"a0", "a1", "a2"} {
		s.Instances = s.Instances.Set(id, model.Instance{ID: id, Phase: model.PhaseActive})
		s.Targets = s.Targets.Set(model.TargetID(id), model.Target{ID: model.TargetID(id), Instance: id, Phase: model.TargetReady})
	}
	drained, _ := s.Instances.Get("a2")
	drained.Phase = model.PhaseDraining
	s.Instances = s.Instances.Set("a2", drained)
	observer := newObserver(0)
	var cache ownershipCache
	observer.addReport(5000, EntryReport{Entry: "e", Silent: []model.InstanceID{"a1"}}, cache.inService(s, "e"))
	seen := observer.observations(s, 5000).Instances
	assert.Equal(t, seen["a0"].LastSeen, model.Timestamp(5000))
	assert.Equal(t, seen["a1"].LastSeen, model.Timestamp(0))
	assert.Equal(t, seen["a2"].LastSeen, model.Timestamp(0))
}
