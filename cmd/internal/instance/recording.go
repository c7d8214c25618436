package instance

import (
	"bufio"
	"context"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"lacewingturn.example/entry"
	"lacewingturn.example/entry/query"
	"lacewingturn.example/node/event"
	"lacewingturn.example/operator/replay"
	replicacommand "lacewingturn.example/replica/command"
	"lacewingturn.example/replica/record"
)

// beforeApplyHook is called with each committed command right before it is applied to
// the control state. It is nil if nothing is recorded.
type beforeApplyHook func(replicacommand.AppliedCommand)

// newBeforeApplyHook returns a hook that records the control inputs; nil if the settings
// name no record folder.
func newBeforeApplyHook(lc fx.Lifecycle, s Settings, lifetime *lifetime, log *zap.Logger) (beforeApplyHook, error) {
	if s.RecordFolder == "" {
		return nil, nil
	}
	recorder, err := record.NewRecorder(filepath.Join(s.RecordFolder, s.Name+"-control.jsonl"), log)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { defer close(done); recorder.Run(lifetime) }()
			return nil
		},
		OnStop: func(context.Context) error {
			lifetime.cancel()
			<-done
			return nil
		},
	})
	return recorder.OnCommitted, nil
}

// trafficBufferSize is the number of records that can wait to be written. While
// the buffer is full, further records are dropped from the trace.
const trafficBufferSize = 4096

// trafficRecorder writes the answered requests of an entry instance to a trace
// file for replay.
type trafficRecorder struct {
	file    *os.File
	log     *zap.Logger
	records chan entry.TrafficRecord
	started time.Time
}

// newTrafficRecorder returns nil if the settings name no record folder.
func newTrafficRecorder(s Settings, log *zap.Logger) (*trafficRecorder, error) {
	if s.RecordFolder == "" {
		return nil, nil
	}
	f, err := os.Create(filepath.Join(s.RecordFolder, s.Name+"-traffic.jsonl"))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return &trafficRecorder{file: f, log: log, records: make(chan entry.TrafficRecord, trafficBufferSize), started: time.Now()}, nil
}

// hook returns the function that the entry instance calls for each answered request;
// nil if nothing is recorded. The function does not block.
func (t *trafficRecorder) hook() func(entry.TrafficRecord) {
	if t == nil {
		return nil
	}
	return func(r entry.TrafficRecord) {
		select {
		case t.records <- r:
		default:
		}
	}
}

// run writes records until ctx ends or a write fails. The first line of the file lists
// the targets that were known when the first request was answered.
func (t *trafficRecorder) run(ctx context.Context, source *query.Source) {
	defer t.file.Close()
	buffer := bufio.NewWriter(t.file)
	var w *replay.Writer
	for {
		select {
		case r := <-t.records:
			var err error
			if w == nil {
				w, err = replay.NewWriter(buffer, targetsOf(source.View()))
			}
			if err == nil {
				err = w.Write(t.record(r))
			}
			if err != nil {
				event.RecordFailed.Log(t.log, zap.Error(err))
				return
			}
		case <-ctx.Done():
			if err := buffer.Flush(); err != nil {
				event.RecordFailed.Log(t.log, zap.Error(err))
			}
			return
		}
	}
}

func (t *trafficRecorder) record(r entry.TrafficRecord) replay.Record {
	return replay.Record{
		ID: strconv.FormatUint(r.Number, 10), Caller: r.Caller, Cohort: string(r.Service), Service: r.Service,
		At: replay.TraceTime(t.started, r.Arrived), Run: r.Run, Deadline: max(0, r.Deadline.Sub(r.Arrived)),
	}
}

func targetsOf(v *query.View) []replay.Target {
	var out []replay.Target
	for _, t := range v.Traffic.Targets.All() {
		out = append(out, replay.Target{ID: string(t.ID), Slots: t.Slots})
	}
	return out
}
