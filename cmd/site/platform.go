package site

import (
	"context"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/server"
	"lacewingturn.example/node/wait"
	"lacewingturn.example/operator/platform"
)

// rebootTime is how long the stub of the platform takes for an operation.
const rebootTime = 300 * time.Millisecond

// startPlatform serves a stub of the platform that knows the instances. A
// reboot restarts the targets that run on the instance.
func (s *Site) startPlatform(ctx context.Context, instances []model.InstanceSpec) error {
	ids := make([]model.InstanceID, 0, len(instances))
	for _, i := range instances {
		ids = append(ids, i.ID)
	}
	stub := platform.NewStub(ids, platform.Behavior{Duration: rebootTime}, func(id model.InstanceID) { s.restart(ctx, id) })
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

// restart ends the targets of the instance without notice and starts them
// again after the time of a reboot.
func (s *Site) restart(ctx context.Context, id model.InstanceID) {
	for _, t := range s.Targets {
		if t.Instance != id {
			continue
		}
		t.Kill()
		if wait.For(ctx, rebootTime) == nil {
			t.generation++
			_ = t.Start(ctx)
		}
	}
}
