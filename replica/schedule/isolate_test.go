package schedule

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Guards against one heartbeat that stops the scheduling of all workers: a name that is no
// text gets into a planned start, whose command cannot be decoded from the log.
func TestUnreadableNamesAreRefused(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		for _, change := range []func(*Report){
			func(r *Report) { r.Name, r.Worker = "\xff\xfe", model.MakeWorkerID("\xff\xfe", 1) },
			func(r *Report) { r.Instance = "m\xc3" },
			func(r *Report) { r.Pool = "p\x00" },
			func(r *Report) { r.Labels = []string{"a", "r\ufffd"} },
			func(r *Report) { r.Domain.Rack = "r\ufffd" },
		} {
			_, err := h.report("bad", 1, change)
			var res result.Result
			assert.Assert(t, errors.As(err, &res))
			assert.Equal(t, res.Code, result.InvalidInput)
		}
		assert.Equal(t, len(h.mustReport("sound", 1, nil).Start), 1)
	})
}

// Guards against a checkpoint that cannot be stored and holds up the end of its run: the
// end counts, and the next run resumes from the checkpoint before.
func TestUnreadableCheckpointIsDropped(t *testing.T) {
	runHarness(t, func(h *harness) {
		checkpointing := oneTask
		checkpointing.Checkpointing = true
		h.submit(1, checkpointing)
		first := h.mustReport("a", 1, nil).Start[0]
		interrupted := ended(model.RunInterrupted, first)
		o := h.mustReport("a", 1, func(r *Report) { interrupted(r); r.Ended[0].Checkpoint = "good" })
		assert.Equal(t, o.Start[0].Checkpoint, "good")
		second := ended(model.RunInterrupted, o.Start[0])
		o = h.mustReport("a", 1, func(r *Report) { second(r); r.Ended[0].Position, r.Ended[0].Checkpoint = 2, "\xff" })
		assert.Equal(t, o.AckCursor, int64(2))
		assert.Equal(t, o.Start[0].Checkpoint, "good")
	})
}

// naming returns a selector of the commands that record an end or a start on the worker.
func naming(id model.WorkerID) func(model.Command) bool {
	return func(c model.Command) bool {
		p, ok := c.(model.RecordProgress)
		return ok && (slices.ContainsFunc(p.Ends, func(e model.RunEnd) bool { return e.Worker == id }) ||
			slices.ContainsFunc(p.Starts, func(s model.RunStart) bool { return s.Worker == id }))
	}
}

// Guards against a planned start that is always refused and stops all other starts and all
// heartbeats, because every cycle plans it again.
func TestRefusedStartCostsOnlyItself(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.replica.Refuse(naming(model.MakeWorkerID("bad", 1)))
		small := func(r *Report) { r.Capacity.MilliCPU = 1000 } // is preferred, because it has the least free capacity
		assert.Equal(t, len(h.mustReport("bad", 1, small).Start), 0)
		h.mustReport("sound", 1, nil)
		h.submit(1, model.Step{Count: 2, Need: oneTask.Need})
		started := 0
		for range 5 {
			time.Sleep(planInterval)
			assert.Equal(t, len(h.mustReport("bad", 1, small).Start), 0)
			started = max(started, len(h.mustReport("sound", 1, nil).Start))
		}
		assert.Equal(t, started, 2)
		refused := h.logs.FilterMessage("progress refused").Len()
		assert.Equal(t, refused, 1, "the worker gets no work for a while after a refused start")
	})
}

// Guards against a gang of which only some members start, because the start of another
// member is refused.
func TestRefusedMemberDropsItsGangOnly(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.replica.Refuse(naming(model.MakeWorkerID("bad", 1)))
		whole := func(r *Report) { r.Capacity.MilliCPU = 1000 }
		h.mustReport("bad", 1, whole)
		h.mustReport("sound", 1, whole)
		gang := h.submit(1, model.Step{Count: 2, Need: oneTask.Need, Gang: true})
		h.mustReport("sound", 1, whole)
		w, _ := h.replica.View().State.Workloads.Get(gang)
		assert.Assert(t, !w.Started())
		h.submit(2, oneTask)
		started := 0
		for range 3 { // the first plan may choose the other worker
			time.Sleep(planInterval)
			started = max(started, len(h.mustReport("sound", 1, whole).Start))
		}
		assert.Equal(t, started, 1)
	})
}

// Guards against the end of a run that is always refused and keeps all other ends from
// being recorded, and against a refused end that is acknowledged and lost.
func TestRefusedEndCostsOnlyItself(t *testing.T) {
	runHarness(t, func(h *harness) {
		whole := func(r *Report) { r.Capacity.MilliCPU = 1000 }
		h.submit(1, model.Step{Count: 2, Need: oneTask.Need})
		h.mustReport("bad", 1, whole)
		sound := h.mustReport("sound", 1, whole).Start
		bad := h.mustReport("bad", 1, whole).Start
		assert.Equal(t, len(bad)+len(sound), 2)
		h.replica.Refuse(naming(model.MakeWorkerID("bad", 1)))
		_, err := h.report("bad", 1, ended(model.RunDone, bad[0]))
		var res result.Result
		assert.Assert(t, errors.As(err, &res) && res.Code == result.InvalidInput, "%v", err)
		time.Sleep(2 * lease) // from now on each cycle also records that the silent worker's run is lost
		o := h.mustReport("sound", 1, ended(model.RunDone, sound[0]))
		assert.Equal(t, o.AckCursor, int64(1))
		h.replica.Refuse(nil)
		time.Sleep(planInterval)
		started := h.mustReport("sound", 1, func(r *Report) { whole(r); ended(model.RunDone, sound[0])(r) }).Start
		assert.Equal(t, len(started), 1)
		assert.Equal(t, started[0].Run.Number, 2)
	})
}

// Guards against a worker that gets work again too early, because a refused run shortens
// the longer pause after a start that could not be committed.
func TestRefusedRunDoesNotShortenAPause(t *testing.T) {
	now := time.Now()
	w := &worker{backoffUntil: now.Add(refusedBackoff)}
	w.recordEnd(now, Ended{Refused: true}, false)
	assert.Equal(t, w.backoffUntil, now.Add(refusedBackoff))
}
