package schedule

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// Guards against a live worker whose runs are started a second time, because another writer
// sent a heartbeat that names the worker's instance and a service of no configuration.
func TestHeartbeatOfUnknownPoolReplacesNobody(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		h.mustReport("a", 1, running(start...))
		foreign := func(r *Report) { r.Pool, r.Instance = "elsewhere", "m-a" }
		o := h.mustReport("agent", 9, foreign)
		assert.Equal(t, o.Lease, time.Duration(0))
		time.Sleep(planInterval)
		assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 0)
		o = h.mustReport("a", 1, running(start...))
		assert.Equal(t, o.Lease, lease)
		assert.Equal(t, len(o.Stop), 0)
	})
}

// Guards against the same by a heartbeat of a known service; and against a real new life on
// an instance that is not taken once the old one has fallen silent.
func TestReportingWorkerIsNotReplacedByAnotherName(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		next := func(r *Report) { r.Instance = "m-a" }
		for range 5 {
			h.mustReport("a", 1, running(start...))
			assert.Equal(t, h.mustReport("z", 9, next).Lease, time.Duration(0))
			time.Sleep(busyInterval)
		}
		time.Sleep(maxReportAge)
		began := time.Now()
		o := h.mustReport("z", 9, next)
		assert.Equal(t, o.Lease, lease)
		assert.Equal(t, len(o.Start), 1)
		assert.Equal(t, o.Start[0].Run.Number, 2)
		assert.Assert(t, time.Since(began) < lease, "the lease of the old life was waited for")
	})
}

// Guards against a new life on an idle instance that has to wait for the old one.
func TestIdleWorkerIsReplacedAtOnce(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.mustReport("a", 1, nil)
		assert.Equal(t, h.mustReport("z", 9, func(r *Report) { r.Instance = "m-a" }).Lease, lease)
	})
}

// Guards against a worker whose runs lapse, because operators removed its service while it
// was at work.
func TestWorkerOfRemovedPoolKeepsItsRuns(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		h.propose(model.PublishCatalog{Catalog: model.Catalog{Version: 2, Pools: []model.WorkerPool{{Name: "r"}}}})
		assert.Equal(t, h.mustReport("a", 1, running(start...)).Lease, lease)
		h.replica.Lead(2)
		assert.Equal(t, h.mustReport("a", 1, running(start...)).Lease, lease)
		assert.Equal(t, h.mustReport("b", 1, nil).Lease, time.Duration(0))
	})
}

// Guards against a live worker whose runs are started a second time, because the departure
// of its earlier life arrives after it has started again under its name; and against the
// runs of a worker that has left which are started elsewhere only after its lease.
func TestLateDepartureEndsNoNewLife(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.mustReport("a", 1, func(r *Report) { r.Draining = true })
		h.submit(1, oneTask)
		start := h.mustReport("a", 5, nil).Start
		assert.Equal(t, len(start), 1)
		assert.NilError(t, h.machine.Depart(context.Background(), "a"))
		assert.NilError(t, h.machine.Depart(context.Background(), "a")) // sent again
		h.mustReport("a", 5, running(start...))
		time.Sleep(departGrace + maxReportAge)
		h.mustReport("a", 5, running(start...))
		assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 0)

		h.mustReport("a", 5, func(r *Report) { running(start...)(r); r.Draining = true })
		assert.NilError(t, h.machine.Depart(context.Background(), "a"))
		time.Sleep(departGrace + planInterval)
		assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 1)
	})
}

// Guards against a live worker whose runs are started a second time, because another writer
// sent a heartbeat with a later start under the worker's name.
func TestLaterStartUnderTheNameOfAWorkerDoublesNoRun(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		h.mustReport("a", 1, running(start...))
		for range 5 {
			assert.Equal(t, len(h.mustReport("a", 9, nil).Start), 0)
			o := h.mustReport("a", 1, running(start...))
			assert.Equal(t, o.Lease, lease)
			assert.Equal(t, len(o.Stop), 0)
			assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 0)
			time.Sleep(busyInterval)
		}
	})
}

// reportUntilLeased reports every 100 ms until the report is answered with a lease, and
// returns how long that took.
func reportUntilLeased(h *harness, name string, started model.Timestamp, beside func()) time.Duration {
	began := time.Now()
	for time.Since(began) < 4*readmitAfter {
		if o, err := h.report(name, started, nil); err == nil && o.Lease > 0 {
			return time.Since(began)
		}
		beside()
		time.Sleep(100 * time.Millisecond)
	}
	h.t.Fatalf("%s is not used again after %s", name, time.Since(began))
	return 0
}

