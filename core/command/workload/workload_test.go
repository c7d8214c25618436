package workload

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

const (
	host   = "counter.example"
	prefix = "/batches/"
	id     = model.WorkloadID("00000000000000a1")
	first  = model.WorkerID("w1@1")
	second = model.WorkerID("w2@1")
)

// fixture applies commands to a state with one queue.
type fixture struct {
	t *testing.T
	s model.State
}

func newFixture(t *testing.T) *fixture {
	return &fixture{t, model.State{Clock: 1000, Catalog: &model.Catalog{
		Version: 1, Pools: []model.WorkerPool{{Name: "pool"}},
		Queues: []model.Queue{{Name: "q", Host: host, Prefix: prefix, Pool: "pool", MaxFailures: 2}},
	}}}
}

func (w *fixture) apply(c model.Command) result.Result {
	r, ok := Apply(&w.s, model.Envelope{Command: c})
	assert.Assert(w.t, ok)
	return r
}

func (w *fixture) submit(steps ...model.Step) result.Result {
	return w.apply(model.SubmitWorkload{Host: host, Path: prefix + string(id), Workload: model.Workload{Steps: steps}})
}

func (w *fixture) record(ends []model.RunEnd, starts ...model.RunStart) {
	w.apply(model.RecordProgress{Ends: ends, Starts: starts})
}

func (w *fixture) phase() model.WorkloadPhase {
	if f, ok := w.s.Finished.Get(id); ok {
		return f.Phase
	}
	return model.WorkloadActive
}

func (w *fixture) active(step, index int) int {
	workload, _ := w.s.Workloads.Get(id)
	return len(workload.Rounds.Step(0, step).Tasks.At(index).Active)
}

func run(step, index, number int) model.RunRef {
	return model.RunRef{Task: model.TaskRef{Workload: id, Step: step, Index: index}, Number: number}
}

func start(step, index, number int, worker model.WorkerID) model.RunStart {
	return model.RunStart{Run: run(step, index, number), Worker: worker}
}

func end(step, index, number int, worker model.WorkerID, outcome model.RunOutcome) model.RunEnd {
	return model.RunEnd{Run: run(step, index, number), Worker: worker, Outcome: outcome}
}

// Guards against a workload that is accepted twice, or that runs again because a resent
// submission arrives after its end.
func TestResentSubmissionIsOneWorkload(t *testing.T) {
	w := newFixture(t)
	assert.Equal(t, w.submit(model.Step{Count: 1}).Code, result.Accepted)
	assert.Equal(t, w.submit(model.Step{Count: 5}).Code, result.Unchanged)
	w.record(nil, start(0, 0, 1, first))
	w.record([]model.RunEnd{end(0, 0, 1, first, model.RunDone)})
	assert.Equal(t, w.phase(), model.WorkloadCompleted)
	assert.Equal(t, w.submit(model.Step{Count: 1}).Code, result.Unchanged)
	assert.Equal(t, w.s.Workloads.Len(), 0)
}

// Guards against a task that starts before the steps that its step depends on are done.
func TestStepWaitsForEarlierSteps(t *testing.T) {
	w := newFixture(t)
	w.submit(model.Step{Count: 2}, model.Step{Count: 1, After: []int{0}})
	w.record(nil, start(0, 0, 1, first), start(0, 1, 1, first))
	w.record([]model.RunEnd{end(0, 0, 1, first, model.RunDone)}, start(1, 0, 1, second))
	assert.Equal(t, w.active(1, 0), 0)
	w.record([]model.RunEnd{end(0, 1, 1, first, model.RunDone)}, start(1, 0, 1, second))
	assert.Equal(t, w.active(1, 0), 1)
}

// Guards against two concurrent runs of one task whose step is not speculative.
func TestSecondRunOnlyWhereCopiesAreAllowed(t *testing.T) {
	for _, copies := range []bool{false, true} {
		w := newFixture(t)
		w.submit(model.Step{Count: 1, Speculative: copies})
		w.record(nil, start(0, 0, 1, first))
		w.record(nil, start(0, 0, 2, second))
		assert.Equal(t, w.active(0, 0) == 2, copies)
	}
}

// Guards against a late end of an interrupted run: if it counted, a task would be done while it
// runs again on another worker.
func TestEndOfLostRunDoesNotCount(t *testing.T) {
	w := newFixture(t)
	w.submit(model.Step{Count: 1})
	w.record(nil, start(0, 0, 1, first))
	w.record([]model.RunEnd{end(0, 0, 1, first, model.RunInterrupted)}, start(0, 0, 2, second))
	w.record([]model.RunEnd{end(0, 0, 1, first, model.RunDone)})
	assert.Equal(t, w.phase(), model.WorkloadActive)
	w.record([]model.RunEnd{end(0, 0, 2, second, model.RunDone)})
	assert.Equal(t, w.phase(), model.WorkloadCompleted)
}

