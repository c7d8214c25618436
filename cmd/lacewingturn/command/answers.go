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

// Answers is the argument of the commands that read a file of answers.
type Answers struct {
	File string `arg:"" help:"File of answers; - reads the standard input."`
}

// ProblemView is the JSON form of a problem.
type ProblemView struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path"`
	Reason string `json:"reason"`
	Write  string `json:"write"`
}

// read returns the configuration that follows from the file. Every problem in
// the answers is printed.
func (a Answers) read(s *session.Session) (model.Config, error) {
	data, err := a.bytes(s)
	if err != nil {
		return model.Config{}, err
	}
	parsed, problems := answers.Read(data)
	if len(problems) > 0 {
		return model.Config{}, a.refuse(s, problems)
	}
	return answers.Generate(parsed), nil
}

func (a Answers) bytes(s *session.Session) ([]byte, error) {
	if a.File == "-" {
		return io.ReadAll(io.LimitReader(s.In, answers.MaxSize+1))
	}
	data, err := os.ReadFile(a.File)
	if err != nil {
		return nil, result.New(result.InvalidInput, "%v", err)
	}
	return data, nil
}

func (a Answers) refuse(s *session.Session, problems []answers.Problem) error {
	if s.Settings.JSON {
		views := make([]ProblemView, len(problems))
		for i, p := range problems {
			views[i] = ProblemView{Line: p.Line, Column: p.Column, Path: p.Path, Reason: p.Reason, Write: p.Write}
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

// Check checks a file of answers.
type Check struct{ Answers }

// Run implements the command.
func (c Check) Run(s *session.Session) error {
	config, err := c.read(s)
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

// Generate prints the generated configuration.
type Generate struct{ Answers }

// Run implements the command.
func (c Generate) Run(s *session.Session) error {
	config, err := c.read(s)
	if err != nil {
		return err
	}
	return s.Print(struct {
		Digest string       `json:"digest"`
		Lines  []query.Line `json:"values"`
	}{query.Digest(config), query.Lines(config)})
}
