package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/gravitational/trace"

	"lacewingturn.example/cmd/site"
)

type demoCommand struct {
	Logs bool `help:"Write the logs of all instances to standard error."`
}

// Run runs the demo and prints its outcomes. It fails if a step of the demo fails or an
// outcome does not hold.
func (d *demoCommand) Run(ctx context.Context) error {
	outcomes, err := site.RunDemo(ctx, os.Stdout, logWriter(d.Logs))
	if err != nil {
		outcomes.Write(os.Stdout)
		return err
	}
	if !outcomes.AllHold() {
		return trace.Errorf("at least one stated outcome does not hold")
	}
	return nil
}

type devCommand struct {
	Sample string `help:"Sample answers: skoflikk or karaoke." enum:"skoflikk,karaoke" default:"skoflikk"`
	Logs   bool   `help:"Write the logs of all instances to standard error."`
}

// Run starts a site in a temporary folder, prints how to reach it and stops it when ctx
// ends.
func (d *devCommand) Run(ctx context.Context) error {
	folder, remove, err := site.TemporaryFolder()
	if err != nil {
		return err
	}
	defer remove()
	s, err := site.StartDev(ctx, d.Sample, folder, logWriter(d.Logs))
	if err != nil {
		return err
	}
	for _, line := range s.Describe() {
		fmt.Println(line)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return s.Stop(stopCtx)
}

// logWriter returns the writer for the logs of the instances: standard error, or one
// that discards them.
func logWriter(enabled bool) io.Writer {
	if enabled {
		return os.Stderr
	}
	return io.Discard
}
