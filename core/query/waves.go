package query

import (
	"time"

	"lacewingturn.example/core/model"
)

// WavesView is the body of the waves query. It includes ended waves and moves that
// are still kept.
type WavesView struct {
	Waves   []WaveEntry   `json:"waves"`
	Moves   []MoveEntry   `json:"moves"`
	Upkeeps []UpkeepEntry `json:"upkeeps"`
}

// WaveEntry is one maintenance wave in the waves view.
type WaveEntry struct {
	ID        string    `json:"id"`
	Pools     []string  `json:"pools"`
	Phase     string    `json:"phase"`
	Pending   int       `json:"pending"`
	Running   []string  `json:"running"` // instances in maintenance
	Done      int       `json:"done"`
	Passed    []string  `json:"passed"` // instances that were skipped
	Step      int       `json:"step"`
	Faults    int       `json:"faults"` // instances that failed after maintenance, see model.Wave
	Actor     string    `json:"actor"`
	StartedAt time.Time `json:"started_at"`
	EndedAt   time.Time `json:"ended_at"`
	Reason    string    `json:"reason"`
}

// MoveEntry is one move of an instance in the waves view.
type MoveEntry struct {
	ID       string    `json:"id"`
	Instance string    `json:"instance"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	Phase    string    `json:"phase"`
	Since    time.Time `json:"since"`
	Lend     bool      `json:"lend"` // started by the system, which returns the instance later
	Actor    string    `json:"actor"`
	Reason   string    `json:"reason"`
}

// Waves returns all waves, moves and upkeep orders, or only the wave with the given
// ID if it is not empty. It reports false if there is no wave with that ID.
func Waves(s model.State, id model.WaveID) (WavesView, bool) {
	v := WavesView{Waves: []WaveEntry{}, Moves: []MoveEntry{}, Upkeeps: []UpkeepEntry{}}
	for _, w := range s.Waves.All() {
		if id == "" || w.ID == id {
			v.Waves = append(v.Waves, WaveEntry{
				ID: string(w.ID), Pools: toStrings(w.Pools), Phase: w.Phase.String(), Pending: len(w.Pending), Running: toStrings(w.Running),
				Done: len(w.Done), Passed: toStrings(w.Passed), Step: w.Step, Faults: w.Faults, Actor: w.Actor,
				StartedAt: utcTime(w.StartedAt), EndedAt: utcTime(w.EndedAt), Reason: w.Reason,
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
			Since: utcTime(m.Since), Lend: m.Lend, Actor: m.Actor, Reason: m.Reason,
		})
	}
	return v, true
}

func toStrings[T ~string](list []T) []string {
	out := make([]string, len(list))
	for i, v := range list {
		out[i] = string(v)
	}
	return out
}
