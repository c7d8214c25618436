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

// splitProgress splits the progress into commands of at most so many ends or starts, but
// leaves the starts of a gang together, because a gang starts as a whole. Their order is that
// in which the progress is applied. Progress that is small enough stays one command.
func splitProgress(s model.State, p model.RecordProgress, size int) []model.RecordProgress {
	if len(p.Ends)+len(p.Starts) <= size {
		return []model.RecordProgress{p}
	}
	var out []model.RecordProgress
	for ends := range slices.Chunk(p.Ends, size) {
		out = append(out, model.RecordProgress{Ends: ends})
	}
	for first := 0; first < len(p.Starts); {
		last := min(first+size, len(p.Starts))
		for last < len(p.Starts) && sameGang(s, p.Starts[last-1].Run.Task, p.Starts[last].Run.Task) {
			last++
		}
		out = append(out, model.RecordProgress{Starts: p.Starts[first:last]})
		first = last
	}
	return out
}

func sameGang(s model.State, a, b model.TaskRef) bool {
	w, ok := s.Workloads.Get(a.Workload)
	return ok && w.Has(a) && w.Steps[a.Step].Gang && a.StepRef() == b.StepRef()
}

// dropRefused removes the parts that were refused as invalid from the progress of the
// cycle. The report of a worker whose end was refused is answered with the error, so that
// the end stays unacknowledged.
func (m *Machine) dropRefused(now time.Time, c *cycle) {
	if !slices.ContainsFunc(c.settled, settledPart.refused) {
		return
	}
	var committed model.RecordProgress
	refusedEnds := map[model.WorkerID]result.Result{}
	for _, part := range c.settled {
		if !part.refused() {
			committed.Ends = append(committed.Ends, part.progress.Ends...)
			committed.Starts = append(committed.Starts, part.progress.Starts...)
			continue
		}
		for _, end := range part.progress.Ends {
			m.logRefused(end.Run, end.Worker, "end", part.result)
			refusedEnds[end.Worker] = part.result
		}
		m.avoidRefused(now, part.progress.Starts, part.result)
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

func (p settledPart) refused() bool { return isInvalid(p.result) }

func isInvalid(r result.Result) bool { return r.Code == result.InvalidInput }
