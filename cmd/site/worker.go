package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
	workercommand "lacewingturn.example/entry/command/worker"
	workerquery "lacewingturn.example/entry/query/worker"
	"lacewingturn.example/node/wait"
)

// Job classes that change how a stand-in worker runs a job.
const (
	ClassFails = "fails" // the job fails at its end
	ClassSlow  = "slow"  // the job takes slowFactor times its declared run time
)

const (
	slowFactor = 4
	// retryInterval is the delay after a poll or a report that got no valid answer.
	retryInterval = 200 * time.Millisecond
	// pollTimeout is longer than an entry instance holds a poll, or a report that
	// only renews leases, before it answers.
	pollTimeout = 60 * time.Second
)

// Worker simulates a worker. It runs each job for its declared run time once the
// start is confirmed, carries out requests to cancel, stop, checkpoint or
// throttle a job, and drops jobs whose lease has ended. Only the goroutine of run
// accesses its job state.
type Worker struct {
	Instance model.InstanceID
	// Entries returns the base URLs of the entry instances. Requests go to them in
	// turn, as through a load balancer.
	Entries func() []string

	client *http.Client
	next   atomic.Int64 // counts requests, to choose the entry instance in turn
	cancel context.CancelFunc
	done   sync.WaitGroup

	polls   chan workerquery.Response
	replies chan reportReply
	timers  chan uint64 // tokens of jobs whose run time may be over

	jobs            map[uint64]*workerJob // by token
	ended           []jobEnd              // not confirmed yet
	dropped         map[uint64]bool       // tokens of jobs that no longer run here
	updateInFlight  bool                  // a report with changes is not answered yet
	renewalInFlight bool                  // a report that only renews leases is not answered yet; it may take long
	changed         bool                  // there are changes that have not been reported
	reportDue       bool
	history         history
}

// reportReply is the reply to a report. answer is valid only if ok is true.
type reportReply struct {
	report  workercommand.Report
	renewal bool // the report only renewed leases
	sent    time.Time
	answer  workercommand.Response
	ok      bool
}

// Start polls for assignments and sends reports in the background until Stop, even after
// ctx has ended.
func (w *Worker) Start(ctx context.Context) {
	ctx, w.cancel = context.WithCancel(context.WithoutCancel(ctx))
	w.client = &http.Client{Timeout: pollTimeout}
	w.polls, w.replies, w.timers = make(chan workerquery.Response), make(chan reportReply), make(chan uint64)
	w.jobs, w.dropped = map[uint64]*workerJob{}, map[uint64]bool{}
	w.done.Go(func() { w.pollAssignments(ctx) })
	w.done.Go(func() { w.run(ctx) })
}

// Stop ends the worker without a final report, as a power failure does.
func (w *Worker) Stop() {
	w.cancel()
	w.done.Wait()
	w.client.CloseIdleConnections()
}

// run is the event loop that owns the state of the worker.
func (w *Worker) run(ctx context.Context) {
	reportTimer := time.NewTimer(retryInterval)
	defer reportTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-w.polls:
			w.applyAssignments(ctx, a.Assignments)
		case token := <-w.timers:
			w.complete(token)
		case a := <-w.replies:
			if a.renewal {
				w.renewalInFlight = false
			} else {
				w.updateInFlight = false
			}
			reportTimer.Reset(w.applyReply(ctx, a))
		case <-reportTimer.C:
			w.reportDue = true
		}
		w.dropExpired()
		w.sendReport(ctx)
	}
}

// sendReport sends a report if something changed or a report is due. A report
// that only renews leases does not delay a report with changes.
func (w *Worker) sendReport(ctx context.Context) {
	if (!w.changed && !w.reportDue) || w.updateInFlight {
		return
	}
	r := w.report()
	renewal := len(r.Started)+len(r.Usage)+len(r.Ended) == 0
	w.changed, w.reportDue = false, false
	if renewal && (w.renewalInFlight || len(r.Held) == 0) {
		return
	}
	if renewal {
		w.renewalInFlight = true
	} else {
		w.updateInFlight = true
	}
	w.done.Go(func() { w.postReport(ctx, r, renewal) })
}

