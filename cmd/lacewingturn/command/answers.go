package command

import (
	"fmt"
	"io"
	"os"
	"strings"

	"lacewingturn.example/cmd/lacewingturn/session"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/answers"
)

// AnswersFile is the argument shared by the commands that read a file of answers.
type AnswersFile struct {
	File string `arg:"" help:"File of answers; - reads the standard input."`
}

// ProblemView is the JSON output for an error in a file of answers. Line and Column
// count from 1; Write tells what to write instead.
type ProblemView struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
	Write  string `json:"write"`
}

// readConfig returns the configuration generated from the file. If there are errors in
// the answers, all of them are reported together.
func (a AnswersFile) readConfig(s *session.Session) (model.Config, error) {
	data, err := a.readFile(s)
	if err != nil {
		return model.Config{}, err
	}
	parsed, problems := answers.Read(data)
	if len(problems) > 0 {
		return model.Config{}, a.invalid(s, problems)
	}
	return answers.Generate(parsed), nil
}

// readFile returns the contents of the file or the standard input. It reads at most one
// byte more than the permitted size from the standard input, so that answers.Read
// rejects input that is too large.
func (a AnswersFile) readFile(s *session.Session) ([]byte, error) {
	if a.File == "-" {
		return io.ReadAll(io.LimitReader(s.In, answers.MaxSize+1))
	}
	data, err := os.ReadFile(a.File)
	if err != nil {
		return nil, result.New(result.InvalidInput, "%v", err)
	}
	return data, nil
}

// invalid returns the ConfigInvalid result for the problems. With JSON output it prints
// them to Out, otherwise the result contains them.
func (a AnswersFile) invalid(s *session.Session, problems []answers.Problem) error {
	if s.Settings.JSON {
		views := make([]ProblemView, len(problems))
		for i, p := range problems {
			views[i] = ProblemView{Line: p.Line, Column: p.Column, Path: p.Path, Reason: p.Reason, Write: p.Hint}
		}
		if err := s.Print(views); err != nil {
			return err
		}
		return result.New(result.ConfigInvalid, "%d errors in %s", len(problems), a.File)
	}
	var b strings.Builder
	for _, p := range problems {
		fmt.Fprintf(&b, "\n%s:%s", a.File, p)
	}
	return result.New(result.ConfigInvalid, "%d errors in %s%s", len(problems), a.File, b.String())
}

// Check is the command that validates a file of answers without a control replica.
type Check struct{ AnswersFile }

// Run prints a summary of the configuration, or every error in the answers.
func (c Check) Run(s *session.Session) error {
	config, err := c.readConfig(s)
	if err != nil {
		return err
	}
	return s.Print(struct {
		File      string `json:"file"`
		Site      string `json:"site"`
		Pools     int    `json:"pools"`
		Instances int    `json:"instances"`
		Services  int    `json:"services"`
		Teams     int    `json:"teams"`
		Errors    int    `json:"errors"`
	}{c.File, config.Site, len(config.Pools), len(config.Instances), len(config.Services), len(config.Teams), 0})
}

// Generate is the command that shows the configuration generated from answers, without
// a control replica.
type Generate struct{ AnswersFile }

// Run prints the digest and the values of the generated configuration.
func (c Generate) Run(s *session.Session) error {
	config, err := c.readConfig(s)
	if err != nil {
		return err
	}
	return s.Print(struct {
		Digest string             `json:"digest"`
		Lines  []query.ConfigLine `json:"values"`
	}{query.Digest(config), query.ConfigLines(config)})
}
