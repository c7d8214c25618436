package job

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
)

// Time allowed for a request to free capacity before the next, more costly one is
// made. Together they use half of the 1.2 s within which urgent jobs must start; the
// other half is left for the stop and the placement.
const (
	checkpointWait = 300 * time.Millisecond
	throttleWait   = 300 * time.Millisecond
)

// stragglerFactor is the multiple of the high run time of its class after which a
// running job counts as a straggler.
const stragglerFactor = 3

// preempt proposes to preempt active jobs for a job that does not fit: any non-urgent
// job for an urgent one, borrowed jobs (beyond the quota of their team) for a job of
// another team within its quota, and stragglers for a job that has waited longer than
// the typical run time of its class. A job that is preempted only because it is a
// straggler is never stopped. preempt reports whether jobs have been requested to make
// room, in this pass or before.
func (p *planner) preempt(h *head, size model.Resources) bool {
	if p.preemptions >= maxPreemptions || (!h.job.Urgent && !p.pool(h.job.Pool).preemptible) {
		return false
	}
	p.preemptions++
	if requested := p.preempted[h.job.ID]; len(requested) > 0 {
		p.escalate(h, size, requested)
		return true
	}
	var best *worker
	var victims []model.Job
	for _, w := range p.pool(h.job.Pool).workers {
		if w.reservedFor != "" || h.job.FailedOn.Has(w.ID) {
			continue
		}
		found := p.victims(h, w, clamp(size, w.Capacity))
		if len(found) > 0 && (best == nil || len(found) < len(victims)) {
			best, victims = w, found
		}
	}
	if best == nil {
		return false
	}
	best.reservedFor = h.job.ID
	for _, v := range victims {
		p.propose(model.ControlJob{ID: v.ID, Token: v.Lease.Token, Action: model.ActionCheckpoint, For: h.job.ID, Reason: "room for job " + string(h.job.ID)})
	}
	p.dueAt(p.now.Add(checkpointWait))
	return true
}

// victims returns the jobs of the worker to preempt so that size fits, or nil if
// that is not possible. Borrowed jobs come first, then stragglers, then jobs in
// descending order of their start time, because a job that started later loses less
// progress. Jobs that have not started come last.
func (p *planner) victims(h *head, w *worker, size model.Resources) []model.Job {
	var eligible []model.Job
	for _, j := range w.jobs {
		if p.mayPreempt(h, j) {
			eligible = append(eligible, j)
		}
	}
	slices.SortStableFunc(eligible, func(a, b model.Job) int {
		return cmp.Or(compare.TrueFirst(a.Borrowed, b.Borrowed), compare.TrueFirst(p.isStraggler(a), p.isStraggler(b)), cmp.Compare(b.StartedAt, a.StartedAt))
	})
	free := w.free
	for i, j := range eligible {
		free = free.Add(j.Reserved)
		if free.Fits(size) {
			return eligible[:i+1]
		}
	}
	return nil
}

// mayPreempt reports whether j may be preempted for the waiting job of h, by the
// rules given at preempt. A job that is being cancelled or preempted already may not.
func (p *planner) mayPreempt(h *head, j model.Job) bool {
	if j.Urgent || j.Cancelling || j.Action != model.ActionNone {
		return false
	}
	if h.job.Urgent {
		return true
	}
	if j.Borrowed && j.Team != h.job.Team {
		return true
	}
	return p.isStraggler(j) && h.run > 0 && p.now.Sub(h.job.SubmittedAt) > h.run
}

// isStraggler reports whether the job has run more than stragglerFactor times as
// long as the high run time of its class.
func (p *planner) isStraggler(j model.Job) bool {
	e, ok := p.s.ClassEstimate(j)
	return ok && j.Phase == model.JobRunning && p.now.Sub(j.StartedAt) > stragglerFactor*e.RunHigh
}

// escalate proposes the next, more costly action for jobs that have not made room in
// time. Throttling frees processors only, so it is skipped if memory or accelerators
// are missing.
func (p *planner) escalate(h *head, size model.Resources, requested []preemption) {
	for _, v := range requested {
		missing := clamp(size, v.worker.Capacity).Sub(v.worker.free)
		next, wait := model.ActionStop, throttleWait
		if v.job.Action == model.ActionCheckpoint {
			wait = checkpointWait
			if missing.MemoryMB <= 0 && missing.Accelerators <= 0 {
				next = model.ActionThrottle
			}
		}
		if v.job.Action == model.ActionStop || (next == model.ActionStop && !p.mayStop(h, v.job)) {
			continue
		}
		if due := v.job.ActionSince.Add(wait); p.now < due {
			p.dueAt(due)
			continue
		}
		p.propose(model.ControlJob{ID: v.job.ID, Token: v.job.Lease.Token, Action: next, For: h.job.ID, Reason: "room for job " + string(h.job.ID)})
		p.dueAt(p.now.Add(throttleWait))
	}
}

// mayStop reports whether j may be stopped without a checkpoint for the waiting job of
// h.
func (p *planner) mayStop(h *head, j model.Job) bool { return h.job.Urgent || j.Borrowed }
