package instance

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	corequery "lacewingturn.example/core/query"
	"lacewingturn.example/core/query/ownership"
	"lacewingturn.example/core/table"
	"lacewingturn.example/entry/query"
	"lacewingturn.example/node/loop"
)

// Guards against requests that fail, and against more than 8 concurrent requests on
// a target, when the ownership of a service's only target moves to an entry instance
// that joins under load. Without a handover of the slots, requests would wait 2.6 s
// and miss their deadline of 2 s.
func TestHandoverToNewOwnerInterruptsNothing(t *testing.T) {
	t.Parallel()
	control := newControl(config(), instances(9)...)
	a := startEntry(t, control, "e1", nil)
	both := table.FromValues([]model.EntryMember{{ID: "e1"}, {ID: "e2"}}, func(e model.EntryMember) model.EntryID { return e.ID })
	id := ""
	for i := 1; id == ""; i++ {
		if m, _ := ownership.Owner(both, model.TargetID(fmt.Sprintf("t%d", i)), ""); m.ID == "e2" {
			id = fmt.Sprintf("t%d", i)
		}
	}
	w := newSlotTarget(t, func(*http.Request) { time.Sleep(5 * time.Millisecond) })
	a.join(t, id, w.server.Listener.Addr().String())
	w.sendHeartbeats(t, a, id)
	stopA := a.load(t, 12)
	a.waitUntil(t, func() bool { return w.startedBy("e1") > 100 })
	b := startEntry(t, control, "e2", nil)
	stopB := b.load(t, 12)
	b.waitUntil(t, func() bool { return w.startedBy("e2") > 100 })
	countA, countB := stopA(), stopB()
	assert.Equal(t, len(countA), 1, "%v", countA)
	assert.Equal(t, len(countB), 1, "%v", countB)
	most, _ := w.counts()
	assert.Equal(t, most, 8)
}

// Guards against a caller that waits, instead of being refused, while the mailbox of
// the control loop is full.
func TestFullMailboxIsOverload(t *testing.T) {
	control := newControl(config())
	i, err := New(Settings{
		ID: "e1", Control: control, Assignments: control, Loop: loop.New(1), Log: zap.NewNop(), Metrics: prometheus.NewRegistry(), Tracer: noop.NewTracerProvider().Tracer(""),
	})
	assert.NilError(t, err)
	assert.Assert(t, i.Port.TrySend("fills the mailbox"))
	c := config()
	i.Source.Publish(&query.View{
		Traffic: corequery.Traffic{Config: &c}, Services: map[model.ServiceName]model.Service{service: c.Services[0]}, Epoch: 1, Contact: time.Now(),
	})
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(method, "/services/orders/charge", nil)
		r.Header.Set("Idempotency-Key", keyAt(time.Now(), 1))
		i.Traffic.ServeHTTP(w, r)
		assert.Equal(t, w.Header().Get("Lacewingturn-Result"), "104", w.Body.String())
		assert.Equal(t, w.Header().Get("Lacewingturn-Outcome"), "not-run")
		assert.Equal(t, w.Header().Get("Retry-After"), "1")
	}
}