// Guards against a workload that goes on after its maximum number of failures, and against an
// interrupted run that is counted as a failure.
func TestFailureBudget(t *testing.T) {
	w := newFixture(t)
	w.submit(model.Step{Count: 2})
	for n := 1; n <= 3; n++ {
		w.record(nil, start(0, 0, n, first))
		w.record([]model.RunEnd{end(0, 0, n, first, model.RunInterrupted)})
	}
	assert.Equal(t, w.phase(), model.WorkloadActive)
	for n := 4; n <= 5; n++ {
		w.record(nil, start(0, 0, n, first))
		w.record([]model.RunEnd{end(0, 0, n, first, model.RunFailed)})
	}
	assert.Equal(t, w.phase(), model.WorkloadFailed)
	assert.Equal(t, w.s.Assignments.Len(), 0)
}

// gangRun starts a run of a gang and ends its members one command after the other.
func (w *fixture) gangRun(number int, outcomes ...model.RunOutcome) {
	var starts []model.RunStart
	for i := range outcomes {
		starts = append(starts, start(0, i, number, first))
	}
	w.record(nil, starts...)
	for i, outcome := range outcomes {
		w.record([]model.RunEnd{end(0, i, number, first, outcome)})
	}
}

// Guards against a gang that fails for good after one failed run, because the failures of
// its members are added up, and against one that goes on after its maximum number of
// failed runs, whichever members failed them.
func TestGangFailsOnceForEachRun(t *testing.T) {
	const failed, interrupted = model.RunFailed, model.RunInterrupted
	w := newFixture(t)
	w.submit(model.Step{Count: 4, Gang: true})
	w.gangRun(1, failed, failed, failed, failed)
	assert.Equal(t, w.phase(), model.WorkloadActive)
	w.gangRun(2, interrupted, interrupted, interrupted, interrupted)
	assert.Equal(t, w.phase(), model.WorkloadActive)
	w.gangRun(3, interrupted, failed, interrupted, interrupted)
	assert.Equal(t, w.phase(), model.WorkloadFailed)
	assert.Equal(t, w.s.Assignments.Len(), 0)
}

// Guards against log entries of the first release that have another effect than when they
// were written: replicas with different snapshots would differ.
func TestFirstRulesCountEachMember(t *testing.T) {
	w := newFixture(t)
	w.submit(model.Step{Count: 2, Gang: true})
	old := func(c model.RecordProgress) {
		_, ok := Apply(&w.s, model.Envelope{Rules: model.FirstRules, Command: c})
		assert.Assert(t, ok)
	}
	old(model.RecordProgress{Starts: []model.RunStart{start(0, 0, 1, first), start(0, 1, 1, first)}})
	old(model.RecordProgress{Ends: []model.RunEnd{end(0, 0, 1, first, model.RunFailed)}})
	assert.Equal(t, w.phase(), model.WorkloadActive)
	old(model.RecordProgress{Ends: []model.RunEnd{end(0, 1, 1, first, model.RunFailed)}})
	assert.Equal(t, w.phase(), model.WorkloadFailed)
}

// Guards against failures of a gang that are lost, or counted for each member, when the
// release that recorded them is replaced.
func TestFailuresOfFirstRulesAreKept(t *testing.T) {
	w := newFixture(t)
	w.submit(model.Step{Count: 2, Gang: true})
	workload, _ := w.s.Workloads.Get(id)
	step := workload.Rounds.Step(0, 0)
	step = step.WithTask(0, model.Task{Failures: 1}).WithTask(1, model.Task{Failures: 1})
	workload.Rounds = workload.Rounds.WithStep(0, 0, step)
	w.s.Workloads = w.s.Workloads.Set(id, workload)
	w.gangRun(2, model.RunInterrupted, model.RunInterrupted)
	assert.Equal(t, w.phase(), model.WorkloadActive)
	w.gangRun(3, model.RunFailed, model.RunInterrupted)
	assert.Equal(t, w.phase(), model.WorkloadFailed)
}

// Guards against a lasting task that fails for good after the maximum number of failures.
func TestLastingTaskHasNoFailureLimit(t *testing.T) {
	w := newFixture(t)
	w.submit(model.Step{Count: 1, Lasting: true})
	for n := 1; n <= 5; n++ {
		w.record(nil, start(0, 0, n, first))
		w.record([]model.RunEnd{end(0, 0, n, first, model.RunFailed)})
	}
	assert.Equal(t, w.phase(), model.WorkloadActive)
}

// Guards against a gang of which only some members start, and against members that keep running
// after one of them has ended the task for all.
func TestGangStartsAndEndsAsOne(t *testing.T) {
	w := newFixture(t)
	w.submit(model.Step{Count: 2, Gang: true})
	w.record(nil, start(0, 0, 1, first), start(0, 1, 0, second))
	assert.Equal(t, w.active(0, 0), 0)
	w.record(nil, start(0, 0, 1, first), start(0, 1, 1, second))
	w.record([]model.RunEnd{end(0, 1, 1, second, model.RunDone)})
	assert.Equal(t, w.phase(), model.WorkloadCompleted)
	assert.Equal(t, w.s.Assignments.Len(), 0)
}