// readmitBound is the longest time that a worker which reports every 100 ms stays out of use.
const readmitBound = readmitAfter + 200*time.Millisecond

// Guards against an idle worker that is out of use for good, because another writer sent
// heartbeats that name its instance, its address or its name with a later start: one, or
// one after the other.
func TestWorkerThatGoesOnReportingIsUsedAgain(t *testing.T) {
	forms := map[string]func(*Report){
		"instance": func(r *Report) { r.Instance = "m-a" },
		"address":  func(r *Report) { r.Address = "10.0.0.1:a" },
		"name":     func(r *Report) { r.Name, r.Worker = "a", model.MakeWorkerID("a", 9) },
	}
	for form, change := range forms {
		for _, repeated := range []bool{false, true} {
			runHarness(t, func(h *harness) {
				h.mustReport("a", 1, nil)
				assert.Equal(t, h.mustReport("agent", 9, change).Lease, lease, form)
				took := reportUntilLeased(h, "a", 1, func() {
					if repeated {
						h.mustReport("agent", 9, change)
					}
				})
				assert.Assert(t, took <= readmitBound, "%s: %s", form, took)
				time.Sleep(maxReportAge + time.Millisecond)
				h.submit(1, oneTask)
				assert.Equal(t, len(h.mustReport("a", 1, nil).Start), 1, form)
			})
		}
	}
}

// Guards against a worker at work that is out of use until its runs lapse, because another
// writer sent a heartbeat of its incarnation with a higher sequence.
func TestWorkerIsUsedAgainAfterAHigherSequence(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		h.mustReport("a", 1, running(start...))
		h.mustReport("a", 1, func(r *Report) { running(start...)(r); r.Sequence = 1 << 40 })
		began := time.Now()
		o, err := h.report("a", 1, running(start...))
		for err != nil && time.Since(began) <= readmitBound {
			time.Sleep(100 * time.Millisecond)
			o, err = h.report("a", 1, running(start...))
		}
		assert.NilError(t, err)
		assert.Equal(t, o.Lease, lease)
		assert.Equal(t, len(o.Stop), 0)
	})
}

// Guards against an ended life that is used again because some of its heartbeats arrive
// late, and against work that it then gets.
func TestLateHeartbeatsOfAnEndedLifeStayRefused(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.mustReport("a", 1, nil)
		h.mustReport("a", 9, nil)
		h.submit(1, oneTask)
		for range 10 { // all at once, as after a partition
			_, err := h.report("a", 1, nil)
			assert.ErrorContains(t, err, "later heartbeat")
		}
		time.Sleep(readmitAfter)
		old := func(r *Report) { r.Sequence = 1 } // a repeated one is no sign of life
		for range 5 {
			_, err := h.report("a", 1, old)
			assert.ErrorContains(t, err, "later heartbeat")
		}
		assert.Equal(t, len(h.mustReport("a", 9, nil).Start), 1)
	})
}

// Guards against a worker at work that is out of use for a while, or gets tasks of another
// service, because another writer sent a heartbeat of its incarnation with another service,
// instance or address.
func TestHeartbeatOfTheSameLifeWithAnotherPlaceIsNotUsed(t *testing.T) {
	for _, change := range []func(*Report){
		func(r *Report) { r.Pool = "elsewhere" }, func(r *Report) { r.Instance = "m-z" }, func(r *Report) { r.Address = "10.0.0.1:z" },
	} {
		runHarness(t, func(h *harness) {
			h.submit(1, oneTask)
			start := h.mustReport("a", 1, nil).Start
			h.mustReport("a", 1, running(start...))
			foreign := func(r *Report) { change(r); r.Sequence = 1 << 40 }
			assert.Equal(t, h.mustReport("a", 1, foreign).Lease, time.Duration(0))
			assert.Equal(t, h.mustReport("a", 1, running(start...)).Lease, lease)
		})
	}
}

// Guards against a run that is started a second time, because another writer sends
// heartbeats of the worker's own life, with higher sequences and without the run: it is no
// proof that the worker ignores the start or has stopped.
func TestRunThatWasListedOutlivesForeignReports(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		h.mustReport("a", 1, running(start...))
		listed := time.Now()
		for time.Since(listed) < lease {
			assert.Equal(t, len(h.mustReport("a", 1, nil).Start), 0)
			assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 0)
			time.Sleep(idleInterval)
		}
		time.Sleep(time.Until(leaseEnd(listed, lease)))
		// The worker's own lease is over: the task is started again, as one that is ignored is.
		for range 20 {
			h.mustReport("a", 1, nil)
			if len(h.mustReport("b", 1, nil).Start) == 1 {
				return
			}
			time.Sleep(idleInterval)
		}
		t.Error("the task is not started again")
	})
}

