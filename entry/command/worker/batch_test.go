package worker

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// echo returns the first token of each command as its result, and records the
// number of commands in each call.
type echo struct{ calls []int }

func (e *echo) Propose(_ context.Context, commands []model.Envelope) ([]result.Result, error) {
	e.calls = append(e.calls, len(commands))
	var out []result.Result
	for _, c := range commands {
		out = append(out, result.Result{Revision: c.Command.(model.ReportWork).Held[0]})
	}
	return out, nil
}

// Guards against faults in the batching of reports that only renew leases: a
// proposal for each report, the result of another worker, a lost report, or a
// shutdown that waits for the batch delay.
func TestLeaseRenewalsAreCommittedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		control := &echo{}
		h := New(Settings{Control: control, Log: zap.NewNop(), Metrics: prometheus.NewRegistry(), Tracer: noop.NewTracerProvider().Tracer("")})
		ctx, cancel := context.WithCancel(t.Context())
		go h.Run(ctx)
		send := func(n uint64) <-chan result.Result {
			out := make(chan result.Result, 1)
			go func() { out <- h.commitBatched(t.Context(), model.ReportWork{Held: []uint64{n}}) }()
			synctest.Wait()
			return out
		}
		begin := time.Now()
		a := send(1)
		time.Sleep(renewalBatchDelay / 2)
		b := send(2)
		assert.Equal(t, (<-a).Revision, uint64(1))
		assert.Equal(t, (<-b).Revision, uint64(2))
		assert.Equal(t, time.Since(begin), renewalBatchDelay)
		assert.DeepEqual(t, control.calls, []int{2})
		a = send(3)
		h.Stop()
		assert.Equal(t, (<-a).Revision, uint64(3))
		assert.Equal(t, (<-send(4)).Revision, uint64(4))
		assert.Equal(t, time.Since(begin), renewalBatchDelay)
		cancel()
		synctest.Wait()
	})
}
