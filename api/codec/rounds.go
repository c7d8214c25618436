package codec

import (
	"fmt"
	"slices"

	"lacewingturn.example/core/model"
)

// workloadImage is a workload in a snapshot. It takes the place of its field Rounds.
type workloadImage struct {
	model.Workload
	Rounds roundsImage
}

// roundsImage is the progress of a workload. It lists only rounds and tasks with progress, and
// those that have succeeded in their first run as ranges, so that a snapshot does not grow with
// the number of rounds.
//
// The releases before wrote an array with each task of each round, see fullRound, which is still
// read. They refuse a snapshot with a map in its place.
type roundsImage struct{ rounds *model.Rounds }

// roundsMap is the encoded form of roundsImage.
type roundsMap struct {
	Length int          `cbor:"1,keyasint"`
	Tasks  []int        `cbor:"2,keyasint"` // of each step
	Final  []int        `cbor:"3,keyasint,omitempty"`
	Begun  []roundEntry `cbor:"4,keyasint,omitempty"`
}

// roundEntry is a round with progress.
type roundEntry struct {
	_     struct{} `cbor:",toarray"`
	Round int
	Steps []stepEntry
}

// stepEntry is the progress of a step. Final holds ranges like roundsMap.
type stepEntry struct {
	Final []int               `cbor:"1,keyasint,omitempty"`
	Begun []taskEntry         `cbor:"2,keyasint,omitempty"`
	Gang  *model.GangProgress `cbor:"3,keyasint,omitempty"`
}

type taskEntry struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Task  model.Task
}

// fullRound is a round in the form of the releases before.
type fullRound struct{ Steps []fullStep }

type fullStep struct {
	Done  int
	Tasks []model.Task
	Gang  *model.GangProgress `cbor:",omitempty"`
}

// ranges collects positions in ascending order as pairs: the number of positions left out, and
// the length of the range after them.
type ranges struct {
	pairs []int
	next  int
}

func (r *ranges) add(i int) {
	if i != r.next || len(r.pairs) == 0 {
		r.pairs = append(r.pairs, i-r.next, 0)
	}
	r.pairs[len(r.pairs)-1]++
	r.next = i + 1
}

// forRanges calls the function for each position in ranges over a list of the given length.
func forRanges(pairs []int, length int, do func(int)) error {
	next := 0
	for k := 0; k+1 < len(pairs); k += 2 {
		if pairs[k] < 0 || pairs[k+1] < 0 || pairs[k] > length-next || pairs[k+1] > length-next-pairs[k] {
			return fmt.Errorf("codec: a range ends beyond %d", length)
		}
		next += pairs[k]
		for range pairs[k+1] {
			do(next)
			next++
		}
	}
	return nil
}

// MarshalCBOR implements cbor.Marshaler.
func (r roundsImage) MarshalCBOR() ([]byte, error) {
	if r.rounds == nil {
		return encoder.Marshal(nil)
	}
	m := roundsMap{Length: r.rounds.Len(), Tasks: r.rounds.TaskCounts()}
	var final ranges
	for i, round := range r.rounds.Touched() {
		if round.IsFinal() {
			final.add(i)
			continue
		}
		entry := roundEntry{Round: i}
		for _, step := range round.Steps() {
			entry.Steps = append(entry.Steps, encodeStep(*step))
		}
		m.Begun = append(m.Begun, entry)
	}
	m.Final = final.pairs
	return encoder.Marshal(m)
}

