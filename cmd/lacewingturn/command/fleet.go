package command

import (
	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/cmd/lacewingturn/session"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// Drain takes an instance out of service.
type Drain struct {
	Instance string `arg:"" help:"ID of the instance."`
	Request
}

// Run implements the command.
func (c Drain) Run(s *session.Session) error {
	return c.submit(s, model.DrainInstance{Instance: model.InstanceID(c.Instance)})
}

// Return ends a drain.
type Return struct {
	Instance string `arg:"" help:"ID of the instance."`
	Request
}

// Run implements the command.
func (c Return) Run(s *session.Session) error {
	return c.submit(s, model.ReturnInstance{Instance: model.InstanceID(c.Instance)})
}

// Move moves an instance to another pool.
type Move struct {
	Instance string `arg:"" help:"ID of the instance."`
	To       string `required:"" help:"Pool to move to."`
	From     string `help:"Pool that the instance must be in; its present one if left out."`
	ID       string `help:"ID of the move; drawn if left out."`
	Request
}

// Run implements the command.
func (c Move) Run(s *session.Session) error {
	if c.RequestID != "" && (c.ID == "" || c.From == "") {
		return result.New(result.InvalidInput, "--request-id needs the --id and --from of the first attempt, because a resend must be the same command")
	}
	if c.From == "" {
		pool, err := poolOf(s, c.Instance)
		if err != nil {
			return err
		}
		c.From = pool
	}
	return c.submit(s, model.StartMove{
		ID: model.MoveID(drawn("move", c.ID)), Instance: model.InstanceID(c.Instance),
		From: model.PoolName(c.From), To: model.PoolName(c.To),
	})
}

func poolOf(s *session.Session, instance string) (string, error) {
	var v query.ConfigView
	if _, err := s.Read(operatorv1.View_VIEW_CONFIG, "", &v); err != nil {
		return "", err
	}
	for _, i := range v.Instances {
		if i.ID == instance {
			return i.Pool, nil
		}
	}
	return "", result.New(result.NotFound, "no instance %q", instance)
}

// drawn returns the given ID, or a new one that starts with the kind.
func drawn(kind, id string) string {
	if id != "" {
		return id
	}
	return kind + "-" + string(client.NewRequestID())
}

// UndoMove ends a move before the pool changes.
type UndoMove struct {
	Move   string `arg:"" help:"ID of the move."`
	Reason string `help:"Reason that the queries show." default:"undone by an operator"`
	Request
}

// Run implements the command.
func (c UndoMove) Run(s *session.Session) error {
	return c.submit(s, model.UndoMove{ID: model.MoveID(c.Move), Reason: c.Reason})
}
