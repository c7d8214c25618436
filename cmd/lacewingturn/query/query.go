// Package query holds the queries of the command line. They read the control state,
// recordings of control inputs or traffic traces, and change nothing.
package query

import (
	"encoding/json"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/cmd/lacewingturn/session"
	"lacewingturn.example/core/query"
)

// Group declares the queries of the command line for kong.
type Group struct {
	Status   Status   `cmd:"" group:"Queries" help:"Show the revision in force on each entry instance, the replicas and what needs attention."`
	Pools    Pools    `cmd:"" group:"Queries" help:"Show the pools, their budgets and instances."`
	Waves    Waves    `cmd:"" group:"Queries" help:"Show the maintenance waves and moves."`
	Jobs     Jobs     `cmd:"" group:"Queries" help:"Show the jobs."`
	Accounts Accounts `cmd:"" group:"Queries" help:"Show the client accounts, what they may have and what they have running and waiting."`
	Targets  Targets  `cmd:"" group:"Queries" help:"Show the announced targets."`
	Config   Config   `cmd:"" group:"Queries" help:"Show a configuration, each value with the answer that it came from."`
	History  History  `cmd:"" group:"Queries" help:"Show the accepted configurations."`
	Explain  Explain  `cmd:"" group:"Queries" help:"Explain why a job waits, an instance does not drain or a wave does not go on."`
	Replay   Replay   `cmd:"" group:"Queries" help:"Replay a traffic trace through a queue policy on a virtual clock."`
	Verify   Verify   `cmd:"" group:"Queries" help:"Replay recorded control inputs and compare the state digests."`
}

// show reads a view and prints it with the fields that the server sent, in their order.
func show(s *session.Session, name operatorv1.View, subject string) error {
	var view json.RawMessage
	if _, err := s.Read(name, subject, &view); err != nil {
		return err
	}
	return s.Print(view)
}

// Status is the query for the revision on each entry instance, the replicas and what
// needs attention.
type Status struct{}

// Run prints the status view.
func (Status) Run(s *session.Session) error { return show(s, operatorv1.View_VIEW_STATUS, "") }

// Pools is the query for all pools, or one.
type Pools struct {
	Pool string `arg:"" optional:"" help:"Name of one pool."`
}

// Run prints the pools view.
func (c Pools) Run(s *session.Session) error { return show(s, operatorv1.View_VIEW_POOLS, c.Pool) }

// Waves is the query for the maintenance waves and moves, or one wave.
type Waves struct {
	Wave string `arg:"" optional:"" help:"ID of one wave."`
}

// Run prints the waves view.
func (c Waves) Run(s *session.Session) error { return show(s, operatorv1.View_VIEW_WAVES, c.Wave) }

// Jobs is the query for all jobs, or one.
type Jobs struct {
	Job string `arg:"" optional:"" help:"ID of one job."`
}

// Run prints the jobs view.
func (c Jobs) Run(s *session.Session) error { return show(s, operatorv1.View_VIEW_JOBS, c.Job) }

// Accounts is the query for all client accounts, or one.
type Accounts struct {
	Account string `arg:"" optional:"" help:"Name of one account."`
}

// Run prints the accounts view.
func (c Accounts) Run(s *session.Session) error {
	return show(s, operatorv1.View_VIEW_ACCOUNTS, c.Account)
}

// Targets is the query for the announced targets, of one service if it is named.
type Targets struct {
	Service string `arg:"" optional:"" help:"Name of one service."`
}

// Run prints the targets view.
func (c Targets) Run(s *session.Session) error {
	return show(s, operatorv1.View_VIEW_TARGETS, c.Service)
}

// History is the query for the accepted configurations.
type History struct{}

// Run prints the history view.
func (History) Run(s *session.Session) error { return show(s, operatorv1.View_VIEW_HISTORY, "") }

// Config is the query for the configuration of one revision.
type Config struct {
	Revision string `arg:"" optional:"" help:"Revision; the one in force if left out."`
}

// Run prints the configuration. The table shows its values as lines and leaves out the
// field config, which contains the same values.
func (c Config) Run(s *session.Session) error {
	var v query.ConfigView
	if _, err := s.Read(operatorv1.View_VIEW_CONFIG, c.Revision, &v); err != nil {
		return err
	}
	if !s.Settings.JSON {
		return s.Print(struct {
			Revision uint64             `json:"revision"`
			Base     uint64             `json:"base"`
			Actor    string             `json:"actor"`
			Digest   string             `json:"digest"`
			Lines    []query.ConfigLine `json:"values"`
		}{v.Revision, v.Base, v.Actor, v.Digest, v.Lines})
	}
	return s.Print(v)
}
