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

// Behavior sets how the stub differs from a quick and faultless platform.
type Behavior struct {
	Duration  time.Duration // from the begin to the end of an operation
	Late      time.Duration // from the effect of a PUT to its answer
	Duplicate bool          // every PUT is delivered twice, as by a proxy that retries
	Silent    bool          // answers 503 to everything
	// Fail is the reason with which operations fail that are begun from now on;
	// empty if they succeed.
	Fail string
}

// Stub stands in for the platform. One goroutine owns its state.
type Stub struct {
	loop       *loop.Loop
	port       loop.Port
	behavior   Behavior
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

// NewStub returns a stub that knows the instances. restart is called on a
// goroutine of its own for each reboot that takes effect; it may be nil.
func NewStub(ids []model.InstanceID, b Behavior, restart func(model.InstanceID)) *Stub {
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

// Run serves until ctx ends.
func (s *Stub) Run(ctx context.Context) { s.loop.Run(ctx) }

// SetBehavior changes the behavior from the next request on.
func (s *Stub) SetBehavior(ctx context.Context, b Behavior) error { return s.port.Send(ctx, b) }

// SetDown takes an instance down or up without a plan.
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
		reply chan answer
	}
	getOperation struct {
		id    model.OperationID
		reply chan answer
	}
	getInstance struct {
		id    model.InstanceID
		reply chan answer
	}
)

type answer struct {
	status int
	body   any
	late   time.Duration
}

// Handle implements loop.Machine.
func (s *Stub) Handle(now time.Time, m loop.Message) {
	switch m := m.(type) {
	case Behavior:
		s.behavior = m
	case setDown:
		i := s.instances[m.id]
		i.down = m.down
		s.instances[m.id] = i
	case putOperation:
		a := s.begin(now, m.op)
		if s.behavior.Duplicate {
			a = s.begin(now, m.op)
		}
		m.reply <- s.unlessSilent(a)
	case getOperation:
		m.reply <- s.unlessSilent(s.operation(now, m.id))
	case getInstance:
		m.reply <- s.unlessSilent(s.instance(now, m.id))
	}
}

// Tick implements loop.Machine; the stub has no deadlines.
func (s *Stub) Tick(time.Time) {}

// Deadline implements loop.Machine.
func (s *Stub) Deadline() time.Time { return time.Time{} }

// Flush implements loop.Machine.
func (s *Stub) Flush(time.Time) {}

func (s *Stub) unlessSilent(a answer) answer {
	if s.behavior.Silent {
		return answer{status: http.StatusServiceUnavailable}
	}
	return a
}

// begin starts the operation unless its ID has been seen before.
func (s *Stub) begin(now time.Time, op Operation) answer {
	if s.behavior.Silent {
		return answer{}
	}
	if old, seen := s.operations[op.ID]; seen {
		if old.Instance != op.Instance || old.Kind != op.Kind {
			return answer{status: http.StatusConflict}
		}
		return answer{status: http.StatusOK, body: old.at(now), late: s.behavior.Late}
	}
	i, known := s.instances[op.Instance]
	if !known {
		return answer{status: http.StatusUnprocessableEntity}
	}
	op.Reason = s.behavior.Fail
	s.operations[op.ID] = operation{Operation: op, endsAt: now.Add(s.behavior.Duration)}
	if op.Kind == KindReboot && op.Reason == "" {
		i.boots++
		i.upAt = now.Add(s.behavior.Duration)
		s.instances[op.Instance] = i
		if s.restart != nil {
			go s.restart(op.Instance)
		}
	}
	return answer{status: http.StatusAccepted, body: s.operations[op.ID].at(now), late: s.behavior.Late}
}

func (o operation) at(now time.Time) Operation {
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

func (s *Stub) operation(now time.Time, id model.OperationID) answer {
	op, ok := s.operations[id]
	if !ok {
		return answer{status: http.StatusNotFound}
	}
	return answer{status: http.StatusOK, body: op.at(now)}
}

func (s *Stub) instance(now time.Time, id model.InstanceID) answer {
	i, ok := s.instances[id]
	if !ok {
		return answer{status: http.StatusNotFound}
	}
	return answer{status: http.StatusOK, body: Instance{ID: id, Up: !i.down && !now.Before(i.upAt), Boots: i.boots}}
}

// Handler returns the HTTP side of the stub.
func (s *Stub) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/operations/{id}", s.servePut).Methods(http.MethodPut)
	r.HandleFunc("/operations/{id}", func(w http.ResponseWriter, r *http.Request) {
		reply := make(chan answer, 1)
		s.ask(w, r, getOperation{model.OperationID(mux.Vars(r)["id"]), reply}, reply)
	}).Methods(http.MethodGet)
	r.HandleFunc("/instances/{id}", func(w http.ResponseWriter, r *http.Request) {
		reply := make(chan answer, 1)
		s.ask(w, r, getInstance{model.InstanceID(mux.Vars(r)["id"]), reply}, reply)
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
	reply := make(chan answer, 1)
	s.ask(w, r, putOperation{op, reply}, reply)
}

func (s *Stub) ask(w http.ResponseWriter, r *http.Request, m loop.Message, reply <-chan answer) {
	if err := s.port.Send(r.Context(), m); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	select {
	case a := <-reply:
		if wait.For(r.Context(), a.late) != nil {
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
