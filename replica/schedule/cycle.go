package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/command/maintain"
	"lacewingturn.example/core/command/pace"
	"lacewingturn.example/core/command/place"
	"lacewingturn.example/core/compare"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
	"lacewingturn.example/replica"
)

// cycle is a scheduling cycle whose ends and starts are being committed.
type cycle struct {
	startedAt time.Time
	before    model.State // state on which the cycle was decided
	progress  model.RecordProgress
	parts     []model.RecordProgress  // the progress as it is being proposed, one command each
	settled   []settledPart           // parts that were committed or refused
	causes    map[model.RunRef]string // why each run ended
	pending   []pendingReport         // reports that are answered once the cycle is committed
}

// settledPart is a part of a cycle with its result.
type settledPart struct {
	progress model.RecordProgress
	result   result.Result
}

const (
	// maxCycleEnds and maxCycleStarts bound the ends and starts of one cycle, so that the control
	// loop, which also sends and answers the heartbeats of the replicas, is not held up by them.
	// The next cycle goes on.
	maxCycleEnds   = 2000
	maxCycleStarts = 1000
	// maxEntryItems is the number of ends and starts in one entry of the log. A gang is not split.
	maxEntryItems = 250
)

// runCycle collects the ends of runs, plans starts on workers with free capacity
// and commits both. If there is nothing to commit, it answers the pending reports
// at once.
func (m *Machine) runCycle(now time.Time) {
	if !replica.IsConfirmedLeader(m.replica.View(), m.detector, now) {
		m.refuseAll(errNotLeader)
		return
	}
	state := m.view.State
	if now.Sub(m.prunedAt) >= pruneInterval {
		m.prunedAt = now
		m.pruneEnded(now, state)
		m.observeAccounts(now, state)
	}
	causes := map[model.RunRef]string{}
	progress := model.RecordProgress{Ends: append(m.reportedEnds(now, state, causes), m.lostRuns(now, state, causes)...)}
	after := applied(state, progress)
	changed := len(progress.Ends) > 0 || state.Index != m.plannedIndex
	m.pruneStops(after)
	m.checkHealth(now, after)
	m.evacuate(now, after)
	m.preempt(now, after)
	due := changed || now.Sub(m.plannedAt) >= planInterval
	if due && now.Sub(m.passedAt) >= pace.PassInterval(m.fleetSize()) {
		m.plannedIndex, m.plannedAt, m.passedAt = state.Index, now, now
		progress.Starts = m.plan(now, after)
		m.requestAdvice(now, state, progress)
	}
	if len(progress.Ends) == 0 && len(progress.Starts) == 0 {
		m.answerAll(now, m.pending)
		m.pending = nil
		return
	}
	m.committing = &cycle{startedAt: now, before: state, progress: progress, causes: causes, pending: m.pending}
	m.pending = nil
	m.commit(splitProgress(state, progress, maxEntryItems))
}

// pruneInterval is the time between two passes that discard ended workers.
const pruneInterval = 500 * time.Millisecond

// planInterval is the time between two planning passes on an unchanged state:
// capacity that workers report as free is not part of the state.
const planInterval = 100 * time.Millisecond

// applied returns the state with the ends and starts of the progress applied.
func applied(s model.State, p model.RecordProgress) model.State {
	if len(p.Ends) == 0 && len(p.Starts) == 0 {
		return s
	}
	next, _ := command.Apply(s, s.Index, s.Term, model.Envelope{Command: p})
	return next
}

// reportedEnds lists the reported ends of runs that are recorded as active, and
// the runs that are to be stopped and were never started. If there are more than maxCycleEnds,
// it takes an equal part of each report; the workers list the others again.
func (m *Machine) reportedEnds(now time.Time, s model.State, causes map[model.RunRef]string) []model.RunEnd {
	var out []model.RunEnd
	share := m.endsPerReport()
	for i := range m.pending {
		p := &m.pending[i]
		a, _ := s.Assignments.Get(p.report.Worker)
		taken := 0
		for _, end := range p.report.Ended {
			if taken == share {
				break
			}
			p.ackCursor = end.Position
			if a.Runs.Has(end.Run) {
				taken++
				causes[end.Run] = causeReported
				out = append(out, model.RunEnd{Run: end.Run, Worker: p.report.Worker, Outcome: end.Outcome, Checkpoint: end.Checkpoint})
			}
		}
		for run := range a.Runs.All() {
			// A run that the worker does not list never started there: the start order
			// was lost, or not sent because the run is to be stopped. A list that may be cut
			// shows nothing.
			if m.stopping[run] && !p.report.MoreEnds && !p.report.lists(run) && !p.worker.mayRun(now, run, m.lease()) && !m.mayBeInherited(now, p.report.Worker, run) {
				causes[run] = causeUnstarted
				out = append(out, model.RunEnd{Run: run, Worker: p.report.Worker, Outcome: model.RunInterrupted})
			}
		}
	}
	return out
}

