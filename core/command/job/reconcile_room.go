package job

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
)

// Time given to a request to make room before the next, more costly one. Both
// together leave half of the 1.2 s in which urgent work must start for the stop
// and the placement.
const (
	checkpointWait = 300 * time.Millisecond
	throttleWait   = 300 * time.Millisecond
)

// stragglerFactor is how many times the high run time of its class a job runs
// before it counts as a straggler.
const stragglerFactor = 3

// makeRoom asks running jobs to give way to a job that does not fit: any job
// that is not urgent for an urgent one, jobs beyond the quota of their team for
// one within the quota of its team, and stragglers for one that has waited for
// longer than it runs. Stragglers are never stopped. It reports whether room is
// being made.
func (p *planner) makeRoom(h *head, size model.Resources) bool {
	if p.rooms >= maxRooms || (!h.job.Urgent && !p.pool(h.job.Pool).givesWay) {
		return false
	}
	p.rooms++
	if asked := p.yielding[h.job.ID]; len(asked) > 0 {
		p.escalate(h, size, asked)
		return true
	}
	var best *worker
	var victims []model.Job
	for _, w := range p.pool(h.job.Pool).workers {
		if w.heldFor != "" || h.job.FailedOn.Has(w.ID) {
			continue
		}
		found := p.victims(h, w, cut(size, w.Capacity))
		if len(found) > 0 && (best == nil || len(found) < len(victims)) {
			best, victims = w, found
		}
	}
	if best == nil {
		return false
	}
	best.heldFor = h.job.ID
	for _, v := range victims {
		p.propose(model.ControlJob{ID: v.ID, Token: v.Lease.Token, Action: model.ActionCheckpoint, For: h.job.ID, Reason: "room for job " + string(h.job.ID)})
	}
	p.dueAt(p.now.Add(checkpointWait))
	return true
}

// victims returns the jobs of the worker whose end makes the size fit, those
// that lose least first; nil if they are not enough.
func (p *planner) victims(h *head, w *worker, size model.Resources) []model.Job {
	var able []model.Job
	for _, j := range w.jobs {
		if p.givesWay(h, j) {
			able = append(able, j)
		}
	}
	slices.SortStableFunc(able, func(a, b model.Job) int {
		return cmp.Or(compare.TrueFirst(a.Borrowed, b.Borrowed), compare.TrueFirst(p.straggles(a), p.straggles(b)), cmp.Compare(b.StartedAt, a.StartedAt))
	})
	free := w.free
	for i, j := range able {
		free = free.Add(j.Reserved)
		if free.Fits(size) {
			return able[:i+1]
		}
	}
	return nil
}

func (p *planner) givesWay(h *head, j model.Job) bool {
	if j.Urgent || j.Cancelling || j.Action != model.ActionNone {
		return false
	}
	if h.job.Urgent {
		return true
	}
	if j.Borrowed && j.Team != h.job.Team {
		return true
	}
	return p.straggles(j) && h.run > 0 && p.now.Sub(h.job.SubmittedAt) > h.run
}

// straggles reports whether the job runs far longer than its class.
func (p *planner) straggles(j model.Job) bool {
	e, ok := p.s.LearnedClass(j)
	return ok && j.Phase == model.JobRunning && p.now.Sub(j.StartedAt) > stragglerFactor*e.RunHigh
}

// escalate asks for the next, more costly action of jobs that have not made
// room in time. Throttling frees processors only.
func (p *planner) escalate(h *head, size model.Resources, asked []yield) {
	for _, y := range asked {
		lack := cut(size, y.worker.Capacity).Sub(y.worker.free)
		next, wait := model.ActionStop, throttleWait
		if y.job.Action == model.ActionCheckpoint {
			wait = checkpointWait
			if lack.MemoryMB <= 0 && lack.Accelerators <= 0 {
				next = model.ActionThrottle
			}
		}
		if y.job.Action == model.ActionStop || (next == model.ActionStop && !p.mayStop(h, y.job)) {
			continue
		}
		if due := y.job.ActionSince.Add(wait); p.now < due {
			p.dueAt(due)
			continue
		}
		p.propose(model.ControlJob{ID: y.job.ID, Token: y.job.Lease.Token, Action: next, For: h.job.ID, Reason: "room for job " + string(h.job.ID)})
		p.dueAt(p.now.Add(throttleWait))
	}
}

func (p *planner) mayStop(h *head, j model.Job) bool { return h.job.Urgent || j.Borrowed }
