package query

import (
	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/cmd/lacewingturn/session"
)

// Explain is the query that explains the state of one object, such as why a job waits.
type Explain struct {
	Kind string `arg:"" enum:"job,instance,wave,move,pool,worker,account" help:"job, instance, wave, move, pool, worker or account."`
	ID   string `arg:"" help:"ID or name of the object."`
}

// Run prints the explain view of the object.
func (c Explain) Run(s *session.Session) error {
	return show(s, operatorv1.View_VIEW_EXPLAIN, c.Kind+"/"+c.ID)
}
