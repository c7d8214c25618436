package schedule

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
)

// Advisor asks the policy service which workers may run a step.
type Advisor interface {
	// Advise returns the tickets of the approved workers by name, and how long
	// they are valid. It is called on a goroutine of its own, one call at a time.
	// After an error the call is repeated.
	Advise(ctx context.Context, workload model.WorkloadID, round, step int, workers []string) (Advice, error)
}

// Advice is the policy service's answer about one step. Workers without a ticket may
// not run the step.
type Advice struct {
	Tickets  map[string]string // by worker name
	Validity time.Duration     // counted from the sending of the call
}

const (
	// adviceWorkers is the largest number of workers in one call.
	adviceWorkers = 30
	// adviceRounds is the number of open rounds of a workload that are looked at for calls.
	adviceRounds = 32
	// adviceMargin is the time before the expiry of a ticket from which the ticket is
	// no longer used.
	adviceMargin = 300 * time.Millisecond
	// adviceRetry is the wait before a failed call is repeated.
	adviceRetry = 300 * time.Millisecond
)

// ticket allows a worker to run the tasks of a step for a limited time.
type ticket struct {
	text  string // empty if the worker may not run the step
	until time.Time
}

// tickets holds the answers of the policy service by step and worker.
type tickets struct {
	known   map[model.StepRef]map[model.WorkerID]ticket
	calling bool      // a call is in progress
	retryAt time.Time // no call is made before this time
}

func newTickets() tickets { return tickets{known: map[model.StepRef]map[model.WorkerID]ticket{}} }

// get returns the valid ticket of a worker; false if there is none.
func (t *tickets) get(now time.Time, task model.TaskRef, w model.WorkerID) (string, bool) {
	k, ok := t.known[task.StepRef()][w]
	return k.text, ok && k.text != "" && now.Before(k.until)
}

// answered reports whether the service's last answer about a worker still holds.
// Refusals hold for good, because the policy does not change.
func (t *tickets) answered(now time.Time, key model.StepRef, w model.WorkerID) bool {
	k, ok := t.known[key][w]
	return ok && (k.text == "" || now.Before(k.until))
}

// advised is the message with the result of one call.
type advised struct {
	term    model.Term
	key     model.StepRef
	workers map[string]model.WorkerID
	sent    time.Time
	advice  Advice
	err     error
}

// requestAdvice calls the service for the first open step with waiting tasks for
// which some workers of the pool lack an answer.
func (m *Machine) requestAdvice(now time.Time, s model.State) {
	if m.settings.Advisor == nil || m.tickets.calling || now.Before(m.tickets.retryAt) {
		return
	}
	for _, w := range s.Workloads.All() {
		q, ok := s.Catalog.QueueOf(w)
		if !ok || !q.Advised {
			continue
		}
		rounds := 0
		for i, round := range w.Open(model.TimestampOf(now)) {
			if rounds++; rounds > adviceRounds {
				break
			}
			for j, state := range round.Steps() {
				if w.StepReady(i, j) && state.Waiting() > 0 && m.callAdvisor(now, model.StepRef{Workload: w.ID, Round: i, Step: j}, q.Pool) {
					return
				}
			}
		}
	}
}

// callAdvisor starts a call about the workers of the pool that lack an answer; false
// if there are none.
func (m *Machine) callAdvisor(now time.Time, key model.StepRef, pool model.PoolName) bool {
	workers := map[string]model.WorkerID{}
	var names []string
	for name, w := range m.byName {
		if w.Pool != pool || w.Draining || m.hasEnded(w.Worker) || m.tickets.answered(now, key, w.Worker) || len(names) >= adviceWorkers {
			continue
		}
		workers[name] = w.Worker
		names = append(names, name)
	}
	if len(names) == 0 {
		return false
	}
	m.tickets.calling = true
	term := m.term
	go func() {
		a, err := m.settings.Advisor.Advise(m.ctx, key.Workload, key.Round, key.Step, names)
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, advised{term, key, workers, now, a, err})
	}()
	return true
}

// storeAdvice stores the tickets of an answer and removes those of ended workloads.
func (m *Machine) storeAdvice(now time.Time, a advised) {
	m.tickets.calling = false
	if a.err != nil {
		m.tickets.retryAt = now.Add(adviceRetry)
		event.AdviceFailed.Log(m.settings.Logger, zap.String("workload", string(a.key.Workload)), zap.Error(a.err))
		return
	}
	if m.tickets.known[a.key] == nil {
		m.tickets.known[a.key] = map[model.WorkerID]ticket{}
	}
	for name, id := range a.workers {
		m.tickets.known[a.key][id] = ticket{a.advice.Tickets[name], a.sent.Add(a.advice.Validity - adviceMargin)}
	}
	for key := range m.tickets.known {
		if !m.view.State.Workloads.Has(key.Workload) {
			delete(m.tickets.known, key)
		}
	}
}