// endsPerReport returns how many ends a cycle takes of each report.
func (m *Machine) endsPerReport() int {
	reports, ends := 0, 0
	for _, p := range m.pending {
		if len(p.report.Ended) > 0 {
			reports, ends = reports+1, ends+len(p.report.Ended)
		}
	}
	if ends <= maxCycleEnds {
		return ends
	}
	return max(1, maxCycleEnds/reports)
}

// lostRuns lists the runs of workers whose lease has certainly expired, that have
// left, or that were replaced by a later incarnation.
func (m *Machine) lostRuns(now time.Time, s model.State, causes map[model.RunRef]string) []model.RunEnd {
	if now.Before(m.nextExpiryCheck) {
		return nil
	}
	var out []model.RunEnd
	next := now.Add(m.lease())
	for id, a := range s.Assignments.All() {
		if len(out) >= maxCycleEnds {
			next = now
			break
		}
		if until := m.aliveUntil(id); until.After(now) {
			next = compare.Earlier(next, until)
			continue
		}
		w := m.workers[id]
		for run := range a.Runs.All() {
			end := model.RunEnd{Run: run, Worker: id, Outcome: model.RunInterrupted}
			causes[run] = m.endCause(id)
			if w != nil {
				end.Checkpoint = w.checkpoint(run)
			}
			out = append(out, end)
		}
	}
	m.nextExpiryCheck = compare.Later(next, now.Add(expiryCheckInterval))
	return out
}

// aliveUntil returns the time by which the runs of an incarnation have certainly ended.
func (m *Machine) aliveUntil(id model.WorkerID) time.Time {
	if at, ok := m.endedAt[id]; ok {
		return at
	}
	if w, ok := m.workers[id]; ok {
		return w.leaseUntil
	}
	return leaseEnd(m.leaderSince, m.lease())
}

// expiryCheckInterval is the shortest time between two checks for expired leases.
const expiryCheckInterval = 20 * time.Millisecond

