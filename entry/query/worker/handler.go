// Package worker serves the assignments of workers: a long poll over plain HTTP,
// answered from the state of a control replica.
package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/entry"
	"lacewingturn.example/node/event"
)

// MaxWait is how long a poll stays open if the assignments do not change. It is
// below the usual idle timeouts of load balancers; with 720 workers, shorter polls
// would add control traffic.
const MaxWait = 50 * time.Second

// maxPolls bounds the open polls. It leaves room for all of 720 workers polling the
// same entry instance.
const maxPolls = 2048

// Settings configures a Handler.
type Settings struct {
	Source  entry.Assignments
	Log     *zap.Logger
	Metrics prometheus.Registerer
	Tracer  trace.Tracer
}

// Handler serves the polls of workers.
type Handler struct {
	source    entry.Assignments
	log       *zap.Logger
	tracer    trace.Tracer
	results   *prometheus.CounterVec
	polls     prometheus.Gauge
	semaphore chan struct{} // holds one value for each open poll
	stopping  context.Context
	cancel    context.CancelFunc
}

// New returns a Handler and registers its metrics. It panics if they are already
// registered.
func New(s Settings) *Handler {
	h := &Handler{
		source: s.Source, log: s.Log, tracer: s.Tracer, semaphore: make(chan struct{}, maxPolls),
		results: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lacewingturn_worker_polls_total", Help: "Answers to polls of workers by result code."}, []string{"code"}),
		polls:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "lacewingturn_worker_polls", Help: "Open polls of workers."}),
	}
	h.stopping, h.cancel = context.WithCancel(context.Background())
	s.Metrics.MustRegister(h.results, h.polls)
	return h
}

// Register adds the route for polls, GET /workers/{instance}/assignments.
func (h *Handler) Register(r *mux.Router) {
	r.HandleFunc("/workers/{instance}/assignments", h.serve).Methods(http.MethodGet)
}

// Stop ends the open polls with the result Stopping, so that they do not delay a
// shutdown. Workers then poll another entry instance.
func (h *Handler) Stop() { h.cancel() }

// Response is the JSON body of the response to a poll.
type Response struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	Detail string      `json:"detail,omitempty"`
	// Index is the log index that the worker sends with its next poll.
	Index model.Index `json:"index"`
	// Changed is set if Assignments is the complete list as of Index. Otherwise
	// nothing has changed and the list is empty.
	Changed     bool         `json:"changed"`
	Assignments []Assignment `json:"assignments"`
}

// Assignment is one job that the worker has to run or act on.
type Assignment struct {
	Job          model.JobID `json:"job"`
	Token        uint64      `json:"token"` // fencing token, sent with every report on the job
	Class        string      `json:"class,omitempty"`
	MilliCPU     int64       `json:"milli_cpu"`
	MemoryMB     int64       `json:"memory_mb"`
	Accelerators int64       `json:"accelerators"`
	RunMs        int64       `json:"declared_run_ms,omitempty"`
	Checkpoint   string      `json:"checkpoint,omitempty"` // to resume from
	Action       string      `json:"asked"`                // run, checkpoint, throttle, stop or cancel
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.tracer.Start(ctx, "entry.worker-poll", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	worker := model.InstanceID(mux.Vars(r)["instance"])
	a := h.poll(ctx, worker, r.URL.Query().Get("index"))
	span.SetAttributes(attribute.Int("lacewingturn.result", int(a.Code)), attribute.String("lacewingturn.worker", string(worker)))
	h.results.WithLabelValues(strconv.Itoa(int(a.Code))).Inc()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.Code.Info().HTTP)
	_ = json.NewEncoder(w).Encode(a)
}

func (h *Handler) poll(ctx context.Context, worker model.InstanceID, index string) Response {
	since := uint64(0)
	if index != "" {
		var err error
		if since, err = strconv.ParseUint(index, 10, 64); err != nil {
			return refusal(0, result.New(result.InvalidInput, "index: %q is not a number", index))
		}
	}
	select {
	case h.semaphore <- struct{}{}:
		defer func() { <-h.semaphore }()
	default:
		return refusal(since, result.New(result.Overloaded, "%d polls are open, the limit", maxPolls))
	}
	h.polls.Inc()
	defer h.polls.Dec()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.stopping, cancel)()
	assigned, err := h.source.Assignments(ctx, worker, model.Index(since), MaxWait)
	switch {
	case h.stopping.Err() != nil:
		return refusal(since, result.New(result.Stopping, "this entry instance is shutting down"))
	case err != nil:
		if ctx.Err() == nil {
			event.AssignmentsUnavailable.Log(h.log, zap.String("worker", string(worker)), zap.Error(err))
		}
		return refusal(since, result.New(result.NoQuorum, "no control replica answered: %v", err))
	}
	return Response{Name: result.OK.String(), Index: assigned.Index, Changed: assigned.Changed, Assignments: toAssignments(assigned.Jobs)}
}

func refusal(index uint64, r result.Result) Response {
	return Response{Code: r.Code, Name: r.Code.String(), Detail: r.Detail, Index: model.Index(index), Assignments: []Assignment{}}
}

func toAssignments(jobs []query.Assignment) []Assignment {
	out := make([]Assignment, 0, len(jobs))
	for _, j := range jobs {
		out = append(out, Assignment{
			Job: j.Job, Token: j.Token, Class: j.Class, MilliCPU: j.Size.MilliCPU, MemoryMB: j.Size.MemoryMB, Accelerators: j.Size.Accelerators,
			RunMs: j.DeclaredRun.Milliseconds(), Checkpoint: j.Checkpoint, Action: j.Asked.String(),
		})
	}
	return out
}
