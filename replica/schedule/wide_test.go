package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// wideSite plays workers with much room for small tasks. Their tasks end with the next report.
type wideSite struct {
	*harness
	workers map[string][]StartOrder
	ended   map[string][]Ended
	done    map[model.RunRef]int
}

func newWideSite(h *harness, workers int) *wideSite {
	s := &wideSite{h, map[string][]StartOrder{}, map[string][]Ended{}, map[model.RunRef]int{}}
	for i := range workers {
		s.workers[fmt.Sprint(i)] = nil
	}
	return s
}

// report sends the heartbeat of each worker once and carries out the answers. All runs that were
// listed as running end.
func (s *wideSite) report() {
	for name, runs := range s.workers {
		listed := s.ended[name]
		o := s.mustReport(name, 1, func(r *Report) {
			r.Capacity = model.Resources{MilliCPU: 16_000, MemoryMB: 64_000}
			r.Ended = listed[:min(len(listed), 500)]
			r.MoreEnds = len(r.Ended) == 500
			for _, run := range runs {
				r.Running = append(r.Running, Running{Run: run.Run, Percent: 50})
			}
		})
		s.ended[name] = nil
		for _, end := range listed {
			if end.Position > o.AckCursor {
				s.ended[name] = append(s.ended[name], end)
			}
		}
		for _, run := range runs {
			s.done[run.Run]++
			s.ended[name] = append(s.ended[name], Ended{Position: int64(s.sequence)<<20 + int64(len(s.ended[name])), Run: run.Run, Outcome: model.RunDone})
		}
		s.workers[name] = o.Start
	}
}

// Guards against a client that stops the replicas with wide workloads: an entry of the log with
// all starts or ends of a pass is applied on the loop that answers the heartbeats of replicas and
// workers. It also guards against tasks that run twice or never because their ends or starts are
// taken in parts, and against other work that waits until the wide workloads are done.
func TestWideWorkloadsAreStartedInParts(t *testing.T) {
	runHarness(t, func(h *harness) {
		const tasks = 20_000
		largest, starts := 0, 0
		h.replica.Refuse(func(c model.Command) bool {
			if p, ok := c.(model.RecordProgress); ok {
				largest = max(largest, len(p.Ends)+len(p.Starts))
				starts += len(p.Starts)
			}
			return false
		})
		s := newWideSite(h, 6)
		s.report()
		for i := range 2 {
			h.submit(i, model.Step{Count: tasks, Need: model.Resources{MilliCPU: 2, MemoryMB: 1}, Estimate: time.Second})
		}
		s.report()
		small := h.submit(9, oneTask)
		rounds := 0
		for ; h.replica.View().State.Workloads.Len() > 0; rounds++ {
			s.report()
			assert.Assert(t, rounds < 200, "%d starts", starts)
			if _, ok := h.replica.View().State.Finished.Get(small); !ok {
				assert.Assert(t, rounds < 20, "the small workload has not ended")
			}
		}
		assert.Equal(t, starts, 2*tasks+1)
		assert.Equal(t, len(s.done), 2*tasks+1)
		assert.Assert(t, largest <= maxEntryItems, "an entry has %d starts and ends", largest)
		for _, f := range h.replica.View().State.Finished.All() {
			assert.Equal(t, f.Phase, model.WorkloadCompleted)
		}
	})
}

// Guards against a wide gang whose start or end looks at all members for each of them.
func TestWideGangStartsAndEndsAsAWhole(t *testing.T) {
	runHarness(t, func(h *harness) {
		const members = 20_000
		s := newWideSite(h, 6)
		s.report()
		gang := h.submit(1, model.Step{Count: members, Gang: true, Need: model.Resources{MilliCPU: 4, MemoryMB: 1}, Estimate: time.Second})
		tooWide := h.submit(2, model.Step{Count: members, Gang: true, Need: model.Resources{MilliCPU: 5, MemoryMB: 1}, Estimate: time.Second})
		for range 40 {
			s.report()
		}
		f, ok := h.replica.View().State.Finished.Get(gang)
		assert.Assert(t, ok)
		assert.Equal(t, f.Phase, model.WorkloadCompleted)
		assert.Equal(t, len(s.done), members)
		w, _ := h.replica.View().State.Workloads.Get(tooWide)
		assert.Assert(t, !w.Started())
	})
}

// Guards against a worker that lists so many runs that the leader is busy with its heartbeats, and
// against small workloads that wait for a wide one because of that.
func TestWideStepLeavesRoomOnAWorker(t *testing.T) {
	runHarness(t, func(h *harness) {
		wide := model.Step{Count: 8000, Need: model.Resources{MilliCPU: 1, MemoryMB: 1}, Lasting: true}
		h.submit(1, wide)
		var runs []StartOrder
		report := func() Orders {
			return h.mustReport("a", 1, func(r *Report) {
				r.Capacity = model.Resources{MilliCPU: 16_000, MemoryMB: 64_000}
				running(runs...)(r)
			})
		}
		for range 20 {
			runs = append(runs, report().Start...)
		}
		assert.Assert(t, len(runs) >= 1000 && len(runs) <= 2000, "%d runs", len(runs))
		small := h.submit(2, oneTask)
		o := report()
		assert.Equal(t, len(o.Start), 1)
		assert.Equal(t, o.Start[0].Run.Task.Workload, small)
	})
}

// Guards against an answer that is larger than a worker takes, so that its starts, stops and
// lease never arrive: tasks with a payload of 4,000 bytes start in several answers.
func TestAnswerIsNotLargerThanAWorkerTakes(t *testing.T) {
	runHarness(t, func(h *harness) {
		const tasks, maxAnswer = 1200, 4 << 20
		payload := strings.Repeat("\x01", 4000) // each byte takes six in JSON
		h.propose(model.SubmitWorkload{Host: "h", Path: "/00000000000000a1", Workload: model.Workload{
			Payload: payload, Steps: []model.Step{{Count: tasks, Need: model.Resources{MilliCPU: 1, MemoryMB: 1}}},
		}})
		var runs []StartOrder
		for range 40 {
			o := h.mustReport("a", 1, running(runs...))
			size := 0
			for _, start := range o.Start {
				size += 6 * start.size()
			}
			assert.Assert(t, size < maxAnswer, "%d bytes", size)
			runs = append(runs, o.Start...)
			time.Sleep(idleInterval)
		}
		assert.Equal(t, len(runs), tasks)
	})
}

// Guards against a part of the progress that is refused and takes the others of its entry with
// it, or ends that count twice after the refusal.
func TestRefusedPartCostsOnlyItself(t *testing.T) {
	runHarness(t, func(h *harness) {
		const tasks = 700
		h.submit(1, model.Step{Count: tasks, Need: model.Resources{MilliCPU: 1, MemoryMB: 1}})
		refused := model.TaskRef{Workload: "0000000000000001", Index: 300}
		h.replica.Refuse(func(c model.Command) bool {
			p, _ := c.(model.RecordProgress)
			for _, start := range p.Starts {
				if start.Run.Task == refused {
					return true
				}
			}
			return false
		})
		o := h.mustReport("a", 1, nil)
		assert.Equal(t, len(o.Start), tasks-1)
		w, _ := h.replica.View().State.Workloads.Get(refused.Workload)
		assert.Equal(t, w.Rounds.Step(0, 0).Tasks.Active(), tasks-1)

		h.replica.Refuse(nil)
	})
}
