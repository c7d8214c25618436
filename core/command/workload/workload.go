// Package workload decides which workloads are accepted, which runs of their tasks start and end,
// and when they are complete. A workload has one or more steps.
package workload

import (
	"time"

	"lacewingturn.example/core/command/share"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

const (
	// MaxTasks is the maximum number of tasks of one workload, in all rounds together.
	MaxTasks = 20_000
	// MaxActive is the maximum number of workloads that are not in a final phase.
	MaxActive = 20_000
	// Retention is the minimum time for which the outcome of a workload is kept after its end.
	Retention = 10 * time.Minute
)

// Apply handles SubmitWorkload, CancelWorkload and RecordProgress.
func Apply(s *model.State, env model.Envelope) (result.Result, bool) {
	switch c := env.Command.(type) {
	case model.SubmitWorkload:
		return submit(s, c, env.Rules), true
	case model.CancelWorkload:
		return cancel(s, c), true
	case model.RecordProgress:
		recordProgress(s, c, env.Rules)
		return result.Result{Code: result.OK}, true
	}
	return result.Result{}, false
}

// submit accepts a workload. Submitting a known workload again has no effect.
func submit(s *model.State, c model.SubmitWorkload, rules model.Rules) result.Result {
	t, r := resolve(s, c.Host, c.Path, c.Key)
	if !r.Code.OK() {
		return r
	}
	queue, id := t.queue, t.id
	if !validID(id) {
		return result.New(result.InvalidInput, "%q is not an ID of 16 hexadecimal digits", id)
	}
	if owner, known := ownerOf(s, id); known {
		if !s.Catalog.MayAccess(t.account, owner) {
			return wrongAccount(id)
		}
		if w, active := s.Workloads.Get(id); active && w.Queue != queue.Name {
			return otherQueue(&w)
		}
		return result.Result{Code: result.Unchanged, Value: string(id)}
	}
	if s.Workloads.Len() >= MaxActive {
		return result.New(result.Overloaded, "%d workloads are active", MaxActive)
	}
	if r := Check(c); !r.Code.OK() {
		return r
	}
	if r := share.CheckCap(s.Catalog, t.account, c.Workload.Steps); !r.Code.OK() {
		return r
	}
	w := c.Workload
	w.ID, w.Queue, w.MaxFailures, w.AcceptedAt = id, queue.Name, max(queue.MaxFailures, 1), s.Clock
	w.Account, w.Public = t.account, queue.Public && t.account != ""
	if rules != model.FirstRules {
		address := queue.Address()
		w.Address = &address
	}
	w.Rounds = model.NewRounds(max(c.Repeat, 1), taskCounts(w.Steps))
	if r := checkBudget(s, &w, c.Budget); !r.Code.OK() {
		return r
	}
	w.BeyondRate = share.ChargeRate(s, w.Account)
	add(s, w)
	return result.Result{Code: result.Accepted, Value: string(id)}
}

// taskCounts returns the number of tasks of each step.
func taskCounts(steps []model.Step) []int {
	counts := make([]int, len(steps))
	for i := range steps {
		counts[i] = steps[i].Count
	}
	return counts
}

func validID(id model.WorkloadID) bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// Check returns the first reason why a workload cannot be run whatever the state, or OK.
func Check(c model.SubmitWorkload) result.Result {
	tasks := 0
	for i, step := range c.Workload.Steps {
		if step.Count < 1 || step.Count > MaxTasks {
			return result.New(result.InvalidInput, "step %d has %d tasks; 1 to %d are possible", i, step.Count, MaxTasks)
		}
		tasks += step.Count
		for _, before := range step.After {
			if before < 0 || before >= i {
				return result.New(result.InvalidInput, "step %d waits for step %d, which is not an earlier one", i, before)
			}
		}
	}
	if tasks == 0 {
		return result.New(result.InvalidInput, "a workload needs at least one task")
	}
	if c.Repeat < 0 || tasks > MaxTasks/max(c.Repeat, 1) {
		return result.New(result.InvalidInput, "a workload has at most %d tasks in all rounds", MaxTasks)
	}
	return result.Result{Code: result.OK}
}

// cancel ends a workload. Its workers stop its runs because these are no longer assigned.
func cancel(s *model.State, c model.CancelWorkload) result.Result {
	t, r := resolve(s, c.Host, c.Path, c.Key)
	if !r.Code.OK() {
		return r
	}
	id := t.id
	if owner, known := ownerOf(s, id); known && !s.Catalog.MayAccess(t.account, owner) {
		return wrongAccount(id)
	}
	if w, active := s.Workloads.Get(id); active {
		if c.InQueue && w.Queue != t.queue.Name {
			return otherQueue(&w)
		}
		finish(s, w, model.WorkloadCancelled, "", heldBy(&w))
		return result.Result{Code: result.OK}
	}
	if s.Finished.Has(id) {
		return result.Result{Code: result.Unchanged}
	}
	return result.New(result.Expired, "workload %q is not known", id)
}

// finish moves a workload to its final phase. Above finishedPruneThreshold outcomes it drops
// those that are older than Retention.
func finish(s *model.State, w model.Workload, phase model.WorkloadPhase, reason string, held *model.Resources) {
	for ref, task := range w.Begun() {
		for _, run := range task.Active {
			unassign(s, run.Worker, model.RunRef{Task: ref, Number: run.Number})
		}
	}
	remove(s, w.ID)
	s.Finished = s.Finished.Set(w.ID, model.FinishedWorkload{
		ID: w.ID, Queue: w.Queue, Phase: phase, EndedAt: s.Clock, Reason: reason, Account: w.Account, Public: w.Public, Held: held,
	})
	if s.Finished.Len() > finishedPruneThreshold {
		dropExpired(s)
	}
}

// heldBy returns what the workload has running; nil if that is nothing or the workload has no
// account.
func heldBy(w *model.Workload) *model.Resources {
	if w.Account == "" {
		return nil
	}
	held := share.ActiveNeed(w)
	if held == (model.Resources{}) {
		return nil
	}
	return &held
}

// finishedPruneThreshold is the number of outcomes above which those older than Retention are dropped.
const finishedPruneThreshold = 20_000

func dropExpired(s *model.State) {
	for id, f := range s.Finished.All() {
		if s.Clock.Sub(f.EndedAt) > Retention {
			s.Finished = s.Finished.Delete(id)
		}
	}
}
