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

// Classes of jobs that a stand-in worker treats in a special way.
const (
	ClassFails = "fails" // the job fails at its end
	ClassSlow  = "slow"  // the job takes slowFactor times its declared run time
)

const (
	slowFactor = 4
	// retryEvery is the wait after a poll or a report that got no answer.
	retryEvery = 200 * time.Millisecond
	// pollTimeout is longer than a poll or a report without news.
	pollTimeout = 60 * time.Second
)

// Worker is a stand-in for a worker. It runs each job for its declared run time
// once its start has been confirmed, obeys what it is asked, and drops jobs
// whose lease it lost. Its state belongs to the goroutine that run occupies.
type Worker struct {
	Instance model.InstanceID
	// Entries gives the base URLs to talk to, as a balancer would.
	Entries func() []string

	client *http.Client
	turn   atomic.Int64
	cancel context.CancelFunc
	done   sync.WaitGroup

	polled   chan workerquery.Response
	answered chan answered
	timers   chan uint64 // tokens of jobs whose run time may be over

	tasks     map[uint64]*task // by token
	ended     []ending
	dropped   map[uint64]bool // tokens that have ended here
	reporting bool            // a report with news is on its way
	quiet     bool            // one without news is on its way; it may take long
	news      bool
	due       bool
	history   history
}

// answered is the answer to a report, or none.
type answered struct {
	report workercommand.Report
	quiet  bool
	sent   time.Time
	answer workercommand.Response
	ok     bool
}

// Start polls and reports until Stop.
func (w *Worker) Start(ctx context.Context) {
	ctx, w.cancel = context.WithCancel(context.WithoutCancel(ctx))
	w.client = &http.Client{Timeout: pollTimeout}
	w.polled, w.answered, w.timers = make(chan workerquery.Response), make(chan answered), make(chan uint64)
	w.tasks, w.dropped = map[uint64]*task{}, map[uint64]bool{}
	w.done.Go(func() { w.pollAll(ctx) })
	w.done.Go(func() { w.run(ctx) })
}

// Stop ends the worker without a word, as a loss of power would.
func (w *Worker) Stop() {
	w.cancel()
	w.done.Wait()
	w.client.CloseIdleConnections()
}

// run owns the state of the worker.
func (w *Worker) run(ctx context.Context) {
	next := time.NewTimer(retryEvery)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-w.polled:
			w.assign(ctx, a.Assignments)
		case token := <-w.timers:
			w.finish(token)
		case a := <-w.answered:
			if a.quiet {
				w.quiet = false
			} else {
				w.reporting = false
			}
			next.Reset(w.settle(ctx, a))
		case <-next.C:
			w.due = true
		}
		w.dropExpired()
		w.tell(ctx)
	}
}

// tell sends a report if there is news or one is due. Those without news do
// not hold up the others.
func (w *Worker) tell(ctx context.Context) {
	if (!w.news && !w.due) || w.reporting {
		return
	}
	r := w.report()
	quiet := len(r.Started)+len(r.Usage)+len(r.Ended) == 0
	w.news, w.due = false, false
	if quiet && (w.quiet || len(r.Held) == 0) {
		return
	}
	if quiet {
		w.quiet = true
	} else {
		w.reporting = true
	}
	w.done.Go(func() { w.send(ctx, r, quiet) })
}

// pollAll asks one entry instance after the other for assignments.
func (w *Worker) pollAll(ctx context.Context) {
	index := model.Index(0)
	for ctx.Err() == nil {
		var a workerquery.Response
		if !w.exchange(ctx, http.MethodGet, fmt.Sprintf("assignments?index=%d", index), nil, &a) || !a.Code.OK() {
			_ = wait.For(ctx, retryEvery)
			continue
		}
		index = a.Index
		if !a.Changed {
			continue
		}
		select {
		case w.polled <- a:
		case <-ctx.Done():
		}
	}
}

// send posts a report and hands its answer to run.
func (w *Worker) send(ctx context.Context, r workercommand.Report, quiet bool) {
	a := answered{report: r, quiet: quiet, sent: time.Now()}
	if body, err := json.Marshal(r); err == nil {
		a.ok = w.exchange(ctx, http.MethodPost, "reports", body, &a.answer) && a.answer.Code.OK()
	}
	select {
	case w.answered <- a:
	case <-ctx.Done():
	}
}

// exchange sends one request to the next entry instance in turn.
func (w *Worker) exchange(ctx context.Context, method, what string, body []byte, out any) bool {
	entries := w.Entries()
	base := entries[int(w.turn.Add(1))%len(entries)]
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("%s/workers/%s/%s", base, w.Instance, what), bytes.NewReader(body))
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

// report lists what there is to say. Jobs without news are only named.
func (w *Worker) report() workercommand.Report {
	var r workercommand.Report
	now := time.Now()
	for _, t := range w.tasks {
		name := workercommand.Job{Job: t.Job, Token: t.Token}
		switch {
		case !t.started:
			r.Started = append(r.Started, name)
		case job.UsageChanged(t.reported, t.usage()) || t.saves(now)-t.saved >= checkpointNews:
			r.Usage = append(r.Usage, workercommand.Usage{Job: name, Amounts: workercommand.Amounts(t.usage()), Checkpoint: checkpointName(t.saves(now))})
		default:
			r.Held = append(r.Held, name)
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

// settle notes what was reported and returns when to report again.
func (w *Worker) settle(ctx context.Context, a answered) time.Duration {
	if !a.ok {
		return retryEvery
	}
	w.ended = w.ended[len(a.report.Ended):]
	for _, u := range a.report.Usage {
		if t := w.tasks[u.Token]; t != nil {
			t.reported = model.Resources(u.Amounts)
			if ms, err := strconv.ParseInt(u.Checkpoint, 10, 64); err == nil {
				t.saved = time.Duration(ms) * time.Millisecond
			}
		}
	}
	until := a.sent.Add(time.Duration(a.answer.LeaseMs) * time.Millisecond)
	for _, j := range named(a.report) {
		if t := w.tasks[j.Token]; t != nil {
			t.leaseUntil = until
		}
	}
	for _, j := range a.answer.Jobs {
		t := w.tasks[j.Token]
		switch {
		case t == nil:
		case !j.Code.OK():
			w.drop(t)
		default:
			w.begin(ctx, t)
			w.ask(ctx, t, j.Action)
		}
	}
	return time.Duration(a.answer.NextReportMs) * time.Millisecond
}
