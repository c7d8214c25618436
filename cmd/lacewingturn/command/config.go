package command

import (
	"context"
	"fmt"
	"strconv"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/cmd/lacewingturn/session"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// digestPrefix is the number of hex digits of a digest that plan prints: enough to
// tell the configurations of a site apart.
const digestPrefix = 12

// Plan is the command that compares answers with the configuration in force.
type Plan struct{ AnswersFile }

// Run prints the changes and, if there are any, the accept command that makes them.
func (c Plan) Run(s *session.Session) error {
	config, err := c.readConfig(s)
	if err != nil {
		return err
	}
	var current query.ConfigView
	if _, err := s.Read(operatorv1.View_VIEW_CONFIG, "", &current); err != nil {
		return err
	}
	plan := query.Plan(current, config)
	if err := s.Print(plan); err != nil {
		return err
	}
	if len(plan.Changes) > 0 && !s.Settings.JSON {
		fmt.Fprintf(s.Out, "\nto put it in force: lacewingturn accept %s --base %d --digest %s\n", c.File, plan.Base, plan.Digest[:digestPrefix])
	}
	return nil
}

// WaitOption is the option shared by the commands that change the configuration.
type WaitOption struct {
	Wait bool `help:"Wait until every live entry instance has the revision in force."`
}

// awaitInForce prints the progress until the revision is in force on every live entry
// instance or the wait timeout is over. It does nothing without --wait.
func (w WaitOption) awaitInForce(s *session.Session, r result.Result) error {
	if !w.Wait {
		return nil
	}
	c, err := s.Client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.Context, s.Settings.WaitTimeout)
	defer cancel()
	err = c.Watch(ctx, model.Revision(r.Revision), func(p client.Progress) {
		text := fmt.Sprintf("revision %d in force on %d of %d entry instances", r.Revision, p.Members-len(p.Waiting), p.Members)
		if len(p.Waiting) > 0 {
			text += fmt.Sprintf(", waiting for %v", p.Waiting)
		}
		fmt.Fprintln(s.Err, text)
	})
	return err
}

// Accept is the command that puts the configuration of answers in force.
type Accept struct {
	AnswersFile
	Base   string `required:"" help:"Revision that the plan was made from, as plan prints it."`
	Digest string `help:"Digest that plan printed, or its start; refuses answers that changed since."`
	RequestOption
	WaitOption
}

// Run submits the configuration. It returns a Conflicting result if the digest shows
// that the answers changed after the plan, or if Base is not the revision in force.
func (c Accept) Run(s *session.Session) error {
	base, err := parseRevision("base", c.Base)
	if err != nil {
		return err
	}
	config, err := c.readConfig(s)
	if err != nil {
		return err
	}
	if digest := query.Digest(config); len(c.Digest) > len(digest) || digest[:len(c.Digest)] != c.Digest {
		return result.New(result.Conflicting, "the answers do not match --digest: their digest is %s; make a new plan", digest)
	}
	r, err := s.Submit(c.RequestID, model.AcceptConfig{Base: base, Config: config})
	if err != nil {
		return err
	}
	return c.awaitInForce(s, r)
}

// Revert is the command that puts the configuration of an earlier revision in force, as
// a new revision.
type Revert struct {
	To   string `arg:"" help:"Revision to go back to, as history shows it."`
	Base string `help:"Revision that must be in force; the current one if left out."`
	RequestOption
	WaitOption
}

// Run submits the revert.
func (c Revert) Run(s *session.Session) error {
	to, err := parseRevision("to", c.To)
	if err != nil {
		return err
	}
	base, err := c.baseRevision(s)
	if err != nil {
		return err
	}
	r, err := s.Submit(c.RequestID, model.RevertConfig{Base: base, To: to})
	if err != nil {
		return err
	}
	return c.awaitInForce(s, r)
}

// baseRevision returns the base revision given, or reads the current one.
func (c Revert) baseRevision(s *session.Session) (model.Revision, error) {
	if c.Base != "" {
		return parseRevision("base", c.Base)
	}
	if c.RequestID != "" {
		return 0, result.New(result.InvalidInput, "--request-id needs the --base of the first attempt, because a resend must be the same command")
	}
	var v query.HistoryView
	_, err := s.Read(operatorv1.View_VIEW_HISTORY, "", &v)
	return model.Revision(v.Revision), err
}

func parseRevision(name, text string) (model.Revision, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, result.New(result.InvalidInput, "%s: %q is not a revision", name, text)
	}
	return model.Revision(n), nil
}
