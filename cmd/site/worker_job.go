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

// A stand-in worker saves a checkpoint of a job after every checkpointInterval of
// work. The name of a checkpoint is the work done in milliseconds. The worker
// reports a checkpoint when the job ends on request. Otherwise it reports one only
// if it is checkpointReportStep of work after the last one reported, because each
// report takes space in the log.
const (
	checkpointInterval   = 200 * time.Millisecond
	checkpointReportStep = 10 * time.Second
)

// workerJob is a job assigned to a stand-in worker.
type workerJob struct {
	workerquery.Assignment
	leaseUntil         time.Time // the job is dropped at this time unless a report renews its lease
	started            bool      // the start was confirmed
	throttled          bool
	speedSince         time.Time     // when the job began to run at its current speed
	workBefore         time.Duration // work done before speedSince
	startedAt          time.Time
	reportedUsage      model.Resources
	reportedCheckpoint time.Duration // work in the last checkpoint reported
}

// jobEnd is the end of a job that has not been confirmed yet.
type jobEnd struct {
	workercommand.End
	checkpoint string
}

// usage returns the declared resources, or half of the processors while the job
// is throttled.
func (j *workerJob) usage() model.Resources {
	r := model.Resources{MilliCPU: j.MilliCPU, MemoryMB: j.MemoryMB, Accelerators: j.Accelerators}
	if j.throttled {
		r.MilliCPU /= 2
	}
	return r
}

// totalWork returns the run time of the job at full speed.
func (j *workerJob) totalWork() time.Duration {
	d := time.Duration(j.RunMs) * time.Millisecond
	if j.Class == ClassSlow {
		d *= slowFactor
	}
	return d
}

// workDone returns the work done until now, as run time at full speed.
func (j *workerJob) workDone(now time.Time) time.Duration {
	d := now.Sub(j.speedSince)
	if j.throttled {
		d /= 2
	}
	return j.workBefore + d
}

// checkpointed returns the work in the last checkpoint saved.
func (j *workerJob) checkpointed(now time.Time) time.Duration {
	if !j.started {
		return j.reportedCheckpoint
	}
	return max(j.reportedCheckpoint, j.workDone(now).Truncate(checkpointInterval))
}

func checkpointName(work time.Duration) string {
	if work == 0 {
		return ""
	}
	return strconv.FormatInt(work.Milliseconds(), 10)
}

// timeLeft returns the time until the job is done at its current speed.
func (j *workerJob) timeLeft(now time.Time) time.Duration {
	d := j.totalWork() - j.workDone(now)
	if j.throttled {
		d *= 2
	}
	return d
}

// renewed lists the jobs whose leases a report renews.
func renewed(r workercommand.Report) []workercommand.Job {
	out := slices.Concat(r.Started, r.Held)
	for _, u := range r.Usage {
		out = append(out, u.Job)
	}
	return out
}

// applyAssignments takes the complete list of assignments: it accepts new jobs and
// drops those that are no longer listed, because they run elsewhere or have ended.
func (w *Worker) applyAssignments(ctx context.Context, list []workerquery.Assignment) {
	listed := map[uint64]bool{}
	for _, a := range list {
		listed[a.Token] = true
		j := w.jobs[a.Token]
		if j == nil && !w.dropped[a.Token] {
			j = &workerJob{Assignment: a, leaseUntil: time.Now().Add(job.MinLeaseDuration)}
			w.jobs[a.Token], w.changed = j, true
		}
		if j != nil {
			w.applyRequest(ctx, j, a.Action)
		}
	}
	for token, j := range w.jobs {
		if !listed[token] {
			w.drop(j)
		}
	}
}

// confirmStart runs a job whose start was confirmed, from its checkpoint if it has
// one. It does nothing if the job runs already.
func (w *Worker) confirmStart(ctx context.Context, j *workerJob) {
	if j.started {
		return
	}
	j.started, j.startedAt, j.speedSince = true, time.Now(), time.Now()
	if ms, err := strconv.ParseInt(j.Checkpoint, 10, 64); err == nil {
		j.reportedCheckpoint = time.Duration(ms) * time.Millisecond
		j.workBefore = j.reportedCheckpoint
	}
	w.history.start(j, w.load())
	w.scheduleCompletion(ctx, j)
}

