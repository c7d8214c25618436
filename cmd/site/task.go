package site

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
	workercommand "lacewingturn.example/entry/command/worker"
	workerquery "lacewingturn.example/entry/query/worker"
)

// Checkpoints of a stand-in worker: one is saved every checkpointEvery of work.
// Its name is the work done in milliseconds. It is reported when the job ends on
// request, and otherwise only when it is checkpointNews further than the last,
// because each report takes room in the log.
const (
	checkpointEvery = 200 * time.Millisecond
	checkpointNews  = 10 * time.Second
)

// task is a job on a stand-in worker.
type task struct {
	workerquery.Assignment
	leaseUntil time.Time // the job is dropped then unless a report is answered
	started    bool      // the start was confirmed
	throttled  bool
	since      time.Time     // start of the present speed
	progress   time.Duration // work done before since
	began      time.Time
	reported   model.Resources
	saved      time.Duration // work of the checkpoint that was reported last
}

// ending is the end of a job that has not been confirmed yet.
type ending struct {
	workercommand.End
	checkpoint string
}

// usage is the whole size, or half of the processors of a throttled job.
func (t *task) usage() model.Resources {
	r := model.Resources{MilliCPU: t.MilliCPU, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators}
	if t.throttled {
		r.MilliCPU /= 2
	}
	return r
}

// work is the time that the job takes at full speed.
func (t *task) work() time.Duration {
	d := time.Duration(t.RunMs) * time.Millisecond
	if t.Class == ClassSlow {
		d *= slowFactor
	}
	return d
}

// done is the work done until now.
func (t *task) done(now time.Time) time.Duration {
	d := now.Sub(t.since)
	if t.throttled {
		d /= 2
	}
	return t.progress + d
}

// saves returns the work of the last checkpoint.
func (t *task) saves(now time.Time) time.Duration {
	if !t.started {
		return t.saved
	}
	return max(t.saved, t.done(now).Truncate(checkpointEvery))
}

func checkpointName(work time.Duration) string {
	if work == 0 {
		return ""
	}
	return strconv.FormatInt(work.Milliseconds(), 10)
}

// left is the time until the job is done at its present speed.
func (t *task) left(now time.Time) time.Duration {
	d := t.work() - t.done(now)
	if t.throttled {
		d *= 2
	}
	return d
}

// named lists the jobs whose leases a report renews.
func named(r workercommand.Report) []workercommand.Job {
	out := slices.Concat(r.Started, r.Held)
	for _, u := range r.Usage {
		out = append(out, u.Job)
	}
	return out
}

// assign takes the whole list of assignments. Jobs that are not in it any more
// run elsewhere or have ended.
func (w *Worker) assign(ctx context.Context, list []workerquery.Assignment) {
	listed := map[uint64]bool{}
	for _, a := range list {
		listed[a.Token] = true
		t := w.tasks[a.Token]
		if t == nil && !w.dropped[a.Token] {
			t = &task{Assignment: a, leaseUntil: time.Now().Add(job.MinLeaseDuration)}
			w.tasks[a.Token], w.news = t, true
		}
		if t != nil {
			w.ask(ctx, t, a.Action)
		}
	}
	for token, t := range w.tasks {
		if !listed[token] {
			w.drop(t)
		}
	}
}

// begin runs a job whose start was confirmed, from its checkpoint if it has one.
func (w *Worker) begin(ctx context.Context, t *task) {
	if t.started {
		return
	}
	t.started, t.began, t.since = true, time.Now(), time.Now()
	if ms, err := strconv.ParseInt(t.Checkpoint, 10, 64); err == nil {
		t.saved = time.Duration(ms) * time.Millisecond
		t.progress = t.saved
	}
	w.history.start(t, w.load())
	w.arm(ctx, t)
}

// arm wakes the worker when the job may be done.
func (w *Worker) arm(ctx context.Context, t *task) {
	token := t.Token
	time.AfterFunc(t.left(time.Now()), func() {
		select {
		case w.timers <- token:
		case <-ctx.Done():
		}
	})
}

// ask obeys a request about a job.
func (w *Worker) ask(ctx context.Context, t *task, asked string) {
	now := time.Now()
	throttle := asked == model.AskedThrottle.String()
	switch asked {
	case model.AskedCancel.String():
		w.end(t, workercommand.Stopped, "asked to cancel", "")
	case model.AskedStop.String():
		w.end(t, workercommand.Stopped, "asked to stop", checkpointName(t.saves(now)))
	case model.AskedCheckpoint.String():
		work := t.saves(now)
		if t.started {
			work = t.done(now)
		}
		w.end(t, workercommand.Stopped, "asked for a checkpoint", checkpointName(work))
	default:
		if throttle != t.throttled && t.started {
			t.progress, t.since, t.throttled = t.done(now), now, throttle
			w.news = true
			w.arm(ctx, t)
		}
	}
}

// finish ends a job whose work is done. A timer of an earlier speed may come
// too early; that of the present speed follows.
func (w *Worker) finish(token uint64) {
	t := w.tasks[token]
	if t == nil || t.left(time.Now()) > time.Millisecond {
		return
	}
	if t.Class == ClassFails {
		w.end(t, workercommand.Failed, "the job asked to fail", "")
		return
	}
	w.end(t, workercommand.Succeeded, "", "")
}

// end notes the end of a job for the next report.
func (w *Worker) end(t *task, o workercommand.Outcome, reason, checkpoint string) {
	e := workercommand.End{Job: workercommand.Job{Job: t.Job, Token: t.Token}, Amounts: workercommand.Amounts(t.usage()), Outcome: o, Reason: reason}
	if t.started {
		e.RunMs = time.Since(t.began).Milliseconds()
	}
	w.ended = append(w.ended, ending{e, checkpoint})
	w.news = true
	w.drop(t)
}

func (w *Worker) drop(t *task) {
	delete(w.tasks, t.Token)
	w.dropped[t.Token] = true
}

// dropExpired stops jobs whose lease may have ended, because they may run
// elsewhere by then.
func (w *Worker) dropExpired() {
	now := time.Now()
	for _, t := range w.tasks {
		if now.After(t.leaseUntil) {
			w.drop(t)
		}
	}
}

// load is what the running jobs use.
func (w *Worker) load() model.Resources {
	var sum model.Resources
	for _, t := range w.tasks {
		if t.started {
			sum = sum.Add(t.usage())
		}
	}
	return sum
}

// run is one execution of a job.
type run struct {
	Worker     model.InstanceID
	Job        model.JobID
	Token      uint64
	Checkpoint string
	At         time.Time
}

// history is what a worker has run, for the demo to read.
type history struct {
	mu   sync.Mutex // the stand-in is no control state
	runs []run
	peak model.Resources
}

func (h *history) start(t *task, load model.Resources) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, run{Job: t.Job, Token: t.Token, Checkpoint: t.Checkpoint, At: t.began})
	h.peak.MilliCPU, h.peak.MemoryMB = max(h.peak.MilliCPU, load.MilliCPU), max(h.peak.MemoryMB, load.MemoryMB)
}

// Runs returns the executions on the worker in their order.
func (w *Worker) Runs() []run {
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	out := slices.Clone(w.history.runs)
	for i := range out {
		out[i].Worker = w.Instance
	}
	return out
}

// Peak returns the most that the running jobs used together.
func (w *Worker) Peak() model.Resources {
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	return w.history.peak
}

func (r run) String() string { return fmt.Sprintf("%s on %s under token %d", r.Job, r.Worker, r.Token) }
