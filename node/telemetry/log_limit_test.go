package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// Guards against a log rate that grows with the load, and against dropped lines that
// are not counted.
func TestLinesPerSecondAreLimited(t *testing.T) {
	b := NewLogLimiter(&bytes.Buffer{}, prometheus.NewRegistry())
	now := time.Unix(1000, 0)
	admitted := map[string]int{}
	total := 0
	for i := range 1000 {
		subject := fmt.Sprint(i % 50)
		if b.admit(now, zapcore.InfoLevel, subject) {
			admitted[subject]++
			total++
		}
	}
	assert.Assert(t, total <= maxLinesPerSecond && total > sampleThreshold, "%d", total)
	assert.Equal(t, testutil.ToFloat64(b.dropped), float64(1000-total))
	assert.Assert(t, b.admit(now.Add(time.Second), zapcore.InfoLevel, "0"))
}

// Guards against warnings that are dropped by sampling, which is meant for lines of
// lower levels only.
func TestWarningsAreNotSampled(t *testing.T) {
	b := NewLogLimiter(&bytes.Buffer{}, prometheus.NewRegistry())
	now := time.Unix(1000, 0)
	for range sampleThreshold {
		b.admit(now, zapcore.InfoLevel, "x")
	}
	for range maxLinesPerSecond - sampleThreshold {
		assert.Assert(t, b.admit(now, zapcore.WarnLevel, "y"))
	}
}

// blockingWriter blocks in Write until it is released.
type blockingWriter struct{ release sync.WaitGroup }

func (b *blockingWriter) Write(p []byte) (int, error) {
	b.release.Wait()
	return len(p), nil
}

// Guards against log calls that block while the output is busy: they would stop the
// control loop.
func TestBusyOutputDoesNotBlock(t *testing.T) {
	out := &blockingWriter{}
	out.release.Add(1)
	defer out.release.Done()
	b := NewLogLimiter(out, prometheus.NewRegistry())
	for range queuedLines + 10 {
		_, err := b.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Assert(t, testutil.ToFloat64(b.dropped) >= 8)
}

// Guards against fields of a logger that are lost because the limited core does not
// pass them on.
func TestLimitKeepsFields(t *testing.T) {
	var out bytes.Buffer
	l, err := NewLogger(LogSettings{Level: "info", JSON: true}, &out)
	assert.NilError(t, err)
	l = NewLogLimiter(&bytes.Buffer{}, prometheus.NewRegistry()).Limit(l).With(zap.String("instance", "i"))
	l.Info("text", zap.String(SamplingKey, "w"))
	assert.Assert(t, strings.Contains(out.String(), `"instance":"i","workload":"w"`), out.String())
}
