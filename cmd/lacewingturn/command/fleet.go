package command

import (
	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/cmd/lacewingturn/session"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// Drain is the command that takes an instance out of service, if the budget permits.
type Drain struct {
	Instance string `arg:"" help:"ID of the instance."`
	RequestOption
}

// Run submits the drain.
func (c Drain) Run(s *session.Session) error {
	return c.submit(s, model.DrainInstance{Instance: model.InstanceID(c.Instance)})
}

// Return is the command that returns a drained instance to service.
type Return struct {
	Instance string `arg:"" help:"ID of the instance."`
	RequestOption
}

// Run submits the return.
func (c Return) Run(s *session.Session) error {
	return c.submit(s, model.ReturnInstance{Instance: model.InstanceID(c.Instance)})
}

// Move is the command that moves an instance to another pool.
type Move struct {
	Instance string `arg:"" help:"ID of the instance."`
	To       string `required:"" help:"Pool to move to."`
	From     string `help:"Pool that the instance must be in; its present one if left out."`
	ID       string `help:"ID of the move; drawn if left out."`
	RequestOption
}

// Run submits the move. Without --from it first reads the pool of the instance.
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
		ID: model.MoveID(idOrNew("move", c.ID)), Instance: model.InstanceID(c.Instance),
		From: model.PoolName(c.From), To: model.PoolName(c.To),
	})
}

// poolOf returns the pool of the instance in the configuration in force.
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

// idOrNew returns the given ID, or a new unique one that starts with the kind.
func idOrNew(kind, id string) string {
	if id != "" {
		return id
	}
	return kind + "-" + string(client.NewRequestID())
}

// UndoMove is the command that ends a move before the instance changes its pool.
type UndoMove struct {
	Move   string `arg:"" help:"ID of the move."`
	Reason string `help:"Reason that the queries show." default:"undone by an operator"`
	RequestOption
}

// Run submits the undo.
func (c UndoMove) Run(s *session.Session) error {
	return c.submit(s, model.UndoMove{ID: model.MoveID(c.Move), Reason: c.Reason})
}
