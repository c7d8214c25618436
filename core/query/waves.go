package query

import (
	"time"

	"lacewingturn.example/core/model"
)

// WavesView is the body of the waves query. Ended waves and moves are kept for
// a while.
type WavesView struct {
	Waves   []WaveEntry   `json:"waves"`
	Moves   []MoveEntry   `json:"moves"`
	Upkeeps []UpkeepEntry `json:"upkeeps"`
}

// WaveEntry is one maintenance wave.
type WaveEntry struct {
	ID        string    `json:"id"`
	Pools     []string  `json:"pools"`
	Phase     string    `json:"phase"`
	Pending   int       `json:"pending"`
	Running   []string  `json:"running"` // instances in maintenance
	Done      int       `json:"done"`
	Passed    []string  `json:"passed"` // instances that were passed by
	Step      int       `json:"step"`
	Faults    int       `json:"faults"` // failures after repair
	Actor     string    `json:"actor"`
	StartedAt time.Time `json:"started_at"`
	EndedAt   time.Time `json:"ended_at"`
	Reason    string    `json:"reason"`
}

// MoveEntry is one move.
type MoveEntry struct {
	ID       string    `json:"id"`
	Instance string    `json:"instance"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Phase    string    `json:"phase"`
	Since    time.Time `json:"since"`
	Lend     bool      `json:"lend"` // made by the system, which gives the instance back
	Actor    string    `json:"actor"`
	Reason   string    `json:"reason"`
}

// Waves returns the waves, moves and upkeep orders; an ID selects one wave alone.
// It reports false if there is no wave of that ID.
func Waves(s model.State, id model.WaveID) (WavesView, bool) {
	v := WavesView{Waves: []WaveEntry{}, Moves: []MoveEntry{}, Upkeeps: []UpkeepEntry{}}
	for _, w := range s.Waves.All() {
		if id == "" || w.ID == id {
			v.Waves = append(v.Waves, WaveEntry{
				ID: string(w.ID), Pools: texts(w.Pools), Phase: w.Phase.String(), Pending: len(w.Pending), Running: texts(w.Running),
				Done: len(w.Done), Passed: texts(w.Passed), Step: w.Step, Faults: w.Faults, Actor: w.Actor,
				StartedAt: timeOf(w.StartedAt), EndedAt: timeOf(w.EndedAt), Reason: w.Reason,
			})
		}
	}
	if id != "" {
		return v, len(v.Waves) > 0
	}
	v.Upkeeps = upkeeps(s)
	for _, m := range s.Moves.All() {
		v.Moves = append(v.Moves, MoveEntry{
			ID: string(m.ID), Instance: string(m.Instance), From: string(m.From), To: string(m.To), Phase: m.Phase.String(),
			Since: timeOf(m.Since), Lend: m.Lend, Actor: m.Actor, Reason: m.Reason,
		})
	}
	return v, true
}

func texts[T ~string](list []T) []string {
	out := make([]string, len(list))
	for i, v := range list {
		out[i] = string(v)
	}
	return out
}
