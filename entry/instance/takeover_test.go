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
	"lacewingturn.example/entry/query"
	"lacewingturn.example/node/loop"
)

// Guards against requests that fail, and against more than 8 on a target, while
// targets get another owner because an entry instance joins under load.
func TestHandoverToNewOwnerInterruptsNothing(t *testing.T) {
	t.Parallel()
	control := newControl(config(), machines(6)...)
	a := startEntry(t, control, "e1", nil)
	var workers []*worker
	for i := 1; i <= 6; i++ {
		w := newWorker(t, func(*http.Request) { time.Sleep(5 * time.Millisecond) })
		id := fmt.Sprintf("t%d", i)
		a.join(t, id, w.server.Listener.Addr().String())
		w.beatTo(t, a, id)
		workers = append(workers, w)
	}
	stopA := a.load(t, 12)
	time.Sleep(300 * time.Millisecond)
	b := startEntry(t, control, "e2", nil)
	moved := 0
	for i := 1; i <= 6; i++ {
		if m, _ := ownership.Of(b.Source.View().Traffic.Entries, model.TargetID(fmt.Sprintf("t%d", i)), ""); m.ID == "e2" {
			moved++
		}
	}
	assert.Assert(t, moved > 0, "no target moved")
	stopB := b.load(t, 12)
	// Within the wait for the lease of an owner that does not hand over.
	time.Sleep(time.Second)
	granted := 0
	b.until(t, func() bool {
		granted = 0
		for _, target := range b.Source.View().Targets {
			granted += target.Granted
		}
		return granted > 0
	})
	countA, countB := stopA(), stopB()
	assert.Equal(t, len(countA), 1, "%v", countA)
	assert.Equal(t, len(countB), 1, "%v", countB)
	assert.Assert(t, countB["0"] > 50, "%v", countB)
	for _, w := range workers {
		most, _ := w.figures()
		assert.Assert(t, most <= 8)
	}
}

// Guards against a caller that waits for a control loop that does not keep up.
func TestFullMailboxIsOverload(t *testing.T) {
	i, err := New(Settings{
		ID: "e1", Control: newControl(config()), Loop: loop.New(1), Log: zap.NewNop(), Metrics: prometheus.NewRegistry(), Tracer: noop.NewTracerProvider().Tracer(""),
	})
	assert.NilError(t, err)
	assert.Assert(t, i.Port.TrySend("occupies the only place"))
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
