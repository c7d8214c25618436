package schedule

import (
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
)

// refusedBackoff is how long a worker gets no work after a command that names it was
// refused as invalid.
const refusedBackoff = 10 * time.Second

// splitProgress splits the progress into commands that can be refused separately: one
// for each end, and one for each start or, because a gang starts as a whole, for all
// starts of a gang. Their order is that in which the progress is applied.
func splitProgress(s model.State, p model.RecordProgress) []model.RecordProgress {
	var out []model.RecordProgress
	for i := range p.Ends {
		out = append(out, model.RecordProgress{Ends: p.Ends[i : i+1]})
	}
	for first := 0; first < len(p.Starts); {
		last := first + 1
		for last < len(p.Starts) && sameGang(s, p.Starts[first].Run.Task, p.Starts[last].Run.Task) {
			last++
		}
		out = append(out, model.RecordProgress{Starts: p.Starts[first:last]})
		first = last
	}
	return out
}

func sameGang(s model.State, a, b model.TaskRef) bool {
	w, ok := s.Workloads.Get(a.Workload)
	return ok && w.Has(a) && w.Steps[a.Step].Gang && keyOf(a) == keyOf(b)
}

// dropRefused removes the parts that were refused as invalid from the progress of the
// cycle. The report of a worker whose end was refused is answered with the error, so that
// the end stays unacknowledged.
func (m *Machine) dropRefused(now time.Time, c *cycle, results []result.Result) {
	if !slices.ContainsFunc(results, isInvalid) {
		return
	}
	var committed model.RecordProgress
	refusedEnds := map[model.WorkerID]result.Result{}
	for i, part := range c.parts {
		if !isInvalid(results[i]) {
			committed.Ends = append(committed.Ends, part.Ends...)
			committed.Starts = append(committed.Starts, part.Starts...)
			continue
		}
		for _, end := range part.Ends {
			m.logRefused(end.Run, end.Worker, "end", results[i])
			refusedEnds[end.Worker] = results[i]
		}
		m.avoidRefused(now, part.Starts, results[i])
	}
	c.progress = committed
	c.pending = slices.DeleteFunc(c.pending, func(p pendingReport) bool {
		res, refused := refusedEnds[p.report.Worker]
		if refused {
			p.reply <- answer{err: trace.Wrap(res)}
		}
		return refused
	})
}

// avoidRefused keeps starts that were refused as invalid from being planned again at
// once. The worker of a single start gets no work for refusedBackoff. For a gang it is not
// known which worker is at fault, so that only its tasks avoid the workers.
func (m *Machine) avoidRefused(now time.Time, starts []model.RunStart, res result.Result) {
	for _, start := range starts {
		m.logRefused(start.Run, start.Worker, "start", res)
		m.avoided.add(now, start.Run.Task, start.Worker)
		if w := m.workers[start.Worker]; w != nil && len(starts) == 1 {
			w.backoffUntil = now.Add(refusedBackoff)
		}
	}
}

func (m *Machine) logRefused(run model.RunRef, id model.WorkerID, what string, res result.Result) {
	m.settings.Metrics.refused.WithLabelValues(what).Inc()
	event.ProgressRefused.Log(m.settings.Logger, append(runFields(run), zap.String("what", what), zap.String("worker", string(id)), zap.String("detail", res.Detail))...)
}

func isInvalid(r result.Result) bool { return r.Code == result.InvalidInput }
