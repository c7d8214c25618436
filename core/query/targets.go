package query

import (
	"time"

	"lacewingturn.example/core/model"
)

// TargetsView is the body of the targets query.
type TargetsView struct {
	Targets []TargetEntry `json:"targets"`
}

// TargetEntry is one announced target in the targets view.
type TargetEntry struct {
	ID          string    `json:"id"`
	Service     string    `json:"service"`
	Instance    string    `json:"instance"`
	Pool        string    `json:"pool"` // pool of the instance; empty if the instance is not declared
	Address     string    `json:"address"`
	Phase       string    `json:"phase"`
	Since       time.Time `json:"since"`
	Slots       int       `json:"slots"`
	Connections int       `json:"connections"`
}

// Targets returns the targets of a service, or of all services if the name is empty.
func Targets(s model.State, service model.ServiceName) TargetsView {
	v := TargetsView{Targets: []TargetEntry{}}
	for _, t := range s.Targets.All() {
		if service != "" && t.Service != service {
			continue
		}
		i, _ := s.Instances.Get(t.Instance)
		v.Targets = append(v.Targets, TargetEntry{
			ID: string(t.ID), Service: string(t.Service), Instance: string(t.Instance), Pool: string(i.Pool),
			Address: t.Address, Phase: t.Phase.String(), Since: utcTime(t.Since), Slots: t.Slots, Connections: t.Connections,
		})
	}
	return v
}
