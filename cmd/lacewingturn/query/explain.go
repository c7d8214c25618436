package query

import (
	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/cmd/lacewingturn/session"
)

// Explain shows the explain view of one object.
type Explain struct {
	Kind string `arg:"" enum:"job,instance,wave,move,pool,worker" help:"job, instance, wave, move, pool or worker."`
	ID   string `arg:"" help:"ID or name of the object."`
}

// Run implements the command.
func (c Explain) Run(s *session.Session) error {
	return show(s, operatorv1.View_VIEW_EXPLAIN, c.Kind+"/"+c.ID)
}