// Guards against runs that stay assigned after a cancellation, and against a start that arrives
// after it.
func TestCancelEndsEverything(t *testing.T) {
	w := newFixture(t)
	cancel := model.CancelWorkload{Host: host, Path: prefix + string(id)}
	assert.Equal(t, w.apply(cancel).Code, result.Expired)
	w.submit(model.Step{Count: 2})
	w.record(nil, start(0, 0, 1, first))
	assert.Equal(t, w.apply(cancel).Code, result.OK)
	assert.Equal(t, w.apply(cancel).Code, result.Unchanged)
	w.record(nil, start(0, 1, 1, first))
	assert.Equal(t, w.s.Assignments.Len(), 0)
	assert.Equal(t, w.phase(), model.WorkloadCancelled)
}

// Guards against a checkpoint that is lost when its run ends.
func TestCheckpointIsKept(t *testing.T) {
	w := newFixture(t)
	w.submit(model.Step{Count: 1, Checkpointing: true})
	w.record(nil, start(0, 0, 1, first))
	e := end(0, 0, 1, first, model.RunInterrupted)
	e.Checkpoint = "half"
	w.record([]model.RunEnd{e})
	workload, _ := w.s.Workloads.Get(id)
	task, _ := workload.Task(run(0, 0, 1).Task)
	assert.Equal(t, task.Checkpoint, "half")
}

// Guards against members of a gang that resume from different checkpoints and wait for each
// other for good: after the loss of one worker its member has an older checkpoint than the
// others.
func TestGangHasOneCheckpoint(t *testing.T) {
	w := newFixture(t)
	w.submit(model.Step{Count: 3, Gang: true, Checkpointing: true})
	resume := func() (out []string) {
		workload, _ := w.s.Workloads.Get(id)
		for i := range 3 {
			out = append(out, workload.ResumeFrom(run(0, i, 1).Task))
		}
		return out
	}
	finish := func(number int, checkpoints ...string) {
		w.record(nil, start(0, 0, number, first), start(0, 1, number, first), start(0, 2, number, second))
		for i, checkpoint := range checkpoints {
			worker := []model.WorkerID{first, first, second}[i]
			e := end(0, i, number, worker, model.RunInterrupted)
			e.Checkpoint = checkpoint
			w.record([]model.RunEnd{e})
		}
	}
	finish(1, "new", "new", "old")
	assert.DeepEqual(t, resume(), []string{"new", "new", "new"})
	finish(2, "", "", "") // ended before it wrote one
	assert.DeepEqual(t, resume(), []string{"new", "new", "new"})
	finish(3, "", "newer", "newest")
	assert.DeepEqual(t, resume(), []string{"newer", "newer", "newer"})
}

// Guards against members of a gang that resume from the different checkpoints which the
// first release has recorded for them.
func TestGangOfFirstRulesResumesFromOneCheckpoint(t *testing.T) {
	w := newFixture(t)
	w.submit(model.Step{Count: 2, Gang: true, Checkpointing: true})
	workload, _ := w.s.Workloads.Get(id)
	workload.Rounds = workload.Rounds.WithStep(0, 0, workload.Rounds.Step(0, 0).WithTask(1, model.Task{Checkpoint: "recorded"}))
	for i := range 2 {
		assert.Equal(t, workload.ResumeFrom(run(0, i, 1).Task), "recorded")
	}
}

// Guards against accepting workloads that cannot be run.
func TestInvalidWorkloads(t *testing.T) {
	w := newFixture(t)
	for _, steps := range [][]model.Step{{}, {{Count: 0}}, {{Count: 1, After: []int{0}}}, {{Count: MaxTasks + 1}}} {
		assert.Equal(t, w.submit(steps...).Code, result.InvalidInput)
	}
	r := w.apply(model.SubmitWorkload{Host: host, Path: prefix + "short", Workload: model.Workload{Steps: []model.Step{{Count: 1}}}})
	assert.Equal(t, r.Code, result.InvalidInput)
	r = w.apply(model.SubmitWorkload{Host: "other.example", Path: prefix + string(id), Workload: model.Workload{Steps: []model.Step{{Count: 1}}}})
	assert.Equal(t, r.Code, result.NotFound)
	w.s.Catalog = nil
	assert.Equal(t, w.submit(model.Step{Count: 1}).Code, result.NoCatalog)
}

// Guards against an index of assignments, maintained command by command, that differs from the
// index rebuilt from a snapshot.
func TestRebuiltAssignmentsEqualMaintainedOnes(t *testing.T) {
	w := newFixture(t)
	w.submit(model.Step{Count: 3, Speculative: true})
	w.record(nil, start(0, 0, 1, first), start(0, 1, 1, second), start(0, 0, 2, second))
	w.record([]model.RunEnd{end(0, 1, 1, second, model.RunDone)})
	restored := w.s
	restored.Assignments = model.State{}.Assignments
	restored = RebuildDerived(restored)
	assert.DeepEqual(t, runsByWorker(restored), runsByWorker(w.s))
	assert.Equal(t, len(runsByWorker(w.s)), w.s.Assignments.Len())
}

func runsByWorker(s model.State) map[model.WorkerID][]model.RunRef {
	out := map[model.WorkerID][]model.RunRef{}
	for id, a := range s.Assignments.All() {
		out[id] = slices.Collect(a.Runs.All())
	}
	return out
}
