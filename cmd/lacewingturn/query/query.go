// Package query holds the commands that read the control state.
package query

import (
	"encoding/json"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/cmd/lacewingturn/session"
	"lacewingturn.example/core/query"
)

// Group is the query group of the command line.
type Group struct {
	Status  Status  `cmd:"" group:"Queries" help:"Show the revision in force on each entry instance, the replicas and what needs attention."`
	Pools   Pools   `cmd:"" group:"Queries" help:"Show the pools, their budgets and instances."`
	Waves   Waves   `cmd:"" group:"Queries" help:"Show the maintenance waves and moves."`
	Jobs    Jobs    `cmd:"" group:"Queries" help:"Show the jobs."`
	Targets Targets `cmd:"" group:"Queries" help:"Show the announced targets."`
	Config  Config  `cmd:"" group:"Queries" help:"Show a configuration, each value with the answer that it came from."`
	History History `cmd:"" group:"Queries" help:"Show the accepted configurations."`
	Explain Explain `cmd:"" group:"Queries" help:"Explain why a job waits, an instance does not drain or a wave does not go on."`
	Replay  Replay  `cmd:"" group:"Queries" help:"Replay a traffic trace through a queue policy on a virtual clock."`
	Verify  Verify  `cmd:"" group:"Queries" help:"Replay recorded control inputs and compare the state digests."`
}

// show reads a view and prints it as the server built it.
func show(s *session.Session, name operatorv1.View, subject string) error {
	var view json.RawMessage
	if _, err := s.Read(name, subject, &view); err != nil {
		return err
	}
	return s.Print(view)
}

// Status shows the status view.
type Status struct{}

// Run implements the command.
func (Status) Run(s *session.Session) error { return show(s, operatorv1.View_VIEW_STATUS, "") }

// Pools shows the pools view.
type Pools struct {
	Pool string `arg:"" optional:"" help:"Name of one pool."`
}

// Run implements the command.
func (c Pools) Run(s *session.Session) error { return show(s, operatorv1.View_VIEW_POOLS, c.Pool) }

// Waves shows the waves view.
type Waves struct {
	Wave string `arg:"" optional:"" help:"ID of one wave."`
}

// Run implements the command.
func (c Waves) Run(s *session.Session) error { return show(s, operatorv1.View_VIEW_WAVES, c.Wave) }

// Jobs shows the jobs view.
type Jobs struct {
	Job string `arg:"" optional:"" help:"ID of one job."`
}

// Run implements the command.
func (c Jobs) Run(s *session.Session) error { return show(s, operatorv1.View_VIEW_JOBS, c.Job) }

// Targets shows the targets view.
type Targets struct {
	Service string `arg:"" optional:"" help:"Name of one service."`
}

// Run implements the command.
func (c Targets) Run(s *session.Session) error {
	return show(s, operatorv1.View_VIEW_TARGETS, c.Service)
}

// History shows the history view.
type History struct{}

// Run implements the command.
func (History) Run(s *session.Session) error { return show(s, operatorv1.View_VIEW_HISTORY, "") }

// Config shows the configuration of a revision.
type Config struct {
	Revision string `arg:"" optional:"" help:"Revision; the one in force if left out."`
}

// Run implements the command. Tables leave out the configuration in its
// internal form, which repeats the lines.
func (c Config) Run(s *session.Session) error {
	var v query.ConfigView
	if _, err := s.Read(operatorv1.View_VIEW_CONFIG, c.Revision, &v); err != nil {
		return err
	}
	if !s.Settings.JSON {
		return s.Print(struct {
			Revision uint64       `json:"revision"`
			Base     uint64       `json:"base"`
			Actor    string       `json:"actor"`
			Digest   string       `json:"digest"`
			Lines    []query.Line `json:"values"`
		}{v.Revision, v.Base, v.Actor, v.Digest, v.Lines})
	}
	return s.Print(v)
}
