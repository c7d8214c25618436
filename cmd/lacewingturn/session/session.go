package session

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/settings"
	"lacewingturn.example/operator/client"
)

// Session is the environment of one command line: its context, settings, input and
// output.
type Session struct {
	Context  context.Context
	Settings Settings
	In       io.Reader
	Out, Err io.Writer
	// Terminal is set if In is a terminal.
	Terminal bool

	client *client.Client
}

// Client returns the client of the control replicas and creates it on first use. It
// fails if the client settings are wrong.
func (s *Session) Client() (*client.Client, error) {
	if s.client == nil {
		c, err := client.New(s.Settings.Client)
		if err != nil {
			return nil, err
		}
		s.client = c
	}
	return s.client, nil
}

// Read queries a view of a subject, which may be empty, and decodes it into view. It
// prints a warning to Err if the replica that answered is not the leader, because its
// state may be out of date. The error is a result if no replica answered in time or
// the query was refused.
func (s *Session) Read(name operatorv1.View, subject string, view any) (client.ViewResponse, error) {
	c, err := s.Client()
	if err != nil {
		return client.ViewResponse{}, err
	}
	ctx, cancel := context.WithTimeout(s.Context, s.Settings.Timeout)
	defer cancel()
	response, err := c.Read(ctx, name, subject, view)
	if err == nil && !response.FromLeader {
		fmt.Fprintln(s.Err, "warning: the leader did not answer; this state may be out of date")
	}
	return response, err
}

// Submit sends a command with the request ID, or with a new one if id is empty. It
// prints a successful result and returns any other result as the error.
func (s *Session) Submit(id string, command model.Command) (result.Result, error) {
	c, err := s.Client()
	if err != nil {
		return result.Result{}, err
	}
	if id == "" {
		id = string(client.NewRequestID())
	}
	ctx, cancel := context.WithTimeout(s.Context, s.Settings.Timeout)
	defer cancel()
	r := c.Submit(ctx, model.RequestID(id), command)
	if !r.Code.OK() {
		return r, r
	}
	return r, s.PrintResult(r)
}

// ReportError prints the error of a command, to Err and with JSON output also to Out, and
// returns the exit status of its result code: 0 for nil, that of Internal for errors
// without a result code.
func (s *Session) ReportError(err error) int {
	var r result.Result
	var problems settings.Problems
	switch {
	case err == nil:
		return 0
	case errors.As(err, &r):
	case errors.As(err, &problems):
		r = result.New(result.InvalidInput, "%v", problems)
	default:
		r = result.New(result.Internal, "%v", err)
	}
	if s.Settings.JSON {
		_ = s.printJSON(resultView(r))
	}
	fmt.Fprintln(s.Err, strings.TrimRight(describe(r), "\n"))
	return r.Code.Info().Exit
}

// describe returns the text of a failed result. For a conflict it contains the change
// that was accepted first and the differences from it.
func describe(r result.Result) string {
	text := r.Error()
	if r.Conflict == nil {
		return text
	}
	lines := []string{text, fmt.Sprintf("revision %d by %q was accepted first; your configuration would change it by:", r.Conflict.Revision, r.Conflict.Actor)}
	for _, d := range r.Conflict.Difference {
		lines = append(lines, "  "+d)
	}
	return strings.Join(append(lines, "make a new plan from that revision"), "\n")
}
