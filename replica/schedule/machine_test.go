package schedule

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/clock"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica"
)

const leaseMax = 6 * time.Second

// fakeReplica applies commands at once and always has a quorum.
type fakeReplica struct {
	mu     sync.Mutex
	view   replica.View
	silent bool // the quorum is not heard of any more
}

func (f *fakeReplica) View() *replica.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view
	if !f.silent {
		v.QuorumContact = time.Now()
	}
	return &v
}

func (f *fakeReplica) Propose(_ context.Context, commands []model.Envelope) ([]result.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]result.Result, len(commands))
	for i, env := range commands {
		env.Time = model.At(time.Now())
		f.view.State, out[i] = command.Apply(f.view.State, f.view.State.Index+1, f.view.Term, env)
	}
	return out, nil
}

func (f *fakeReplica) lead(term model.Term) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Term, f.view.IsLeader, f.view.LeaderSince = term, term != 0, time.Now()
	f.view.State.Term = term // the entry that every leader commits first
}

// bench is a machine on a running loop and one queue.
type bench struct {
	t       *testing.T
	replica *fakeReplica
	machine *Machine
	logs    *observer.ObservedLogs
	loop    loop.Port
	seq     int64
}

// caller runs functions on the goroutine of the loop, where other machines call.
type caller struct{}

func (caller) Handle(_ time.Time, m loop.Message) { m.(func())() }
func (caller) Tick(time.Time)                     {}
func (caller) Deadline() time.Time                { return time.Time{} }
func (caller) Flush(time.Time)                    {}

// onLoop runs f on the goroutine of the loop and waits for it.
func (b *bench) onLoop(f func()) {
	done := make(chan struct{})
	assert.NilError(b.t, b.loop.Send(context.Background(), func() { f(); close(done) }))
	<-done
}

func run(t *testing.T, test func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := &bench{t: t, replica: &fakeReplica{view: replica.View{Term: 1, IsLeader: true, LeaderSince: time.Now()}}}
		catalog := model.Catalog{
			Version: 1, Pools: []model.WorkerPool{{Name: "p"}},
			Queues: []model.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p", MaxFailures: 3, Stretch: 2, Target: time.Second}},
		}
		b.propose(model.PublishCatalog{Catalog: catalog})
		core, logs := observer.New(zapcore.InfoLevel)
		b.logs = logs
		l := loop.New(64)
		b.machine = New(ctx, l, b.replica, clock.NewGuard(), Settings{LeaseMax: leaseMax, Metrics: NewMetrics(prometheus.NewRegistry()), Logger: zap.New(core)})
		b.loop = l.Add(caller{})
		done := make(chan struct{})
		go func() { defer close(done); l.Run(ctx) }()
		test(b)
		cancel()
		<-done
	})
}

func (b *bench) propose(c model.Command) {
	_, err := b.replica.Propose(context.Background(), []model.Envelope{{Command: c}})
	assert.NilError(b.t, err)
}

func (b *bench) submit(id int, steps ...model.Step) model.WorkloadID {
	name := fmt.Sprintf("%016x", id)
	b.propose(model.SubmitWorkload{Host: "h", Path: "/" + name, Workload: model.Workload{Payload: "text", Steps: steps}})
	return model.WorkloadID(name)
}

// report sends a heartbeat of the incarnation of worker name that started at the time.
func (b *bench) report(name string, started model.Timestamp, change func(*Report)) (Orders, error) {
	b.seq++
	r := Report{
		Worker: model.MakeWorkerID(name, started), Name: name, StartedAt: started, Address: "10.0.0.1:" + name, Instance: model.InstanceID("m-" + name),
		Pool: "p", Capacity: model.Resources{MilliCPU: 4000, MemoryMB: 4000}, Sequence: b.seq,
	}
	if change != nil {
		change(&r)
	}
	return b.machine.Report(context.Background(), r)
}

func (b *bench) mustReport(name string, started model.Timestamp, change func(*Report)) Orders {
	o, err := b.report(name, started, change)
	assert.NilError(b.t, err)
	return o
}

func running(runs ...StartOrder) func(*Report) {
	return func(r *Report) {
		for _, s := range runs {
			r.Running = append(r.Running, Running{Run: s.Run, Percent: 50, Checkpoint: "c"})
		}
	}
}

func ended(how model.RunOutcome, s StartOrder) func(*Report) {
	return func(r *Report) { r.Ended = []Ended{{Position: 1, Run: s.Run, Outcome: how}} }
}

var oneTask = model.Step{Count: 1, Need: model.Resources{MilliCPU: 1000}}

