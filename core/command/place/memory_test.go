package place

import (
	"lacewingturn.example/core/command/near"
	"lacewingturn.example/core/model"
)

// memory keeps the waits between two plans, as the leader does.
type memory struct{ near near.History }

func (m *memory) plan(s model.State, workers []Worker, options Options) []model.RunStart {
	if options.Near = m.near; m.near.Waits == nil {
		options.Near.Waits = near.Waits{}
	}
	result := Decide(s, workers, options)
	m.near = result.Near
	return result.Starts
}
