package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/gravitational/trace"

	"lacewingturn.example/cmd/internal/instance"
	"lacewingturn.example/platform/settings"
)

// memoryShare is the soft memory limit of the Go runtime as a share of the memory limit
// of the platform. Near it, garbage is collected more often.
const memoryShare = 0.75

type platformCommand struct {
	Role     string `arg:"" help:"Role of this process: control or entry." enum:"control,entry"`
	Settings string `help:"Settings file of the platform." env:"${platform_settings}" required:""`
	// InternalListen is for tests with a proxy in front of a replica.
	InternalListen string `help:"Address to listen on when other processes reach the internal address through a forwarder." env:"LACEWINGTURN_INTERNAL_LISTEN" placeholder:"IP:PORT"`
}

// Run serves on the users' platform until ctx ends, then shuts down gracefully.
func (c *platformCommand) Run(ctx context.Context) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return trace.Wrap(err, "wrong settings; nothing was started")
	}
	s.InternalListen = c.InternalListen
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryLimit) * memoryShare))
	}
	p, err := instance.NewOnPlatform(instance.Role(c.Role), instance.SettingsFile(c.Settings), s, os.Stdout)
	if err != nil {
		return trace.Wrap(err)
	}
	return runProcess(ctx, p)
}