// offers lists the workers that can take work: those that reported within
// maxReportAge. A worker without a pending report receives its start orders in the
// answer to its next report.
func (m *Machine) offers(now time.Time, s model.State) []place.Worker {
	due := instancesWithUpkeepDue(s)
	var out []place.Worker
	for _, w := range m.workers {
		if m.cordons[w.Instance] || m.hasEnded(w.Worker) || now.Sub(w.reportedAt) > m.maxReportAge() {
			continue
		}
		if offer, ok := w.offer(now, s); ok {
			offer.UpkeepDue = due[w.Instance]
			out = append(out, offer)
		}
	}
	slices.SortFunc(out, func(a, b place.Worker) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// instancesWithUpkeepDue returns the instances that an order for upkeep names and whose
// upkeep has not begun.
func instancesWithUpkeepDue(s model.State) map[model.InstanceID]bool {
	due := map[model.InstanceID]bool{}
	for _, u := range s.Upkeeps.All() {
		if u.Complete() {
			continue
		}
		for _, i := range u.Instances {
			if !i.Begun {
				due[i.ID] = true
			}
		}
	}
	return due
}

// evacuate stops the runs of long-running tasks on draining workers, so that the tasks
// serve on other workers before the draining ones shut down. A run waits while as many
// other tasks of its step are away as may be, for example for upkeep: the worker goes on
// serving until it shuts down.
func (m *Machine) evacuate(now time.Time, s model.State) {
	limits := maintain.StopLimits{Serving: func(t model.TaskRef) bool { return m.Serving(now, t) }}
	for _, p := range m.pending {
		if !p.report.Draining {
			continue
		}
		a, _ := s.Assignments.Get(p.report.Worker)
		for run := range a.Runs.All() {
			workload, ok := s.Workloads.Get(run.Task.Workload)
			if !ok || !workload.Has(run.Task) || m.stopping[run] {
				continue
			}
			step := workload.Steps[run.Task.Step]
			if step.Lasting && limits.MayStop(run.Task, step.Count, step.Missable) {
				limits.Stopped(run.Task)
				m.stopping[run] = true
			}
		}
	}
}

// preemptInterval is the time between two preemption passes.
const preemptInterval = 200 * time.Millisecond

// preempt stops runs in favour of more urgent work that lacks capacity.
func (m *Machine) preempt(now time.Time, s model.State) {
	if s.Catalog == nil || now.Before(m.nextPreemptAt) {
		return
	}
	m.nextPreemptAt = now.Add(preemptInterval)
	if !s.Catalog.HasPriorities() {
		return
	}
	for _, run := range place.Preempt(s, m.offers(now, s), m.placeOptions(now, s)) {
		m.stopping[run] = true
	}
}

// placeOptions returns the placement options that depend on what this leader has
// observed.
func (m *Machine) placeOptions(now time.Time, s model.State) place.Options {
	m.avoided.prune(now)
	return place.Options{
		Now:   max(model.TimestampOf(now), m.view.State.Clock),
		Avoid: func(t model.TaskRef, w model.WorkerID) bool { return m.avoided.has(now, t, w) },
		TicketGranted: func(t model.TaskRef, w model.WorkerID) bool {
			_, valid := m.advice.answers.Ticket(now, t.StepRef(), w)
			return valid
		},
		NeedsCopy:        func(run model.RunRef) bool { return m.needsCopy(now, s, run) },
		RemoteDataFactor: m.settings.RemoteDataFactor,
		Unassigned:       m.unassignedNeeds(now, s),
		Near:             m.near,
		RunTime:          func(t model.TaskRef, estimate time.Duration) time.Duration { return m.runTime(now, s, t, estimate) },
		TimeLeft:         func(run model.RunRef, w model.WorkerID) (time.Duration, bool) { return m.timeLeft(now, run, w) },
		Arrivals:         m.arrivals(now),
		MaxStarts:        maxCycleStarts,
	}
}

// commit proposes the parts of the current cycle's progress on a goroutine of its own,
// which posts the results to the loop as a message.
func (m *Machine) commit(parts []model.RecordProgress) {
	m.committing.parts = parts
	term := m.term
	envelopes := make([]model.Envelope, len(parts))
	for i, p := range parts {
		envelopes[i].Command = p
	}
	go func() {
		results, err := m.replica.Propose(m.ctx, envelopes)
		// The loop has ended if the message cannot be sent.
		_ = m.port.Send(m.ctx, committed{term, results, err})
	}()
}

// finishCommit answers the reports of the cycle once its ends and starts are
// committed; if the commit failed, it answers them with an error. If a part of the progress
// is refused as invalid, its entries are proposed one by one, so that only the refused ones
// are dropped.
func (m *Machine) finishCommit(now time.Time, c committed) {
	if c.term != m.term || m.committing == nil {
		return
	}
	current := m.committing
	if c.err == nil {
		if rest := current.settle(c.results); len(rest) > 0 {
			m.commit(rest)
			return
		}
	}
	m.committing = nil
	err := c.failure()
	if err == nil && !replica.IsConfirmedLeader(m.replica.View(), m.detector, now) {
		err = errNotLeader
	}
	if err != nil {
		event.CycleFailed.Log(m.settings.Logger, zap.Int("reports", len(current.pending)), zap.Int("ends", len(current.progress.Ends)), zap.Int("starts", len(current.progress.Starts)), zap.Error(err))
		refuse(current.pending, trace.Wrap(err))
		return
	}
	m.dropRefused(now, current)
	m.logged = map[model.WorkloadID]bool{}
	m.logProgress(now, *current)
	m.answerAll(now, current.pending)
}

// settle records the results of the parts, and returns those that are to be proposed again.
func (c *cycle) settle(results []result.Result) (rest []model.RecordProgress) {
	for i, part := range c.parts {
		if isInvalid(results[i]) {
			if single := splitProgress(c.before, part, 1); len(single) > 1 {
				rest = append(rest, single...)
				continue
			}
		}
		c.settled = append(c.settled, settledPart{part, results[i]})
	}
	return rest
}

// failure returns why the outcome of the commit is not known or nothing was committed;
// nil if each part was committed or refused as invalid.
func (c committed) failure() error {
	if c.err != nil {
		return c.err
	}
	for _, r := range c.results {
		if !r.Code.OK() && r.Code != result.InvalidInput {
			return r
		}
	}
	return nil
}

// errNotLeader is the error of workers' calls that this replica refuses because it does
// not lead or cannot confirm that it still does.
var errNotLeader = result.New(result.NotLeader, "this replica does not lead")