// Guards against a start whose order was lost on its way and that is never repeated.
func TestLostOrderIsRepeated(t *testing.T) {
	run(t, func(b *bench) {
		b.submit(1, oneTask)
		first := b.mustReport("a", 1, nil)
		assert.Equal(t, len(first.Start), 1)
		again := b.mustReport("a", 1, nil)
		assert.DeepEqual(t, again.Start, first.Start)
		assert.Equal(t, len(b.mustReport("a", 1, running(first.Start...)).Start), 0)
	})
}

// Guards against a task that is started elsewhere while its worker, which is not
// heard of, may still run it.
func TestSilentWorkerKeepsItsRunsUntilTheLeaseEnds(t *testing.T) {
	run(t, func(b *bench) {
		b.submit(1, oneTask)
		start := b.mustReport("a", 1, nil)
		granted := time.Now()
		for time.Since(granted) <= start.Lease+time.Duration(clockError*float64(start.Lease)) {
			assert.Equal(t, len(b.mustReport("b", 2, nil).Start), 0)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(leaseSlack)
		assert.Equal(t, len(b.mustReport("b", 2, nil).Start), 1)
	})
}

// Guards against a new leader that starts a task elsewhere while a worker that
// it has not heard of may run it under a lease of the leader before.
func TestNewLeaderWaitsForOldLeases(t *testing.T) {
	run(t, func(b *bench) {
		b.submit(1, oneTask)
		b.mustReport("a", 1, nil)
		time.Sleep(time.Second)
		b.replica.lead(2)
		since := time.Now()
		for time.Since(since) <= lease+time.Duration(clockError*float64(lease)) {
			assert.Equal(t, len(b.mustReport("b", 2, nil).Start), 0)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(leaseSlack)
		assert.Equal(t, len(b.mustReport("b", 2, nil).Start), 1)
	})
}

// Guards against a wait for the lease of an incarnation that has certainly ended.
func TestNewIncarnationFreesTheRunsOfTheOldOne(t *testing.T) {
	run(t, func(b *bench) {
		b.submit(1, oneTask)
		b.mustReport("a", 1, nil)
		o := b.mustReport("a", 5, nil)
		assert.Equal(t, len(o.Start), 1)
		assert.Equal(t, o.Start[0].Run.Number, 2)
	})
}

// Guards against a late heartbeat of an ended incarnation that gets orders.
func TestLateHeartbeatIsRefused(t *testing.T) {
	run(t, func(b *bench) {
		b.mustReport("a", 5, nil)
		b.submit(1, oneTask)
		_, err := b.report("a", 1, nil)
		assert.ErrorContains(t, err, "later heartbeat")
		_, err = b.report("a", 5, func(r *Report) { r.Sequence = 1 })
		assert.ErrorContains(t, err, "later heartbeat")
		_, err = b.report("z", 1, func(r *Report) { r.Address = "10.0.0.1:a" })
		assert.ErrorContains(t, err, "later heartbeat")
	})
}

// Guards against runs that go on after their workload was cancelled.
func TestCancelledRunsAreStopped(t *testing.T) {
	run(t, func(b *bench) {
		id := b.submit(1, oneTask)
		start := b.mustReport("a", 1, nil)
		b.propose(model.CancelWorkload{Host: "h", Path: "/" + string(id)})
		o := b.mustReport("a", 1, running(start.Start...))
		assert.DeepEqual(t, o.Stop, []model.RunRef{start.Start[0].Run})
	})
}

// Guards against room that counts as free while a stopped run still ends.
func TestStoppingRunsTakeRoom(t *testing.T) {
	run(t, func(b *bench) {
		large := model.Step{Count: 1, Need: model.Resources{MilliCPU: 3000}}
		id := b.submit(1, large)
		start := b.mustReport("a", 1, nil)
		b.propose(model.CancelWorkload{Host: "h", Path: "/" + string(id)})
		b.submit(2, large)
		assert.Equal(t, len(b.mustReport("a", 1, running(start.Start...)).Start), 0)
		assert.Equal(t, len(b.mustReport("a", 1, nil).Start), 1)
	})
}

// Guards against a worker that is leaving and gets new work.
func TestDrainingWorkerGetsNoWork(t *testing.T) {
	run(t, func(b *bench) {
		b.submit(1, oneTask)
		assert.Equal(t, len(b.mustReport("a", 1, func(r *Report) { r.Draining = true }).Start), 0)
		assert.Equal(t, len(b.mustReport("b", 1, nil).Start), 1)
	})
}

// Guards against ends that are acknowledged before they are recorded, or not at all.
func TestEndsAreRecordedBeforeTheyAreAcknowledged(t *testing.T) {
	run(t, func(b *bench) {
		id := b.submit(1, oneTask)
		start := b.mustReport("a", 1, nil)
		o := b.mustReport("a", 1, ended(model.RunDone, start.Start[0]))
		assert.Equal(t, o.EndsTo, int64(1))
		f, ok := b.replica.View().State.Finished.Get(id)
		assert.Assert(t, ok)
		assert.Equal(t, f.Phase, model.WorkloadCompleted)
	})
}

// Guards against leases that are granted by a replica that may not lead any more.
func TestLeaderWithoutQuorumGrantsNothing(t *testing.T) {
	run(t, func(b *bench) {
		b.submit(1, oneTask)
		b.replica.mu.Lock()
		b.replica.silent, b.replica.view.QuorumContact = true, time.Now()
		b.replica.mu.Unlock()
		time.Sleep(time.Second)
		_, err := b.report("a", 1, nil)
		assert.ErrorContains(t, err, "does not lead")
		b.replica.lead(0)
		_, err = b.report("a", 1, nil)
		assert.ErrorContains(t, err, "does not lead")
	})
}

// Guards against a checkpoint that is lost with its worker.
func TestCheckpointOfLostWorkerIsUsed(t *testing.T) {
	run(t, func(b *bench) {
		saves := oneTask
		saves.Checkpointing = true
		b.submit(1, saves)
		start := b.mustReport("a", 1, nil)
		b.mustReport("a", 1, running(start.Start...))
		o := b.mustReport("a", 9, nil)
		assert.Equal(t, o.Start[0].Checkpoint, "c")
	})
}

// Guards against a task that fails on one worker again and again while others are free.
func TestFailedTaskIsTriedElsewhere(t *testing.T) {
	run(t, func(b *bench) {
		b.submit(1, oneTask)
		start := b.mustReport("a", 1, nil)
		assert.Equal(t, len(b.mustReport("a", 1, ended(model.RunFailed, start.Start[0])).Start), 0)
		assert.Equal(t, len(b.mustReport("b", 1, nil).Start), 1)
	})
}

// Guards against a cordoned instance that gets work, and a run that is not stopped for it.
func TestCordonedInstance(t *testing.T) {
	run(t, func(b *bench) {
		b.submit(1, oneTask)
		start := b.mustReport("a", 1, nil)
		b.onLoop(func() {
			b.machine.SetCordons(map[model.InstanceID]bool{"m-a": true})
			b.machine.StopRun(start.Start[0].Run)
		})
		b.submit(2, oneTask)
		o := b.mustReport("a", 1, running(start.Start...))
		assert.Equal(t, len(o.Start), 0)
		assert.Equal(t, len(o.Stop), 1)
	})
}

// Guards against a task that is never run because its run was to be stopped
// before the worker had heard of it.
func TestRunStoppedBeforeItBegan(t *testing.T) {
	run(t, func(b *bench) {
		b.submit(1, oneTask)
		start := b.mustReport("a", 1, nil)
		b.onLoop(func() { b.machine.StopRun(start.Start[0].Run) })
		b.mustReport("a", 1, nil) // the first answer was lost
		time.Sleep(planInterval)
		o := b.mustReport("a", 1, nil)
		assert.Equal(t, len(o.Start), 1)
		assert.Equal(t, o.Start[0].Run.Number, 2)
	})
}

// Guards against an instance that counts as idle while a start on it is being
// committed, and is moved with it.
func TestStartsInCommitAreObserved(t *testing.T) {
	r := &fakeReplica{}
	r.lead(1)
	m := New(t.Context(), loop.New(1), r, clock.NewGuard(), Settings{LeaseMax: leaseMax, Metrics: NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop()})
	now := time.Now()
	m.Flush(now)
	id := model.MakeWorkerID("a", 1)
	m.Handle(now, reported{Report{Worker: id, Name: "a", StartedAt: 1, Address: "a", Instance: "m", Pool: "p", Sequence: 1}, make(chan answer, 1)})
	assert.Assert(t, m.Observe(now)[0].Idle())
	ref := model.TaskRef{Workload: "00000000000000ff"}
	m.inCommit = &turn{progress: model.RecordProgress{Starts: []model.RunStart{{Run: model.RunRef{Task: ref, Number: 1}, Worker: id}}}}
	assert.Assert(t, !m.Observe(now)[0].Idle())
}
