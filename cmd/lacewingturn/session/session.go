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

// Session runs one command.
type Session struct {
	Context  context.Context
	Settings Settings
	In       io.Reader
	Out, Err io.Writer
	// Terminal is set if In is a terminal.
	Terminal bool

	client *client.Client
}

// Client returns the client of the control replicas.
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

// Read queries a view. It warns if the answer may be out of date.
func (s *Session) Read(name operatorv1.View, subject string, view any) (client.Answer, error) {
	c, err := s.Client()
	if err != nil {
		return client.Answer{}, err
	}
	ctx, cancel := context.WithTimeout(s.Context, s.Settings.Timeout)
	defer cancel()
	answer, err := c.Read(ctx, name, subject, view)
	if err == nil && !answer.Leads {
		fmt.Fprintln(s.Err, "warning: the leader did not answer; this state may be out of date")
	}
	return answer, err
}

// Submit sends a command under the request ID, or under a new one if it is
// empty, and prints the result. The error is the result if it is not successful.
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

// ExitCode returns the exit status of an error and prints it.
func (s *Session) ExitCode(err error) int {
	var r result.Result
	var wrong settings.Problems
	switch {
	case err == nil:
		return 0
	case errors.As(err, &r):
	case errors.As(err, &wrong):
		r = result.New(result.InvalidInput, "%v", wrong)
	default:
		r = result.New(result.Internal, "%v", err)
	}
	if s.Settings.JSON {
		_ = s.printJSON(resultView(r))
	}
	fmt.Fprintln(s.Err, strings.TrimRight(describe(r), "\n"))
	return r.Code.Info().Exit
}

// describe writes a refusal for people, with the winner of a conflict.
func describe(r result.Result) string {
	text := r.Error()
	if r.Conflict == nil {
		return text
	}
	lines := []string{text, fmt.Sprintf("revision %d by %q won; yours would change it by:", r.Conflict.Revision, r.Conflict.Actor)}
	for _, d := range r.Conflict.Difference {
		lines = append(lines, "  "+d)
	}
	return strings.Join(append(lines, "make a new plan from that revision"), "\n")
}
