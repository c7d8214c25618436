// Command lacewingturnd runs one instance of the system in the roles that its settings
// give, or a small site for development or demonstration.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"lacewingturn.example/cmd/internal/instance"
	"lacewingturn.example/platform/settings"
)

// startTimeout bounds the start of a process including the recovery of its state.
const startTimeout = 2 * time.Minute

// softMemoryShare is the soft memory limit of the Go runtime as a share of --memory-mb. Near
// it, garbage is collected more often.
const softMemoryShare = 0.875

type cli struct {
	Run      runCommand      `cmd:"" default:"withargs" help:"Run one instance until SIGTERM or SIGINT."`
	Dev      devCommand      `cmd:"" help:"Start a small site on loopback and leave it running."`
	Platform platformCommand `cmd:"" help:"Run one role on the users' platform, with its settings file."`
	Demo     demoCommand     `cmd:"" help:"Run a small site through a recorded workload and check its stated outcomes."`
}

func main() {
	var c cli
	parsed := kong.Parse(&c,
		kong.Name("lacewingturnd"),
		kong.Description("An instance of lacewingturn, a fleet capacity and maintenance manager. Every setting is a flag or an environment variable."),
		kong.UsageOnError(),
		kong.Vars{"platform_settings": settings.PathVariable},
	)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, trace.UserMessage(err))
		os.Exit(1)
	}
}

type runCommand struct{ flags }

// Run checks the settings and serves until ctx ends, then shuts down gracefully.
func (r *runCommand) Run(ctx context.Context) error {
	checked, err := r.check()
	if err != nil {
		return trace.Wrap(err, "wrong settings; nothing was started")
	}
	debug.SetMemoryLimit(int64(float64(checked.MemoryLimit) * softMemoryShare))
	p, err := instance.New(checked, os.Stderr)
	if err != nil {
		return trace.Wrap(err)
	}
	return runProcess(ctx, p)
}

// runProcess runs the process until ctx ends or a role requests the shutdown so that the
// process is restarted. It then shuts the process down gracefully.
func runProcess(ctx context.Context, p *instance.Process) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := p.Start(startCtx); err != nil {
		return trace.Wrap(err)
	}
	select {
	case <-ctx.Done():
	case <-p.ShutdownRequested():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), p.Settings().DrainTimeout)
	defer cancel()
	return trace.Wrap(p.Stop(stopCtx))
}