// pollAssignments polls the entry instances in turn for assignments.
func (w *Worker) pollAssignments(ctx context.Context) {
	index := model.Index(0)
	for ctx.Err() == nil {
		var a workerquery.Response
		if !w.exchange(ctx, http.MethodGet, fmt.Sprintf("assignments?index=%d", index), nil, &a) || !a.Code.OK() {
			_ = wait.Sleep(ctx, retryInterval)
			continue
		}
		index = a.Index
		if !a.Changed {
			continue
		}
		select {
		case w.polls <- a:
		case <-ctx.Done():
		}
	}
}

// postReport posts a report and passes the reply to run.
func (w *Worker) postReport(ctx context.Context, r workercommand.Report, renewal bool) {
	a := reportReply{report: r, renewal: renewal, sent: time.Now()}
	if body, err := json.Marshal(r); err == nil {
		a.ok = w.exchange(ctx, http.MethodPost, "reports", body, &a.answer) && a.answer.Code.OK()
	}
	select {
	case w.replies <- a:
	case <-ctx.Done():
	}
}

// exchange sends one request to the next entry instance in turn and decodes the
// answer into out. It reports whether there was an answer that could be decoded.
func (w *Worker) exchange(ctx context.Context, method, path string, body []byte, out any) bool {
	entries := w.Entries()
	base := entries[int(w.next.Add(1))%len(entries)]
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("%s/workers/%s/%s", base, w.Instance, path), bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out) == nil
}

// report returns the next report. Jobs without changes are listed as held, which
// renews their leases.
func (w *Worker) report() workercommand.Report {
	var r workercommand.Report
	now := time.Now()
	for _, j := range w.jobs {
		ref := workercommand.Job{Job: j.Job, Token: j.Token}
		switch {
		case !j.started:
			r.Started = append(r.Started, ref)
		case job.UsageChanged(j.reportedUsage, j.usage()) || j.checkpointed(now)-j.reportedCheckpoint >= checkpointReportStep:
			r.Usage = append(r.Usage, workercommand.Usage{Job: ref, Amounts: workercommand.Amounts(j.usage()), Checkpoint: checkpointName(j.checkpointed(now))})
		default:
			r.Held = append(r.Held, ref)
		}
	}
	for _, e := range w.ended {
		r.Ended = append(r.Ended, e.End)
		if e.checkpoint != "" {
			r.Usage = append(r.Usage, workercommand.Usage{Job: e.Job, Amounts: e.Amounts, Checkpoint: e.checkpoint})
		}
	}
	return r
}

// applyReply updates the jobs from the reply to a report and returns the delay
// until the next report.
func (w *Worker) applyReply(ctx context.Context, a reportReply) time.Duration {
	if !a.ok {
		return retryInterval
	}
	w.ended = w.ended[len(a.report.Ended):]
	for _, u := range a.report.Usage {
		if j := w.jobs[u.Token]; j != nil {
			j.reportedUsage = model.Resources(u.Amounts)
			if ms, err := strconv.ParseInt(u.Checkpoint, 10, 64); err == nil {
				j.reportedCheckpoint = time.Duration(ms) * time.Millisecond
			}
		}
	}
	until := a.sent.Add(time.Duration(a.answer.LeaseMs) * time.Millisecond)
	for _, ref := range renewed(a.report) {
		if j := w.jobs[ref.Token]; j != nil {
			j.leaseUntil = until
		}
	}
	for _, answer := range a.answer.Jobs {
		j := w.jobs[answer.Token]
		switch {
		case j == nil:
		case !answer.Code.OK():
			w.drop(j)
		default:
			w.confirmStart(ctx, j)
			w.applyRequest(ctx, j, answer.Action)
		}
	}
	return time.Duration(a.answer.NextReportMs) * time.Millisecond
}
