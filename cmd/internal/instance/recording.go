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

// appliedHook receives the inputs of the control state; nil for none.
type appliedHook func(replicacommand.AppliedCommand)

// newAppliedHook records the control inputs if the settings ask for it.
func newAppliedHook(lc fx.Lifecycle, s Settings, life *life, log *zap.Logger) (appliedHook, error) {
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
			go func() { defer close(done); recorder.Run(life) }()
			return nil
		},
		OnStop: func(context.Context) error {
			life.cancel()
			<-done
			return nil
		},
	})
	return recorder.OnCommitted, nil
}

// trafficCapacity is the number of records that wait for the disk; what finds
// no room is left out of the trace.
const trafficCapacity = 4096

// trafficRecorder writes the answered requests of an entry instance as a trace
// for the replay.
type trafficRecorder struct {
	file    *os.File
	log     *zap.Logger
	records chan entry.TrafficRecord
	started time.Time
}

// newTrafficRecorder returns nil if the settings ask for no recording.
func newTrafficRecorder(s Settings, log *zap.Logger) (*trafficRecorder, error) {
	if s.RecordFolder == "" {
		return nil, nil
	}
	f, err := os.Create(filepath.Join(s.RecordFolder, s.Name+"-traffic.jsonl"))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return &trafficRecorder{file: f, log: log, records: make(chan entry.TrafficRecord, trafficCapacity), started: time.Now()}, nil
}

// hook returns what the entry machine calls; nil if nothing is recorded.
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

// run writes until ctx ends. The first line names the targets known when the
// first request was answered.
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
		At: replay.Since(t.started, r.Arrived), Run: r.Run, Deadline: max(0, r.Deadline.Sub(r.Arrived)),
	}
}

func targetsOf(v *query.View) []replay.Target {
	var out []replay.Target
	for _, t := range v.Traffic.Targets.All() {
		out = append(out, replay.Target{ID: string(t.ID), Slots: t.Slots})
	}
	return out
}
