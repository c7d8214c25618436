package schedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// endAll reports the ends of the runs, which share their outcome unless others are given
// by index.
func endAll(outcome model.RunOutcome, starts []StartOrder, others map[int]model.RunOutcome) func(*Report) {
	return func(r *Report) {
		for i, s := range starts {
			how := outcome
			if other, ok := others[i]; ok {
				how = other
			}
			r.Ended = append(r.Ended, Ended{Position: int64(i + 1), Run: s.Run, Outcome: how})
		}
	}
}

// suspected returns how many workers the machine has put in doubt so far.
func (h *harness) suspected() int { return h.logs.FilterMessage("worker in doubt").Len() }

// Guards against a job that is shown as failed after one failed run of its gang, and
// against a worker that counts as bad because several members failed in one run.
func TestFailedGangRunCountsOnce(t *testing.T) {
	runHarness(t, func(h *harness) {
		id := h.submit(1, model.Step{Count: 4, Need: oneTask.Need, Gang: true})
		starts := h.mustReport("a", 1, nil).Start
		assert.Equal(t, len(starts), 4)
		h.mustReport("a", 1, endAll(model.RunFailed, starts[:2], nil))
		h.mustReport("a", 1, endAll(model.RunFailed, starts, nil))
		assert.Equal(t, h.suspected(), 0)
		w, active := h.replica.View().State.Workloads.Get(id)
		assert.Assert(t, active)
		assert.Equal(t, w.Rounds.Step(0, 0).GangProgress().FailedRuns, 1)
		assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 4)
	})
}

// Guards against a gang that is started on a bad worker again, where only one member has
// failed and the others were ended with it, until it has failed for good.
func TestGangAvoidsTheWorkerOfItsFailedRun(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, model.Step{Count: 2, Need: oneTask.Need, Gang: true})
		starts := h.mustReport("a", 1, nil).Start
		o := h.mustReport("a", 1, endAll(model.RunInterrupted, starts, map[int]model.RunOutcome{1: model.RunFailed}))
		assert.Equal(t, len(o.Start), 0)
		assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 2)
	})
}

// Guards against a worker in doubt because of one failed run, whose end it lists again in
// each heartbeat until the end is acknowledged; and against a worker that fails
// everything and is not put in doubt.
func TestRepeatedEndIsOneFailure(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, model.Step{Count: 3, Need: oneTask.Need})
		starts := h.mustReport("a", 1, nil).Start
		assert.Equal(t, len(starts), 3)
		for range maxFailures {
			h.mustReport("a", 1, ended(model.RunFailed, starts[0]))
		}
		assert.Equal(t, h.suspected(), 0)
		h.mustReport("a", 1, endAll(model.RunFailed, starts, nil))
		assert.Equal(t, h.suspected(), 1)
	})
}

// Guards against a member of a gang that starts after another one has ended the run: it
// would wait for the others, with a later checkpoint than theirs.
func TestEndedGangRunStartsNoFurtherMember(t *testing.T) {
	runHarness(t, func(h *harness) {
		half := func(r *Report) { r.Capacity.MilliCPU = 1000 }
		h.mustReport("a", 1, half)
		h.submit(1, model.Step{Count: 2, Need: oneTask.Need, Gang: true, Checkpointing: true})
		b := h.mustReport("b", 1, half).Start
		a := h.mustReport("a", 1, half).Start
		assert.Equal(t, len(a)+len(b), 2)
		h.mustReport("a", 1, func(r *Report) {
			half(r)
			ended(model.RunInterrupted, a[0])(r)
			r.Ended[0].Checkpoint = "c"
		})
		o := h.mustReport("b", 1, half) // its first answer was lost
		assert.Equal(t, len(o.Start), 0)
		assert.DeepEqual(t, o.Stop, []model.RunRef{b[0].Run})
		time.Sleep(planInterval)
		restarted := h.mustReport("b", 1, half).Start
		restarted = append(restarted, h.mustReport("a", 1, half).Start...)
		restarted = append(restarted, h.mustReport("b", 1, half).Start...)
		for _, s := range restarted {
			assert.Equal(t, s.Run.Number, 2)
			assert.Equal(t, s.Checkpoint, "c")
		}
		assert.Assert(t, len(restarted) >= 2)
	})
}
