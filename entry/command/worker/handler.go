// Package worker receives the reports of workers: plain HTTP with a JSON body. Each
// report becomes one command. An entry instance keeps no state of jobs, so a worker
// may resend a report to any entry instance.
package worker

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/entry"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/server"
)

const (
	// reportTimeout bounds the commit of a report. It is longer than a failover,
	// which takes 2 s.
	reportTimeout = 4 * time.Second
	// maxReports bounds the commits in progress and the size of a batch. 720 workers
	// that report to a single entry instance at the same time are 2.8 times as many;
	// the excess is refused and retried.
	maxReports = 256
	// retryAfter is the delay after which a worker resends a report that was not
	// committed.
	retryAfter = time.Second
)

// Settings configures a Handler.
type Settings struct {
	Control entry.Control
	Log     *zap.Logger
	Metrics prometheus.Registerer
	Tracer  trace.Tracer
}

// Handler serves the reports of workers.
type Handler struct {
	control   entry.Control
	log       *zap.Logger
	tracer    trace.Tracer
	results   *prometheus.CounterVec
	seconds   prometheus.Histogram
	fenced    prometheus.Counter
	semaphore chan struct{} // holds one value for each commit in progress

	renewals chan renewal
	stopping chan struct{}
	stopOnce sync.Once
}

// New returns a Handler and registers its metrics. It panics if they are already
// registered. Run must be running for the Handler to commit lease renewals.
func New(s Settings) *Handler {
	h := &Handler{
		control: s.Control, log: s.Log, tracer: s.Tracer, semaphore: make(chan struct{}, maxReports),
		renewals: make(chan renewal), stopping: make(chan struct{}),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lacewingturn_worker_reports_total", Help: "Reports of workers by result code."}, []string{"code"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lacewingturn_worker_report_seconds", Help: "Time to commit a report.", Buckets: prometheus.ExponentialBuckets(0.001, 4, 7),
		}),
		fenced: prometheus.NewCounter(prometheus.CounterOpts{Name: "lacewingturn_worker_fenced_total", Help: "Jobs that workers were told to stop because their token is not valid."}),
	}
	s.Metrics.MustRegister(h.results, h.seconds, h.fenced)
	return h
}

// Register adds the route for reports, POST /workers/{instance}/reports.
func (h *Handler) Register(r *mux.Router) {
	r.HandleFunc("/workers/{instance}/reports", h.serve).Methods(http.MethodPost)
}

// Response is the JSON body of the response to a report.
type Response struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Detail string      `json:"detail,omitempty"`
	// LeaseMs is how long the leases of the reported jobs last, counted from when
	// the report was sent; 0 if it was not committed.
	LeaseMs int64 `json:"lease_ms"`
	// NextReportMs is the delay until the next report if nothing changes before, or
	// until the worker resends a report that was not committed.
	NextReportMs int64 `json:"next_report_ms"`
	// UsageShare is the reciprocal of the relative change of usage from which a job
	// is reported again: 8 means a change by an eighth.
	UsageShare int         `json:"usage_share"`
	Jobs       []JobResult `json:"jobs"`
}

// JobResult is the result for one job. Action is the action requested from the
// worker: checkpoint, throttle, stop or cancel, or empty if there is none.
type JobResult struct {
	Job    model.JobID `json:"job"`
	Token  uint64      `json:"token"`
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Action string      `json:"asked,omitempty"`
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.tracer.Start(ctx, "entry.worker-report", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	worker := model.InstanceID(mux.Vars(r)["instance"])
	report, err := Decode(r.Body)
	var res result.Result
	switch {
	case errors.Is(err, server.ErrOverBudget):
		res = result.New(result.Overloaded, "%v", err)
	case err != nil:
		res = result.New(result.InvalidInput, "%v", err)
	case report.isRenewal():
		res = h.commitBatched(ctx, report.command(worker))
	default:
		res = h.commit(ctx, report.command(worker))
	}
	span.SetAttributes(attribute.Int("lacewingturn.result", int(res.Code)), attribute.String("lacewingturn.worker", string(worker)))
	h.results.WithLabelValues(strconv.Itoa(int(res.Code))).Inc()
	a := h.answer(worker, report, res)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(res.Code.Info().HTTP)
	_ = json.NewEncoder(w).Encode(a)
}

// commit proposes the report. It continues if the worker disconnects, so that a
// resent report finds the first one applied.
func (h *Handler) commit(ctx context.Context, c model.ReportWork) result.Result {
	select {
	case h.semaphore <- struct{}{}:
		defer func() { <-h.semaphore }()
	default:
		return result.New(result.Overloaded, "%d reports are in progress, the limit", maxReports)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	begin := time.Now()
	results, err := h.control.Propose(ctx, []model.Envelope{{Command: c}})
	h.seconds.Observe(time.Since(begin).Seconds())
	if err != nil || len(results) != 1 {
		return result.New(result.Unknown, "the answer to the report was lost")
	}
	return results[0]
}

// answer builds the response from the result of the commit. It logs reports that
// were not committed and jobs whose fencing token is stale.
func (h *Handler) answer(worker model.InstanceID, report Report, r result.Result) Response {
	a := Response{
		Code: r.Code, Name: r.Code.String(), Detail: r.Detail, NextReportMs: retryAfter.Milliseconds(), UsageShare: job.UsageChangeDivisor, Jobs: []JobResult{},
	}
	if r.Work == nil {
		event.WorkReportNotCommitted.Log(h.log, zap.String("worker", string(worker)), zap.String("result", r.Error()))
		return a
	}
	a.LeaseMs, a.NextReportMs = int64(r.Work.LeaseMs), int64(r.Work.NextMs)
	jobs := report.jobsByToken()
	for _, j := range r.Work.Jobs {
		a.Jobs = append(a.Jobs, JobResult{Job: jobs[j.Token], Token: j.Token, Code: j.Code, Name: j.Code.String(), Action: j.Asked})
		if j.Code == result.StaleToken {
			h.fenced.Inc()
			event.WorkerToldToStop.Log(h.log, zap.String("worker", string(worker)), zap.String("job", string(jobs[j.Token])), zap.Uint64("token", j.Token))
		}
	}
	return a
}
