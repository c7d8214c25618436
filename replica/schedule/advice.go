package schedule

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"lacewingturn.example/core/command/advise"
	"lacewingturn.example/core/command/place"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
)

// Advisor asks the policy service which workers may run a step.
type Advisor interface {
	// Advise returns the tickets of the approved workers by name, and how long
	// they are valid. It is called on a goroutine of its own, one call at a time.
	Advise(ctx context.Context, workload model.WorkloadID, round, step int, workers []string) (Advice, error)
}

// Advice is the policy service's answer about one step. Workers without a ticket may
// not run the step.
type Advice struct {
	Tickets  map[string]string // by worker name
	Validity time.Duration     // counted from the sending of the call
}

// adviceRetry is the wait after a failed call before any other call.
const adviceRetry = 300 * time.Millisecond

// advice is what this leader knows of the policy service. A new leader starts without any of it and
// asks again.
type advice struct {
	answers *advise.Answers
	calling bool      // a call is in progress
	retryAt time.Time // no call is made before this time
	// withheld holds the assigned runs whose start orders lack a valid ticket: the tickets of an
	// earlier leader are not known here, and those of this one expire.
	withheld map[model.RunRef]withheldStart
}

// withheldStart is a run that is not started for want of a ticket.
type withheldStart struct {
	worker model.WorkerID
	since  time.Time
}

func newAdvice() advice {
	return advice{answers: advise.NewAnswers(), withheld: map[model.RunRef]withheldStart{}}
}

// advised is the message with the result of one call.
type advised struct {
	term   model.Term
	call   advise.Call
	names  map[model.WorkerID]string
	sent   time.Time
	advice Advice
	err    error
}

// requestAdvice starts the next call of the policy service. It is decided on the state with the
// progress that was just planned.
func (m *Machine) requestAdvice(now time.Time, before model.State, planned model.RecordProgress) {
	if m.settings.Advisor == nil || m.advice.calling || now.Before(m.advice.retryAt) || !advise.Needed(before) {
		return
	}
	s := applied(before, planned)
	call, ok := m.advice.answers.Next(now, advise.Input{
		State: s, Workers: m.advisedOffers(now, s), Options: m.placeOptions(now, s), Withheld: m.withheldRuns(s),
		Capacity: func(id model.WorkerID) model.Resources { return m.workers[id].Capacity },
	})
	if ok {
		m.callAdvisor(now, call)
	}
}

// withholds reports whether the start order of a run lacks a valid ticket, without which the worker
// would reject it. The next calls ask for it. If none comes within the time of a lease, or if
// the service does not allow the worker, the run is stopped, which frees its capacity.
func (m *Machine) withholds(now time.Time, s model.State, run model.RunRef, id model.WorkerID) bool {
	workload, _ := s.Workloads.Get(run.Task.Workload)
	q, ok := s.Catalog.QueueOf(workload)
	if !ok || !q.Advised {
		return false
	}
	step := run.Task.StepRef()
	if _, valid := m.advice.answers.Ticket(now, step, id); valid {
		delete(m.advice.withheld, run)
		return false
	}
	w, known := m.advice.withheld[run]
	if !known {
		w = withheldStart{id, now}
		m.advice.withheld[run] = w
	}
	if m.advice.answers.Refused(step, id) || now.Sub(w.since) > m.lease() {
		m.stopping[run] = true
	}
	return true
}

// withheldRuns returns the runs that still wait for tickets, and discards the others. Those that
// are stopped need none any more.
func (m *Machine) withheldRuns(s model.State) []advise.Withheld {
	var out []advise.Withheld
	for run, w := range m.advice.withheld {
		a, _ := s.Assignments.Get(w.worker)
		if !a.Runs.Has(run) || m.stopping[run] || m.workers[w.worker] == nil {
			delete(m.advice.withheld, run)
			continue
		}
		out = append(out, advise.Withheld{Step: run.Task.StepRef(), Worker: w.worker})
	}
	slices.SortFunc(out, func(a, b advise.Withheld) int {
		return cmp.Or(cmp.Compare(a.Step.Workload, b.Step.Workload), cmp.Compare(a.Step.Round, b.Step.Round), cmp.Compare(a.Step.Step, b.Step.Step), cmp.Compare(a.Worker, b.Worker))
	})
	return out
}

// advisedOffers returns the workers that accept runs and hold their names, by which the policy
// service knows them.
func (m *Machine) advisedOffers(now time.Time, s model.State) []place.Worker {
	return slices.DeleteFunc(m.offers(now, s), func(w place.Worker) bool {
		known := m.workers[w.ID]
		return m.byName[known.Name] != known
	})
}

// callAdvisor makes a call on a goroutine of its own, which posts the result to the loop.
func (m *Machine) callAdvisor(now time.Time, call advise.Call) {
	m.advice.calling = true
	message := advised{term: m.term, call: call, names: map[model.WorkerID]string{}, sent: now}
	var names []string
	for _, id := range call.Workers {
		message.names[id] = m.workers[id].Name
		names = append(names, m.workers[id].Name)
	}
	go func() {
		message.advice, message.err = m.settings.Advisor.Advise(m.ctx, call.Step.Workload, call.Step.Round, call.Step.Step, names)
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, message)
	}()
}

// storeAdvice stores the answer to a call and has the next cycle plan with it. It removes the
// answers about ended workloads.
func (m *Machine) storeAdvice(now time.Time, a advised) {
	m.advice.calling, m.plannedAt = false, time.Time{}
	m.settings.Metrics.countAdvice(a.call.Prefetch, a.err)
	m.advice.answers.Prune(m.view.State.Workloads.Has)
	if a.err != nil {
		m.advice.retryAt = now.Add(adviceRetry)
		m.advice.answers.Fail(now, a.call)
		event.AdviceFailed.Log(m.settings.Logger, zap.String("workload", string(a.call.Step.Workload)), zap.Error(a.err))
		return
	}
	tickets := map[model.WorkerID]string{}
	for id, name := range a.names {
		if text := a.advice.Tickets[name]; text != "" {
			tickets[id] = text
		}
	}
	m.advice.answers.Record(now, a.sent, a.call, tickets, a.advice.Validity)
}
