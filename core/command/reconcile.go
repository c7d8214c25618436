package command

import (
	"lacewingturn.example/core/command/fleet"
	"lacewingturn.example/core/command/job"
	"lacewingturn.example/core/model"
)

// Reconcile compares the desired with the observed state and returns the next commands and
// platform actions. It is level-triggered: any leader may call it at any time and any number of
// times, and the checks in Apply decide which of the commands take effect.
func Reconcile(s model.State, o model.Observations, now model.Timestamp) model.Decision {
	now = max(now, s.Clock)
	d := fleet.Reconcile(s, o, now)
	jobs, next := job.Reconcile(s, now)
	d.Commands = append(d.Commands, jobs...)
	if next != 0 && (d.Next == 0 || next < d.Next) {
		d.Next = next
	}
	return d
}