// scheduleCompletion sends the token of the job to the event loop at the time when the
// job will be done at its current speed.
func (w *Worker) scheduleCompletion(ctx context.Context, j *workerJob) {
	token := j.Token
	time.AfterFunc(j.timeLeft(time.Now()), func() {
		select {
		case w.timers <- token:
		case <-ctx.Done():
		}
	})
}

// applyRequest carries out a request of the control replicas about a job.
func (w *Worker) applyRequest(ctx context.Context, j *workerJob, asked string) {
	now := time.Now()
	throttle := asked == model.AskedThrottle.String()
	switch asked {
	case model.AskedCancel.String():
		w.end(j, workercommand.Stopped, "asked to cancel", "")
	case model.AskedStop.String():
		w.end(j, workercommand.Stopped, "asked to stop", checkpointName(j.checkpointed(now)))
	case model.AskedCheckpoint.String():
		work := j.checkpointed(now)
		if j.started {
			work = j.workDone(now)
		}
		w.end(j, workercommand.Stopped, "asked for a checkpoint", checkpointName(work))
	default:
		if throttle != j.throttled && j.started {
			j.workBefore, j.speedSince, j.throttled = j.workDone(now), now, throttle
			w.changed = true
			w.scheduleCompletion(ctx, j)
		}
	}
}

// complete ends a job whose work is done. A timer set before a change of speed may
// fire too early; it is ignored, because the timer of the current speed fires later.
func (w *Worker) complete(token uint64) {
	j := w.jobs[token]
	if j == nil || j.timeLeft(time.Now()) > time.Millisecond {
		return
	}
	if j.Class == ClassFails {
		w.end(j, workercommand.Failed, "the job asked to fail", "")
		return
	}
	w.end(j, workercommand.Succeeded, "", "")
}

// end drops a job and records its end for the next report.
func (w *Worker) end(j *workerJob, o workercommand.Outcome, reason, checkpoint string) {
	e := workercommand.End{Job: workercommand.Job{Job: j.Job, Token: j.Token}, Amounts: workercommand.Amounts(j.usage()), Outcome: o, Reason: reason}
	if j.started {
		e.RunMs = time.Since(j.startedAt).Milliseconds()
	}
	w.ended = append(w.ended, jobEnd{e, checkpoint})
	w.changed = true
	w.drop(j)
}

func (w *Worker) drop(j *workerJob) {
	delete(w.jobs, j.Token)
	w.dropped[j.Token] = true
}

// dropExpired drops jobs whose lease may have ended, because another worker may run
// them from then on.
func (w *Worker) dropExpired() {
	now := time.Now()
	for _, j := range w.jobs {
		if now.After(j.leaseUntil) {
			w.drop(j)
		}
	}
}

// load returns the resources that the running jobs use together.
func (w *Worker) load() model.Resources {
	var sum model.Resources
	for _, j := range w.jobs {
		if j.started {
			sum = sum.Add(j.usage())
		}
	}
	return sum
}

// run is one execution of a job on a worker.
type run struct {
	Worker     model.InstanceID
	Job        model.JobID
	Token      uint64
	Checkpoint string
	At         time.Time
}

// history records the executions on a worker, for the demo and tests.
type history struct {
	mu   sync.Mutex // a mutex is allowed here, because this is not control state
	runs []run
	peak model.Resources
}

func (h *history) start(j *workerJob, load model.Resources) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, run{Job: j.Job, Token: j.Token, Checkpoint: j.Checkpoint, At: j.startedAt})
	h.peak.MilliCPU, h.peak.MemoryMB = max(h.peak.MilliCPU, load.MilliCPU), max(h.peak.MemoryMB, load.MemoryMB)
}

// Executions returns the executions on the worker in the order of their starts.
func (w *Worker) Executions() []run {
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	out := slices.Clone(w.history.runs)
	for i := range out {
		out[i].Worker = w.Instance
	}
	return out
}

// Peak returns the highest use of processors and of memory by the running jobs
// together, each at its own time.
func (w *Worker) Peak() model.Resources {
	w.history.mu.Lock()
	defer w.history.mu.Unlock()
	return w.history.peak
}

func (r run) String() string { return fmt.Sprintf("%s on %s under token %d", r.Job, r.Worker, r.Token) }
