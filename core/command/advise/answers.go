package advise

import (
	"time"

	"lacewingturn.example/core/model"
)

const (
	// ticketMargin is the time before the expiry of a ticket from which it is no longer used.
	ticketMargin = 300 * time.Millisecond
	// minRetry and maxRetry bound the time after which a step is asked about again whose last
	// calls gave no ticket that could be used in time. It doubles with each of them.
	minRetry = 300 * time.Millisecond
	maxRetry = 8 * time.Second
	// maxDoublings is the number of times after which the wait has reached maxRetry.
	maxDoublings = 5
)

// Answers holds what the policy service has answered, by step and worker. Its zero value is not
// usable; see NewAnswers.
type Answers struct {
	steps map[model.StepRef]*stepAnswers
	calls int // number of calls that Next has returned
}

// stepAnswers are the answers about one step.
type stepAnswers struct {
	workers map[model.WorkerID]ticket
	askedAt time.Time // when Next last returned a call about the step
	// failures is the number of calls in a row that gave nothing that can be used, retryAt the
	// time until which there is no further call.
	failures int
	retryAt  time.Time
}

// ticket allows a worker to run the tasks of a step for a limited time.
type ticket struct {
	text  string // empty if the worker may not run the step
	until time.Time
}

// NewAnswers returns a record without any answer.
func NewAnswers() *Answers { return &Answers{steps: map[model.StepRef]*stepAnswers{}} }

// Ticket returns the valid ticket of a worker for a step; false if there is none.
func (a *Answers) Ticket(now time.Time, step model.StepRef, w model.WorkerID) (string, bool) {
	t, _ := a.answer(step, w)
	if !t.valid(now) {
		return "", false
	}
	return t.text, true
}

func (t ticket) valid(now time.Time) bool { return t.text != "" && now.Before(t.until) }

// answer returns the service's last answer about a worker; false if there is none.
func (a *Answers) answer(step model.StepRef, w model.WorkerID) (ticket, bool) {
	s := a.steps[step]
	if s == nil {
		return ticket{}, false
	}
	t, ok := s.workers[w]
	return t, ok
}

// approvedBefore reports whether the service has allowed the worker to run the step. The policy
// does not change, so that it will do so again.
func (a *Answers) approvedBefore(step model.StepRef, w model.WorkerID) bool {
	t, _ := a.answer(step, w)
	return t.text != ""
}

// Refused reports whether the service does not allow the worker to run the step.
func (a *Answers) Refused(step model.StepRef, w model.WorkerID) bool {
	t, known := a.answer(step, w)
	return known && t.text == ""
}

// mayGet reports whether a call now can give a ticket that is not valid yet. Refusals hold for
// good.
func (a *Answers) mayGet(now time.Time, step model.StepRef, w model.WorkerID) bool {
	if t, _ := a.answer(step, w); a.Refused(step, w) || t.valid(now) {
		return false
	}
	s := a.steps[step]
	return s == nil || !now.Before(s.retryAt)
}

// askedAt returns when Next last returned a call about the step; zero if it has not.
func (a *Answers) askedAt(step model.StepRef) time.Time {
	if s := a.steps[step]; s != nil {
		return s.askedAt
	}
	return time.Time{}
}

func (a *Answers) step(ref model.StepRef) *stepAnswers {
	s := a.steps[ref]
	if s == nil {
		s = &stepAnswers{workers: map[model.WorkerID]ticket{}}
		a.steps[ref] = s
	}
	return s
}

// recordCall records that Next returns the call.
func (a *Answers) recordCall(now time.Time, c Call) {
	a.calls++
	a.step(c.Step).askedAt = now
}

// Record stores the answer to a call that was sent at the given time: the tickets of the workers
// that may run the step, and for how long they are valid. A worker without a ticket may not run it.
func (a *Answers) Record(now, sent time.Time, c Call, tickets map[model.WorkerID]string, validity time.Duration) {
	s := a.step(c.Step)
	until := sent.Add(validity - ticketMargin)
	for _, w := range c.Workers {
		s.workers[w] = ticket{tickets[w], until}
	}
	if len(tickets) > 0 && !now.Before(until) {
		s.fail(now)
		return
	}
	s.failures, s.retryAt = 0, time.Time{}
}

// Fail records that a call gave no answer.
func (a *Answers) Fail(now time.Time, c Call) { a.step(c.Step).fail(now) }

func (s *stepAnswers) fail(now time.Time) {
	s.retryAt = now.Add(min(maxRetry, minRetry<<min(s.failures, maxDoublings)))
	s.failures++
}

// Prune removes the answers about workloads that are not kept.
func (a *Answers) Prune(keep func(model.WorkloadID) bool) {
	for step := range a.steps {
		if !keep(step.Workload) {
			delete(a.steps, step)
		}
	}
}
