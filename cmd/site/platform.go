package site

import (
	"context"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/server"
	"lacewingturn.example/node/wait"
	"lacewingturn.example/operator/platform"
)

// rebootTime is how long an operation of the platform stub takes.
const rebootTime = 300 * time.Millisecond

// startPlatform starts an HTTP server with a stub of the platform for the instances.
// A reboot restarts the targets that run on the instance.
func (s *Site) startPlatform(ctx context.Context, instances []model.InstanceSpec) error {
	ids := make([]model.InstanceID, 0, len(instances))
	for _, i := range instances {
		ids = append(ids, i.ID)
	}
	stub := platform.NewStub(ids, platform.StubBehavior{OperationDuration: rebootTime}, func(id model.InstanceID) { s.restartTargets(ctx, id) })
	listener, err := server.Listen("127.0.0.1:0", stub.Handler(), nil)
	if err != nil {
		return err
	}
	ctx, s.stopPlatform = context.WithCancel(context.WithoutCancel(ctx))
	go stub.Run(ctx)
	listener.Start()
	s.platform = listener
	return nil
}

// restartTargets kills the targets of the instance and starts them again, with the
// next generation, after rebootTime.
func (s *Site) restartTargets(ctx context.Context, id model.InstanceID) {
	for _, t := range s.Targets {
		if t.Instance != id {
			continue
		}
		t.Kill()
		if wait.Sleep(ctx, rebootTime) == nil {
			t.generation++
			_ = t.Start(ctx)
		}
	}
}
