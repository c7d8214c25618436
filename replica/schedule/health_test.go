package schedule

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/replica"
)

// at adds the runs to a report with a progress in percent.
func at(percent int, runs ...StartOrder) func(*Report) {
	return func(r *Report) {
		for _, s := range runs {
			r.Running = append(r.Running, Running{Run: s.Run, Percent: percent})
		}
	}
}

// Guards against a run without progress that is never stopped because its worker goes
// on sending heartbeats, and against a restart of its task on the same worker.
func TestStalledRunIsStartedElsewhere(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil)
		var stop []model.RunRef
		for began := time.Now(); len(stop) == 0; time.Sleep(200 * time.Millisecond) {
			stop = h.mustReport("a", 1, at(40, start.Start...)).Stop
			assert.Assert(t, time.Since(began) < stallTimeout+time.Second)
		}
		o := h.mustReport("a", 1, ended(model.RunInterrupted, start.Start[0]))
		assert.Equal(t, len(o.Start), 0)
		assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 1)
	})
}

// Guards against stall detection that stops a run which makes progress, or a
// long-running task that serves and therefore stays at 100 percent.
func TestProgressingRunsAreNotStopped(t *testing.T) {
	runHarness(t, func(h *harness) {
		lasting := oneTask
		lasting.Lasting = true
		h.submit(1, oneTask)
		serving := h.submit(2, lasting)
		start := h.mustReport("a", 1, nil)
		assert.Equal(t, start.Start[1].Run.Task.Workload, serving)
		for i := range 20 {
			o := h.mustReport("a", 1, func(r *Report) {
				at(5*i, start.Start[0])(r) // start orders are sorted by workload
				at(100, start.Start[1])(r)
			})
			assert.Equal(t, len(o.Stop), 0)
			time.Sleep(300 * time.Millisecond)
		}
	})
}

// advisor is a policy service that approves worker b only.
type advisor struct{ asked [][]string }

func (a *advisor) Advise(_ context.Context, _ model.WorkloadID, _, _ int, workers []string) (Advice, error) {
	a.asked = append(a.asked, workers)
	time.Sleep(100 * time.Millisecond)
	return Advice{Tickets: map[string]string{"b": "ticket"}, Validity: 2 * time.Second}, nil
}

// Guards against a start on a worker without a valid ticket, and against repeated
// calls of the policy service about a worker that it has refused.
func TestStartsNeedValidTicket(t *testing.T) {
	runHarness(t, func(h *harness) {
		a := &advisor{}
		h.onLoop(func() { h.machine.settings.Advisor = a })
		catalog := *h.replica.View().State.Catalog
		catalog.Queues = append([]model.Queue(nil), catalog.Queues...)
		catalog.Queues[0].Advised = true
		h.replica.Change(func(v *replica.View) { v.State.Catalog = &catalog })
		h.mustReport("a", 1, nil)
		h.mustReport("b", 1, nil)
		h.submit(1, oneTask)
		h.mustReport("b", 1, nil)
		time.Sleep(time.Second)
		assert.Equal(t, len(h.mustReport("a", 1, nil).Start), 0)
		o := h.mustReport("b", 1, nil)
		assert.Equal(t, len(o.Start), 1)
		assert.Equal(t, o.Start[0].Ticket, "ticket")
		assert.Equal(t, len(a.asked), 1)
	})
}

// Guards against an interruption of service: a long-running task that stays on a
// draining worker until the worker shuts down is started elsewhere too late.
func TestLastingTasksAreStoppedOnDrainingWorker(t *testing.T) {
	runHarness(t, func(h *harness) {
		lasting := oneTask
		lasting.Lasting = true
		h.submit(1, lasting)
		start := h.mustReport("a", 1, nil)
		o := h.mustReport("a", 1, func(r *Report) {
			at(100, start.Start...)(r)
			r.Draining = true
		})
		assert.Equal(t, len(o.Stop), 1)
	})
}

// Guards against two tasks of a step that are away at the same time although one may be:
// one is being stopped for the upkeep of its instance when the worker of the other begins to
// drain.
func TestEvacuationKeepsTheLimitOfItsStep(t *testing.T) {
	runHarness(t, func(h *harness) {
		apart := oneTask
		apart.Count, apart.Lasting, apart.MaxPerWorker, apart.Missable = 2, true, 1, 1
		h.submit(1, apart)
		first := h.mustReport("a", 1, nil)
		second := h.mustReport("b", 1, nil)
		h.mustReport("a", 1, at(100, first.Start...))
		h.mustReport("b", 1, at(100, second.Start...))
		h.onLoop(func() { h.machine.StopRun(second.Start[0].Run) })
		draining := func(r *Report) {
			at(100, first.Start...)(r)
			r.Draining = true
		}
		assert.Equal(t, len(h.mustReport("a", 1, draining).Stop), 0)

		again := h.mustReport("b", 1, ended(model.RunInterrupted, second.Start[0]))
		h.mustReport("b", 1, at(100, again.Start...))
		assert.Equal(t, len(h.mustReport("a", 1, draining).Stop), 1)
	})
}