func encodeStep(step model.StepState) stepEntry {
	entry := stepEntry{Gang: step.Gang}
	var final ranges
	for k, task := range step.Tasks.Touched() {
		if task.IsFinal() {
			final.add(k)
		} else {
			entry.Begun = append(entry.Begun, taskEntry{Index: k, Task: task})
		}
	}
	entry.Final = final.pairs
	return entry
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (r *roundsImage) UnmarshalCBOR(data []byte) error {
	const majorType, array = 0xe0, 0x80
	if data[0]&majorType == array {
		var full []fullRound
		if err := decoder.Unmarshal(data, &full); err != nil {
			return err
		}
		return r.restoreFull(full)
	}
	var m *roundsMap
	if err := decoder.Unmarshal(data, &m); err != nil || m == nil {
		return err
	}
	return r.restore(*m)
}

// maxLength bounds the number of rounds and that of all tasks of a round that are read.
const maxLength = 1 << 20

// newRounds returns rounds that have not begun, or an error if their size is impossible.
func newRounds(n int, tasks []int) (*model.Rounds, error) {
	sum := 0
	for _, count := range tasks {
		if count < 1 || count > maxLength-sum {
			return nil, fmt.Errorf("codec: a round with a step of %d tasks after %d", count, sum)
		}
		sum += count
	}
	if n < 1 || n > maxLength {
		return nil, fmt.Errorf("codec: %d rounds", n)
	}
	return model.NewRounds(n, tasks), nil
}

func (r *roundsImage) restore(m roundsMap) error {
	rounds, err := newRounds(m.Length, m.Tasks)
	if err != nil {
		return err
	}
	if err := forRanges(m.Final, m.Length, func(i int) { rounds.Restore(i, rounds.Final()) }); err != nil {
		return err
	}
	for _, entry := range m.Begun {
		if entry.Round < 0 || entry.Round >= m.Length || len(entry.Steps) != len(m.Tasks) {
			return fmt.Errorf("codec: round %d with %d steps of %d with %d", entry.Round, len(entry.Steps), m.Length, len(m.Tasks))
		}
		var steps []model.StepState
		for j, step := range entry.Steps {
			state, err := decodeStep(step, m.Tasks[j])
			if err != nil {
				return err
			}
			steps = append(steps, state)
		}
		rounds.Restore(entry.Round, model.NewRound(steps))
	}
	r.rounds = rounds
	return nil
}

func decodeStep(entry stepEntry, tasks int) (model.StepState, error) {
	state := model.StepState{Tasks: model.NewTaskList(tasks), Gang: entry.Gang}
	err := forRanges(entry.Final, tasks, func(k int) { state.Restore(k, model.SucceededTask) })
	for _, task := range entry.Begun {
		if task.Index < 0 || task.Index >= tasks {
			return state, fmt.Errorf("codec: task %d of %d", task.Index, tasks)
		}
		state.Restore(task.Index, task.Task)
	}
	return state, err
}

// restoreFull restores rounds in the form of the releases before.
func (r *roundsImage) restoreFull(full []fullRound) error {
	if len(full) == 0 {
		return nil
	}
	m := roundsMap{Length: len(full)}
	for _, step := range full[0].Steps {
		m.Tasks = append(m.Tasks, len(step.Tasks))
	}
	for i, round := range full {
		if !slices.EqualFunc(round.Steps, m.Tasks, func(s fullStep, n int) bool { return len(s.Tasks) == n }) {
			return fmt.Errorf("codec: the steps of round %d differ from those of the first one", i)
		}
		if entry, begun := entryOf(i, round); begun {
			m.Begun = append(m.Begun, entry)
		}
	}
	return r.restore(m)
}

// entryOf returns the tasks with progress of a round, and whether there are any.
func entryOf(i int, round fullRound) (entry roundEntry, begun bool) {
	entry.Round = i
	for _, step := range round.Steps {
		s := stepEntry{Gang: step.Gang}
		for k, task := range step.Tasks {
			if task.HasProgress() {
				s.Begun = append(s.Begun, taskEntry{Index: k, Task: task})
				begun = true
			}
		}
		entry.Steps = append(entry.Steps, s)
	}
	return entry, begun
}

// fullRounds returns rounds in the form of the releases before.
func fullRounds(rounds *model.Rounds) []fullRound {
	var out []fullRound
	for i := range rounds.Len() {
		var full fullRound
		for _, step := range rounds.At(i).Steps() {
			s := fullStep{Done: step.Done, Gang: step.Gang}
			for _, task := range step.Tasks.All() {
				s.Tasks = append(s.Tasks, task)
			}
			full.Steps = append(full.Steps, s)
		}
		out = append(out, full)
	}
	return out
}

// encodeWorkloads returns the workloads as they are stored in a snapshot.
func encodeWorkloads(list []model.Workload) []workloadImage {
	out := make([]workloadImage, len(list))
	for i, w := range list {
		out[i] = workloadImage{w, roundsImage{w.Rounds}}
	}
	return out
}

// decodeWorkloads is the inverse of encodeWorkloads.
func decodeWorkloads(list []workloadImage) ([]model.Workload, error) {
	out := make([]model.Workload, len(list))
	for i := range list {
		w := list[i].Workload
		w.Rounds = list[i].Rounds.rounds
		if !hasTasks(w) {
			return nil, fmt.Errorf("codec: the progress of workload %s does not match its steps", w.ID)
		}
		out[i] = w
	}
	return out, nil
}

// hasTasks reports whether the progress of the workload is that of its steps.
func hasTasks(w model.Workload) bool {
	if w.Rounds.Len() == 0 {
		return len(w.Steps) == 0
	}
	counts := w.Rounds.TaskCounts()
	return slices.EqualFunc(w.Steps, counts, func(step model.Step, n int) bool { return step.Count == n })
}