// Guards against a worker at work that is replaced as silent, because its heartbeats are
// refused after one of its life with a higher sequence.
func TestWorkerWhoseHeartbeatsAreRefusedIsNotSilent(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		h.mustReport("a", 1, running(start...))
		h.mustReport("a", 1, func(r *Report) { running(start...)(r); r.Sequence = 1 << 40 })
		for range 8 {
			_, err := h.report("a", 1, running(start...))
			assert.ErrorContains(t, err, "later heartbeat")
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, len(h.mustReport("a", 9, nil).Start), 0)
		assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 0)
	})
}

// Guards against a run that is started a second time after an election, because another
// writer sends heartbeats of the worker's own life to the new leader before the worker does.
// The new leader does not know that the worker has listed the run.
func TestRunOutlivesForeignReportsAfterAnElection(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		h.mustReport("a", 1, running(start...))
		listed := time.Now()
		h.replica.Lead(2)
		for time.Since(listed) < lease {
			foreign := h.mustReport("a", 1, func(r *Report) { r.Sequence += 1 << 40 })
			if started := len(h.mustReport("b", 1, nil).Start); started > 0 || len(foreign.Stop) > 0 {
				t.Errorf("the run counts as not started %s after it was listed", time.Since(listed))
				return
			}
			time.Sleep(idleInterval)
		}
	})
}

// Guards against a stopped run that counts as ended after an election, although it runs on,
// because another writer's heartbeat of the worker's life does not list it.
func TestStoppedRunOutlivesForeignReportsAfterAnElection(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		h.mustReport("a", 1, running(start...))
		listed := time.Now()
		h.replica.Lead(2)
		h.mustReport("b", 1, nil)
		h.onLoop(func() { h.machine.StopRun(start[0].Run) })
		for time.Since(listed) < lease {
			foreign := h.mustReport("a", 1, func(r *Report) { r.Sequence += 1 << 40 })
			assert.DeepEqual(t, foreign.Stop, []model.RunRef{start[0].Run})
			assert.Equal(t, len(h.mustReport("b", 1, nil).Start), 0)
			time.Sleep(idleInterval)
		}
	})
}

// Guards against a start order that was lost in an election and is not repeated at once.
func TestLostStartOrderIsRepeatedAfterAnElection(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.submit(1, oneTask)
		start := h.mustReport("a", 1, nil).Start
		h.replica.Lead(2)
		assert.DeepEqual(t, h.mustReport("a", 1, nil).Start, start)
	})
}

// Guards against a sound worker that gets no lease for the rest of a term, because an order of
// the platform that was confirmed has not ended it: it is used again once it goes on reporting.
func TestWorkerThatAnOrderHasNotEndedIsUsedAgain(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.mustReport("a", 1, nil)
		h.onLoop(func() { h.machine.MarkWorkerEnded(time.Now(), model.MakeWorkerID("a", 1)) })
		assert.Equal(t, h.mustReport("a", 1, nil).Lease, time.Duration(0))
		assert.Assert(t, reportUntilLeased(h, "a", 1, func() {}) <= readmitBound)
		h.submit(1, oneTask)
		assert.Equal(t, len(h.mustReport("a", 1, nil).Start), 1)
	})
}

// Guards against a worker that an order has ended and that is used again because of heartbeats
// that arrive late: a few of them, or any once the next incarnation has reported.
func TestLateHeartbeatsOfAnEndedWorkerPutItInUseNoMore(t *testing.T) {
	runHarness(t, func(h *harness) {
		h.mustReport("a", 1, nil)
		h.onLoop(func() { h.machine.MarkWorkerEnded(time.Now(), model.MakeWorkerID("a", 1)) })
		for range minRefusals {
			assert.Equal(t, h.mustReport("a", 1, nil).Lease, time.Duration(0))
			time.Sleep(readmitAfter)
		}
		next := func(r *Report) { r.Instance = "m-a" }
		assert.Equal(t, h.mustReport("b", 9, next).Lease, lease)
		for range 3 * minRefusals {
			assert.Equal(t, h.mustReport("b", 9, next).Lease, lease)
			o, err := h.report("a", 1, nil)
			assert.Assert(t, err != nil || o.Lease == 0)
			time.Sleep(readmitAfter / 2)
		}
	})
}
