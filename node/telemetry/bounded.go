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
	// lineQueue is the number of lines that wait for the output.
	lineQueue = 1024
	// lineBudget is the number of lines a second that a process writes.
	lineBudget = 200
	// sampleAbove is the number of lines a second above which lines about one
	// subject in sampleEvery are written, all of them, and no others.
	sampleAbove = 100
	sampleEvery = 8
)

// SubjectKey is the field whose value keeps the lines about one workload
// together when lines are left out.
const SubjectKey = "workload"

// Bound limits what a process logs: lines beyond the budget of a second and
// lines that find the output busy are dropped and counted, so that logging
// never blocks and its cost does not grow with the load.
type Bound struct {
	out     chan output
	dropped prometheus.Counter
	second  atomic.Int64
	lines   atomic.Int64
}

// output is a line, or a request to tell when all lines before are written.
type output struct {
	line    []byte
	flushed chan<- struct{}
}

// NewBound returns a bound whose lines go to w, on a goroutine of its own.
func NewBound(w io.Writer, r prometheus.Registerer) *Bound {
	b := &Bound{
		out: make(chan output, lineQueue),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "lacewingturn_log_lines_dropped_total", Help: "Log lines that were left out to stay within the budget.",
		}),
	}
	r.MustRegister(b.dropped)
	go func() {
		for o := range b.out {
			if o.flushed != nil {
				close(o.flushed)
				continue
			}
			_, _ = w.Write(o.line) // nobody is left to tell if the output has gone
		}
	}()
	return b
}

// Write implements io.Writer. It never waits.
func (b *Bound) Write(line []byte) (int, error) {
	select {
	case b.out <- output{line: append([]byte(nil), line...)}:
	default:
		b.dropped.Inc()
	}
	return len(line), nil
}

// Flush waits until the lines before are written or ctx ends.
func (b *Bound) Flush(ctx context.Context) error {
	done := make(chan struct{})
	select {
	case b.out <- output{flushed: done}:
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

// admit reports whether a line fits the budget. Warnings are not sampled.
func (b *Bound) admit(now time.Time, level zapcore.Level, subject string) bool {
	if second := now.Unix(); b.second.Swap(second) != second {
		b.lines.Store(0)
	}
	n := b.lines.Add(1)
	if n > lineBudget || n > sampleAbove && level < zapcore.WarnLevel && subject != "" && !sampled(subject) {
		b.dropped.Inc()
		return false
	}
	return true
}

func sampled(subject string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(subject)) // never fails
	return h.Sum32()%sampleEvery == 0
}

// boundCore applies a bound to a core.
type boundCore struct {
	zapcore.Core
	bound *Bound
}

// Limit returns the logger with the bound applied.
func (b *Bound) Limit(l *zap.Logger) *zap.Logger {
	return l.WithOptions(zap.WrapCore(func(c zapcore.Core) zapcore.Core { return boundCore{c, b} }))
}

func (c boundCore) With(fields []zapcore.Field) zapcore.Core {
	return boundCore{c.Core.With(fields), c.bound}
}

func (c boundCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

func (c boundCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	subject := ""
	for _, f := range fields {
		if f.Key == SubjectKey {
			subject = f.String
		}
	}
	if !c.bound.admit(e.Time, e.Level, subject) {
		return nil
	}
	return c.Core.Write(e, fields)
}
