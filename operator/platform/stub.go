package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/node/wait"
)

// StubBehavior configures delays and faults of the stub. The zero value answers at once
// and without faults.
type StubBehavior struct {
	OperationDuration time.Duration // from the start to the end of an operation
	ResponseDelay     time.Duration // from the effect of a PUT to its response
	Duplicate         bool          // every PUT is delivered twice, as by a proxy that retries
	Unavailable       bool          // responds 503 to every request, without effect
	// FailReason is the reason with which operations started from now on fail; empty if they
	// succeed.
	FailReason string
}

// Stub is an in-memory platform for tests and demos. One goroutine owns its state.
type Stub struct {
	loop       *loop.Loop
	port       loop.Port
	behavior   StubBehavior
	operations map[model.OperationID]operation
	instances  map[model.InstanceID]instance
	restart    func(model.InstanceID)
}

type operation struct {
	Operation
	endsAt time.Time
}

type instance struct {
	boots int
	down  bool
	upAt  time.Time
}

// NewStub returns a stub of a platform with the given instances, all of them up.
// For each reboot that takes effect, restart is called on its own goroutine; it may
// be nil.
func NewStub(ids []model.InstanceID, b StubBehavior, restart func(model.InstanceID)) *Stub {
	s := &Stub{
		loop: loop.New(loop.DefaultCapacity), behavior: b, restart: restart,
		operations: map[model.OperationID]operation{}, instances: map[model.InstanceID]instance{},
	}
	for _, id := range ids {
		s.instances[id] = instance{}
	}
	s.port = s.loop.Add(s)
	return s
}

// Run handles requests until ctx ends. Without it, Handler does not respond.
func (s *Stub) Run(ctx context.Context) { s.loop.Run(ctx) }

// SetBehavior changes the behavior from the next request on. It fails if ctx ends
// before the stub accepts the change.
func (s *Stub) SetBehavior(ctx context.Context, b StubBehavior) error { return s.port.Send(ctx, b) }

// SetDown simulates the unplanned failure or recovery of an instance. It fails if
// ctx ends before the stub accepts the change.
func (s *Stub) SetDown(ctx context.Context, id model.InstanceID, down bool) error {
	return s.port.Send(ctx, setDown{id, down})
}

type setDown struct {
	id   model.InstanceID
	down bool
}

type (
	putOperation struct {
		op    Operation
		reply chan response
	}
	getOperation struct {
		id    model.OperationID
		reply chan response
	}
	getInstance struct {
		id    model.InstanceID
		reply chan response
	}
)

type response struct {
	status int
	body   any
	delay  time.Duration
}

// Handle implements loop.StateMachine.
func (s *Stub) Handle(now time.Time, m loop.Message) {
	switch m := m.(type) {
	case StubBehavior:
		s.behavior = m
	case setDown:
		i := s.instances[m.id]
		i.down = m.down
		s.instances[m.id] = i
	case putOperation:
		a := s.start(now, m.op)
		if s.behavior.Duplicate {
			a = s.start(now, m.op)
		}
		m.reply <- s.orUnavailable(a)
	case getOperation:
		m.reply <- s.orUnavailable(s.operation(now, m.id))
	case getInstance:
		m.reply <- s.orUnavailable(s.instance(now, m.id))
	}
}

// Tick implements loop.StateMachine. It does nothing, because the stub has no deadlines.
func (s *Stub) Tick(time.Time) {}

// Deadline implements loop.StateMachine. The stub has no deadlines.
func (s *Stub) Deadline() time.Time { return time.Time{} }

// Flush implements loop.StateMachine. It does nothing, because the stub buffers nothing.
func (s *Stub) Flush(time.Time) {}

func (s *Stub) orUnavailable(a response) response {
	if s.behavior.Unavailable {
		return response{status: http.StatusServiceUnavailable}
	}
	return a
}

// start starts the operation unless its ID is already known.
func (s *Stub) start(now time.Time, op Operation) response {
	if s.behavior.Unavailable {
		return response{}
	}
	if old, seen := s.operations[op.ID]; seen {
		if old.Instance != op.Instance || old.Kind != op.Kind {
			return response{status: http.StatusConflict}
		}
		return response{status: http.StatusOK, body: old.statusAt(now), delay: s.behavior.ResponseDelay}
	}
	i, known := s.instances[op.Instance]
	if !known {
		return response{status: http.StatusUnprocessableEntity}
	}
	op.Reason = s.behavior.FailReason
	s.operations[op.ID] = operation{Operation: op, endsAt: now.Add(s.behavior.OperationDuration)}
	if op.Kind == KindReboot && op.Reason == "" {
		i.boots++
		i.upAt = now.Add(s.behavior.OperationDuration)
		s.instances[op.Instance] = i
		if s.restart != nil {
			go s.restart(op.Instance)
		}
	}
	return response{status: http.StatusAccepted, body: s.operations[op.ID].statusAt(now), delay: s.behavior.ResponseDelay}
}

func (o operation) statusAt(now time.Time) Operation {
	op := o.Operation
	switch {
	case now.Before(o.endsAt):
		op.State, op.Reason = StateRunning, ""
	case op.Reason != "":
		op.State = StateFailed
	default:
		op.State = StateSucceeded
	}
	return op
}

func (s *Stub) operation(now time.Time, id model.OperationID) response {
	op, ok := s.operations[id]
	if !ok {
		return response{status: http.StatusNotFound}
	}
	return response{status: http.StatusOK, body: op.statusAt(now)}
}

func (s *Stub) instance(now time.Time, id model.InstanceID) response {
	i, ok := s.instances[id]
	if !ok {
		return response{status: http.StatusNotFound}
	}
	return response{status: http.StatusOK, body: Instance{ID: id, Up: !i.down && !now.Before(i.upAt), Boots: i.boots}}
}

// Handler returns the HTTP interface of the stub.
func (s *Stub) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/operations/{id}", s.servePut).Methods(http.MethodPut)
	r.HandleFunc("/operations/{id}", func(w http.ResponseWriter, r *http.Request) {
		reply := make(chan response, 1)
		s.respond(w, r, getOperation{model.OperationID(mux.Vars(r)["id"]), reply}, reply)
	}).Methods(http.MethodGet)
	r.HandleFunc("/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		reply := make(chan response, 1)
		s.respond(w, r, getInstance{model.InstanceID(mux.Vars(r)["id"]), reply}, reply)
	}).Methods(http.MethodGet)
	return r
}

func (s *Stub) servePut(w http.ResponseWriter, r *http.Request) {
	var op Operation
	if err := json.NewDecoder(io.LimitReader(r.Body, MaxBody)).Decode(&op); err != nil || (op.Kind != KindDrain && op.Kind != KindReboot) {
		http.Error(w, "an operation needs an instance and the kind drain or reboot", http.StatusBadRequest)
		return
	}
	op.ID, op.State, op.Reason = model.OperationID(mux.Vars(r)["id"]), "", ""
	reply := make(chan response, 1)
	s.respond(w, r, putOperation{op, reply}, reply)
}

func (s *Stub) respond(w http.ResponseWriter, r *http.Request, m loop.Message, reply <-chan response) {
	if err := s.port.Send(r.Context(), m); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	select {
	case a := <-reply:
		if wait.Sleep(r.Context(), a.delay) != nil {
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		if a.body != nil {
			_ = json.NewEncoder(w).Encode(a.body)
		}
	case <-r.Context().Done():
	}
}
