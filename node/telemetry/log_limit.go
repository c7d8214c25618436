package telemetry

import (
	"context"
	"hash/fnv"
	"io"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queuedLines is the maximum number of lines that wait to be written.
	queuedLines = 1024
	// maxLinesPerSecond is the maximum number of lines that a process writes in one
	// second.
	maxLinesPerSecond = 200
	// sampleThreshold is the number of lines in one second that are written without
	// sampling. Further lines are sampled by subject: all lines about one in
	// sampleEvery subjects are written, none about the others.
	sampleThreshold = 100
	sampleEvery     = 8
)

// SamplingKey is the log field that lines are sampled by. Either all or none of the
// lines with the same value are written.
const SamplingKey = "workload"

// LogLimiter limits the rate of a process's log. Lines beyond the limit per second,
// and lines for which the queue to the output is full, are dropped and counted.
// Logging therefore never blocks, and its cost does not grow with the load.
type LogLimiter struct {
	out     chan output
	dropped prometheus.Counter
	second  atomic.Int64
	lines   atomic.Int64
}

// output is a line to write, or a channel to close once all earlier lines are
// written.
type output struct {
	line    []byte
	flushed chan<- struct{}
}

// NewLogLimiter returns a LogLimiter that writes to w from a new goroutine. Its
// counter of dropped lines is registered with r.
func NewLogLimiter(w io.Writer, r prometheus.Registerer) *LogLimiter {
	l := &LogLimiter{
		out: make(chan output, queuedLines),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingturn_log_lines_dropped_total", Help: "Log lines that were left out to stay within the budget.",
		}),
	}
	r.MustRegister(l.dropped)
	go func() {
		for o := range l.out {
			if o.flushed != nil {
				close(o.flushed)
				continue
			}
			_, _ = w.Write(o.line) // a failure to write the log cannot be logged
		}
	}()
	return l
}

// Write implements io.Writer. It queues the line and never blocks; if the queue is
// full, it drops the line. It never returns an error.
func (l *LogLimiter) Write(line []byte) (int, error) {
	select {
	case l.out <- output{line: append([]byte(nil), line...)}:
	default:
		l.dropped.Inc()
	}
	return len(line), nil
}

// Flush waits until all lines queued before the call are written. It returns the
// error of ctx if that ends first.
func (l *LogLimiter) Flush(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case l.out <- output{flushed: done}:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// admit reports whether a line is within the limit. Lines of level warning and above
// are not sampled.
func (l *LogLimiter) admit(now time.Time, level zapcore.Level, subject string) bool {
	if second := now.Unix(); l.second.Swap(second) != second {
		l.lines.Store(0)
	}
	n := l.lines.Add(1)
	if n > maxLinesPerSecond || n > sampleThreshold && level < zapcore.WarnLevel && subject != "" && !sampled(subject) {
		l.dropped.Inc()
		return false
	}
	return true
}

func sampled(subject string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(subject)) // never fails
	return h.Sum32()%sampleEvery == 0
}

// limitedCore is a zapcore.Core that drops the lines that its limiter does not admit.
type limitedCore struct {
	zapcore.Core
	limiter *LogLimiter
}

// Limit returns a logger that drops the lines that the limiter does not admit.
func (l *LogLimiter) Limit(log *zap.Logger) *zap.Logger {
	return log.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core { return limitedCore{c, l} }))
}

func (c limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return limitedCore{c.Core.With(fields), c.limiter}
}

func (c limitedCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

func (c limitedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	subject := ""
	for _, f := range fields {
		if f.Key == SamplingKey {
			subject = f.String
		}
	}
	if !c.limiter.admit(e.Time, e.Level, subject) {
		return nil
	}
	return c.Core.Write(e, fields)
}
