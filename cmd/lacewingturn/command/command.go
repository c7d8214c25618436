// Package command holds the commands of the command line that prepare or change the
// control state.
package command

import (
	"lacewingturn.example/cmd/lacewingturn/session"
	"lacewingturn.example/core/model"
)

// Group declares the commands of the command line for kong.
type Group struct {
	Init     Init     `cmd:"" group:"Configuration" help:"Write a file of answers: by questions, from a sample or from a file."`
	Check    Check    `cmd:"" group:"Configuration" help:"Check a file of answers; every error has its line, its column and what to write."`
	Generate Generate `cmd:"" group:"Configuration" help:"Print the configuration that follows from the answers, each value with its answer."`
	Plan     Plan     `cmd:"" group:"Configuration" help:"Show what accepting the answers would change."`
	Accept   Accept   `cmd:"" group:"Configuration" help:"Put the configuration of the answers in force."`
	Revert   Revert   `cmd:"" group:"Configuration" help:"Put the configuration of an earlier revision in force, as a new revision."`
	Drain    Drain    `cmd:"" group:"Fleet" help:"Take an instance out of service within the budget."`
	Return   Return   `cmd:"" group:"Fleet" help:"Give a drained instance back to service."`
	Move     Move     `cmd:"" group:"Fleet" help:"Move an instance to another pool."`
	UndoMove UndoMove `cmd:"" group:"Fleet" help:"End a move before the instance changes its pool."`
	Wave     Wave     `cmd:"" group:"Fleet" help:"Maintenance waves."`
	Job      Job      `cmd:"" group:"Jobs" help:"Jobs."`
}

// RequestOption is the option shared by all commands that change the control state. A resend
// with the request ID of the first attempt gets the first result, which the control
// state keeps for an hour.
type RequestOption struct {
	RequestID string `help:"Request ID of an earlier attempt whose answer was lost; its first result is returned." name:"request-id"`
}

func (r RequestOption) submit(s *session.Session, c model.Command) error {
	_, err := s.Submit(r.RequestID, c)
	return err
}
