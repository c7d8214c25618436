package instance

import (
	"context"
	"path/filepath"

	"github.com/gravitational/trace"
	"go.uber.org/fx"
	"go.uber.org/zap"

	replicacommand "lacewingturn.example/replica/command"
	"lacewingturn.example/replica/record"
)

// appliedHook receives the inputs of the control state; nil for none.
type appliedHook func(replicacommand.Input)

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
	return recorder.Applied, nil
}