// startApart starts both tasks of a step of which one may be away, on the workers a and b.
func startApart(h *harness) (first, second StartOrder) {
	apart := oneTask
	apart.Count, apart.Lasting, apart.MaxPerWorker, apart.Missable = 2, true, 1, 1
	h.submit(1, apart)
	first, second = h.mustReport("a", 1, nil).Start[0], h.mustReport("b", 1, nil).Start[0]
	h.mustReport("a", 1, at(100, first))
	h.mustReport("b", 1, at(100, second))
	return first, second
}

// drainingAt adds a run that serves to a report of a worker that drains.
func drainingAt(start StartOrder) func(*Report) {
	return func(r *Report) {
		at(100, start)(r)
		r.Draining = true
	}
}

// Guards against two tasks of a step that are away at the same time although one may be: the
// earlier leader has told one to stop, which goes on listing its progress until it has ended.
func TestNewLeaderKeepsTheLimitWhileAnEarlierStopMayGoOn(t *testing.T) {
	runHarness(t, func(h *harness) {
		first, second := startApart(h)
		h.onLoop(func() { h.machine.StopRun(second.Run) })
		assert.Equal(t, len(h.mustReport("b", 1, at(100, second)).Stop), 1)
		h.replica.Lead(2)
		for stopped := time.Now(); time.Since(stopped) < stopTimeout; time.Sleep(50 * time.Millisecond) {
			assert.Equal(t, len(h.mustReport("b", 1, at(100, second)).Stop), 0)
			assert.Equal(t, len(h.mustReport("a", 1, drainingAt(first)).Stop), 0)
		}
		again := h.mustReport("b", 1, ended(model.RunInterrupted, second))
		assert.Equal(t, len(h.mustReport("a", 1, drainingAt(first)).Stop), 0)
		h.mustReport("b", 1, at(100, again.Start...))
		assert.Equal(t, len(h.mustReport("a", 1, drainingAt(first)).Stop), 1)
	})
}

// Guards against planned work that never goes on after a change of leader: a run that is still
// listed when a stop would have ended is not being stopped.
func TestRunThatOutlastsTheTimeOfAStopServes(t *testing.T) {
	runHarness(t, func(h *harness) {
		first, second := startApart(h)
		h.replica.Lead(2)
		began := time.Now()
		for len(h.mustReport("a", 1, drainingAt(first)).Stop) == 0 {
			h.mustReport("b", 1, at(100, second))
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, time.Since(began) < 2*stopTimeout)
		}
		assert.Assert(t, time.Since(began) >= stopTimeout, "%s", time.Since(began))
	})
}

// Guards against a late heartbeat from before the stop, which arrives first and from which the
// time of the stop would be counted.
func TestLateHeartbeatIsNotTheBeginOfAStop(t *testing.T) {
	runHarness(t, func(h *harness) {
		first, second := startApart(h)
		held := time.Duration(time.Now().UnixNano())
		time.Sleep(2 * time.Second)
		h.mustReport("a", 1, at(100, first)) // keeps its lease
		h.onLoop(func() { h.machine.StopRun(second.Run) })
		assert.Equal(t, len(h.mustReport("b", 1, at(100, second)).Stop), 1)
		h.replica.Lead(2)
		h.mustReport("b", 1, func(r *Report) {
			at(100, second)(r)
			r.Clock = held
		})
		for stopped := time.Now(); time.Since(stopped) < stopTimeout; time.Sleep(50 * time.Millisecond) {
			assert.Equal(t, len(h.mustReport("b", 1, at(100, second)).Stop), 0)
			assert.Equal(t, len(h.mustReport("a", 1, drainingAt(first)).Stop), 0)
		}
	})
}

// Guards against late heartbeats that show a run as serving: they were sent before the stop had
// ended, however late they arrive.
func TestLateHeartbeatProvesNoRunServing(t *testing.T) {
	runHarness(t, func(h *harness) {
		first, second := startApart(h)
		h.replica.Lead(2)
		sent := time.Duration(time.Now().UnixNano())
		late := func(r *Report) {
			at(100, second)(r)
			r.Clock = sent
		}
		for range 3 {
			h.mustReport("b", 1, late)
			assert.Equal(t, len(h.mustReport("a", 1, drainingAt(first)).Stop), 0)
			time.Sleep(stopTimeout)
		}
	})
}
