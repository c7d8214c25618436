package schedule

import (
	"cmp"
	"slices"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Report is the content of one heartbeat of a worker.
type Report struct {
	// Worker identifies the incarnation: the worker between two of its starts.
	Worker model.WorkerID
	// Name is the part of the worker's ID that stays the same for later incarnations.
	Name      string
	StartedAt model.Timestamp
	Address   string
	Instance  model.InstanceID
	Pool      model.PoolName
	Domain    model.Domain
	Labels    []string
	Capacity  model.Resources
	// Sequence increases with each heartbeat of the incarnation.
	Sequence int64
	// Clock is the steady clock of the incarnation when it sent the heartbeat.
	Clock time.Duration
	// Draining is set once the worker is about to shut down; it gets no new runs.
	Draining bool
	Running  []Running
	Ended    []Ended
	// MoreEnds is set if the worker may have further ends that it does not list yet. A run that
	// the report does not list may then have ended.
	MoreEnds bool
	// listed is the index of the runs in Running and Ended.
	listed map[model.RunRef]listing
}

// listing is where a report lists a run: its position in Running, or notRunning.
type listing int32

const notRunning listing = -1

// indexed returns the report with the index of its runs. It is built before the report reaches
// the control loop, whose work must not grow with the square of the number of runs.
// The ends are sorted by position.
func (r Report) indexed() Report {
	byPosition := func(a, b Ended) int { return cmp.Compare(a.Position, b.Position) }
	if !slices.IsSortedFunc(r.Ended, byPosition) {
		r.Ended = slices.Clone(r.Ended)
		slices.SortStableFunc(r.Ended, byPosition)
	}
	r.listed = make(map[model.RunRef]listing, len(r.Running)+len(r.Ended))
	for _, end := range r.Ended {
		r.listed[end.Run] = notRunning
	}
	for i, running := range r.Running {
		r.listed[running.Run] = listing(i)
	}
	return r
}

// lists reports whether the report contains the run, as running or as ended.
func (r *Report) lists(run model.RunRef) bool {
	_, ok := r.listed[run]
	return ok
}

// runningRun returns what the report says of a run that has not ended; false if it does not list
// the run as running.
func (r *Report) runningRun(run model.RunRef) (Running, bool) {
	i, ok := r.listed[run]
	if !ok || i == notRunning {
		return Running{}, false
	}
	return r.Running[i], true
}

// check returns the first reason to refuse the report, or OK: a name in it must not
// enter the state, because a command that contains it could not be committed.
func (r Report) check() result.Result {
	names := append([]string{
		string(r.Worker), r.Name, r.Address, string(r.Instance), string(r.Pool), r.Domain.Region, r.Domain.DataCenter, r.Domain.Rack,
	}, r.Labels...)
	for _, name := range names {
		if !model.ValidName(name) {
			return result.New(result.InvalidInput, "the heartbeat of worker %.64q has the name %.64q, which is no text of at most %d bytes without control characters", r.Name, name, model.MaxNameBytes)
		}
	}
	return result.Result{Code: result.OK}
}

// withValidCheckpoints returns the report without the checkpoints that must not enter
// the state. A run without a checkpoint resumes from the one that is recorded already.
func (r Report) withValidCheckpoints() Report {
	r.Running = withoutInvalid(r.Running, func(o *Running) *string { return &o.Checkpoint })
	r.Ended = withoutInvalid(r.Ended, func(e *Ended) *string { return &e.Checkpoint })
	return r
}

// withoutInvalid returns the list with its invalid checkpoints emptied; the given list is
// not modified.
func withoutInvalid[T any](list []T, checkpoint func(*T) *string) []T {
	out := list
	for i := range list {
		if model.ValidCheckpoint(*checkpoint(&list[i])) {
			continue
		}
		if &out[0] == &list[0] {
			out = slices.Clone(list)
		}
		*checkpoint(&out[i]) = ""
	}
	return out
}

// Running is a run that has not ended on the worker.
type Running struct {
	Run        model.RunRef
	Checkpoint string
	// Percent is the progress, 0 to 100. A long-running task serves at 100.
	Percent int
	// Usage is a measurement over the last half second: the tail latency in
	// milliseconds for a serving task, else the processor time in use in thousandths
	// of a processor.
	Usage int64
}

// Ended is a run that has ended on the worker.
type Ended struct {
	// Position numbers the ends reported by an incarnation, from 1.
	Position int64
	Run      model.RunRef
	Outcome  model.RunOutcome
	// Refused is set if the worker refused to start the run.
	Refused    bool
	Checkpoint string
}

// Orders is the answer to a report: what the worker has to do until its next report.
type Orders struct {
	// Lease is how long runs may go on without another answer, counted from the
	// sending of the report.
	Lease time.Duration
	// AckCursor acknowledges the ends up to this position: they are committed and
	// need not be reported again.
	AckCursor int64
	// FencingToken is the term of the leader. A worker that has received a higher
	// token knows that an answer with a lower one is from an earlier leader.
	FencingToken model.Term
	Start        []StartOrder
	Stop         []model.RunRef
	Throttle     []ThrottleOrder
	// NextReport is the wait before the next report if no run ends earlier.
	NextReport time.Duration
}

// StartOrder tells a worker to start a run. It is repeated with the same run until
// the worker lists the run.
type StartOrder struct {
	Run        model.RunRef
	Payload    string
	Checkpoint string // where to resume; empty to start from the beginning
	Ticket     string // of the policy service; empty if the queue needs none
}

// size estimates the size of the order in an answer, in bytes.
func (s StartOrder) size() int {
	const names = 96 // of the task and the run, and what separates them
	return names + len(s.Payload) + len(s.Checkpoint) + len(s.Ticket)
}

// ThrottleOrder limits a run to a share of its full speed, in percent; 0 pauses it.
type ThrottleOrder struct {
	Run     model.RunRef
	Percent int
}
