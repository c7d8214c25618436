package model

import (
	"iter"
	"slices"
	"unsafe"
)

// Rounds is the progress of all rounds of a workload. It is immutable. Its memory follows what
// the runs have left behind: a round that has not begun takes none, nor does one of which each
// task has succeeded in its first run.
type Rounds struct {
	list vector[Round]
	// untouched is a round that has not begun, final one of which each task has succeeded in
	// its first run.
	untouched, final Round
	// complete is the number of rounds that are complete; all before next are.
	complete, next int
	// begun is the number of rounds that are not complete and in which a run was started.
	begun int
	// done is the number of tasks that have succeeded, in all rounds together.
	done int
	// bytes is the memory that the rounds in list take beyond the list itself.
	bytes int64
}

// Round is one repetition of the steps of a workload. It is immutable. Replacing a step copies one
// block of steps and the list of blocks.
type Round struct {
	// first holds the first stepsPerBlock steps, blocks the others.
	first  []StepState
	blocks [][]StepState
	length int
	// complete is the number of steps that are complete, done that of the tasks that have
	// succeeded, in all steps together.
	complete, done int
	// bytes is the memory that the progress of the tasks takes.
	bytes int64
}

// stepsPerBlock is the number of steps in a block of a round.
const stepsPerBlock = 32

// NewRound returns a round with the given progress of its steps.
func NewRound(steps []StepState) Round {
	r := Round{first: steps[:min(len(steps), stepsPerBlock):len(steps)], length: len(steps)}
	r.blocks = slices.Collect(slices.Chunk(steps[len(r.first):], stepsPerBlock))
	for i := range steps {
		r.count(&steps[i], 1)
	}
	return r
}

// count adds a step to the sums n times.
func (r *Round) count(step *StepState, n int) {
	if step.Complete() {
		r.complete += n
	}
	r.done += n * step.Done
	r.bytes += int64(n) * step.Tasks.bytes()
}

// Len returns the number of steps.
func (r Round) Len() int { return r.length }

// Step returns one step, which must not be modified.
func (r Round) Step(i int) *StepState {
	if i < len(r.first) {
		return &r.first[i]
	}
	i -= len(r.first)
	return &r.blocks[i/stepsPerBlock][i%stepsPerBlock]
}

// Steps iterates over the steps, which must not be modified.
func (r Round) Steps() iter.Seq2[int, *StepState] {
	return func(yield func(int, *StepState) bool) {
		for i := range r.length {
			if !yield(i, r.Step(i)) {
				return
			}
		}
	}
}

// withStep returns the round with another state of one step.
func (r Round) withStep(i int, state StepState) Round {
	r.count(r.Step(i), -1)
	r.count(&state, 1)
	if i < len(r.first) {
		r.first = slices.Clone(r.first)
		r.first[i] = state
		return r
	}
	b, k := (i-len(r.first))/stepsPerBlock, (i-len(r.first))%stepsPerBlock
	r.blocks = slices.Clone(r.blocks)
	r.blocks[b] = slices.Clone(r.blocks[b])
	r.blocks[b][k] = state
	return r
}

func (r Round) isComplete() bool { return r.complete == r.length }

// IsFinal reports whether each task has succeeded in its first run and nothing else is left.
func (r Round) IsFinal() bool {
	if !r.isComplete() || r.bytes > 0 {
		return false
	}
	for _, step := range r.Steps() {
		if step.Gang != nil {
			return false
		}
	}
	return true
}

// NewRounds returns the progress of n rounds that have not begun, of steps with the given numbers
// of tasks.
func NewRounds(n int, tasks []int) *Rounds {
	untouched, final := make([]StepState, len(tasks)), make([]StepState, len(tasks))
	for i, count := range tasks {
		untouched[i] = StepState{Tasks: NewTaskList(count)}
		final[i] = StepState{Done: count, Tasks: finishedTaskList(count)}
	}
	return &Rounds{list: vector[Round]{length: n}, untouched: NewRound(untouched), final: NewRound(final)}
}

// Len returns the number of rounds.
func (r *Rounds) Len() int {
	if r == nil {
		return 0
	}
	return r.list.length
}

// TaskCounts returns the number of tasks of each step.
func (r *Rounds) TaskCounts() []int {
	counts := make([]int, r.untouched.Len())
	for i := range counts {
		counts[i] = r.untouched.Step(i).Tasks.Len()
	}
	return counts
}

// At returns one round.
func (r *Rounds) At(i int) Round { return r.list.at(i, r.untouched, r.final) }

// Step returns one step of one round.
func (r *Rounds) Step(round, step int) StepState { return *r.At(round).Step(step) }

// WithStep returns the rounds with another state of one step of one round.
func (r *Rounds) WithStep(i, step int, state StepState) *Rounds {
	old := r.At(i)
	return r.with(i, old, old.withStep(step, state))
}

// with returns the rounds with another state of one round.
func (r *Rounds) with(i int, old, round Round) *Rounds {
	next := *r
	if round.IsFinal() {
		round = r.final
	}
	next.list = r.list.with(i, round, r.untouched, r.final, Round.IsFinal)
	next.replaced(old, round)
	return &next
}

// Restore sets a round that has not begun, in place. It is for rounds that are being read and
// that nobody else has yet.
func (r *Rounds) Restore(i int, round Round) {
	old := r.At(i)
	if round.IsFinal() {
		round = r.final
	}
	r.list.put(i, round, r.untouched, r.final, Round.IsFinal)
	r.replaced(old, round)
}

// Final returns a round of which each task has succeeded in its first run.
func (r *Rounds) Final() Round { return r.final }

// replaced brings the sums up to date after a round was replaced in the list.
func (r *Rounds) replaced(old, round Round) {
	r.bytes += r.bytesOf(round) - r.bytesOf(old)
	r.done += round.done - old.done
	if r.isBegun(old) {
		r.begun--
	}
	if r.isBegun(round) {
		r.begun++
	}
	if round.isComplete() && !old.isComplete() {
		r.complete++
	}
	for r.next < r.list.length && r.At(r.next).isComplete() {
		r.next++
	}
}

// Complete reports whether all rounds are complete.
func (r *Rounds) Complete() bool { return r.complete == r.list.length }

// Completed returns the number of rounds that are complete.
func (r *Rounds) Completed() int { return r.complete }

// FirstUnfinished returns the first round that is not complete.
func (r *Rounds) FirstUnfinished() int {
	if r == nil {
		return 0
	}
	return r.next
}

// Done returns the number of tasks that have succeeded, in all rounds together.
func (r *Rounds) Done() int { return r.done }

// Unfinished iterates over the rounds that are not complete.
func (r *Rounds) Unfinished() iter.Seq2[int, Round] {
	return r.filter(r.FirstUnfinished(), isFinalLeaf, func(round Round) bool { return !round.isComplete() })
}

// Touched iterates over the rounds in which a run was started.
func (r *Rounds) Touched() iter.Seq2[int, Round] {
	return r.filter(0, isUntouchedLeaf, func(round Round) bool { return !r.isUntouched(round) })
}

// Begun iterates over the rounds in which a run was started. It leaves out those of which each
// task has succeeded in its first run.
func (r *Rounds) Begun() iter.Seq2[int, Round] {
	return r.filter(0, isUniformLeaf, func(round Round) bool { return !r.isShared(round) })
}

// filter iterates over the rounds from a position on that the filter includes.
func (r *Rounds) filter(from int, skip func([]Round) bool, include func(Round) bool) iter.Seq2[int, Round] {
	return func(yield func(int, Round) bool) {
		if r == nil {
			return
		}
		for i, round := range r.list.values(from, skip, r.untouched, r.final) {
			if include(round) && !yield(i, round) {
				return
			}
		}
	}
}

func (r *Rounds) isUntouched(round Round) bool {
	return isSame(round, r.untouched)
}

// isBegun reports whether the round is not complete and a run was started in it.
func (r *Rounds) isBegun(round Round) bool { return !round.isComplete() && !r.isUntouched(round) }

// isSame reports whether two rounds have the same memory. If a step beyond the first block was
// replaced, the list of blocks is another one.
func isSame(a, b Round) bool {
	return unsafe.SliceData(a.first) == unsafe.SliceData(b.first) && unsafe.SliceData(a.blocks) == unsafe.SliceData(b.blocks)
}

// isShared reports whether the round has the same memory as all others that have not begun or
// are final.
func (r *Rounds) isShared(round Round) bool {
	return r.isUntouched(round) || isSame(round, r.final)
}

// Started reports whether any run was started.
func (r *Rounds) Started() bool {
	return r != nil && r.complete+r.begun > 0
}

// Bytes returns the memory that the progress takes, in bytes.
func (r *Rounds) Bytes() int64 {
	if r == nil {
		return 0
	}
	return r.bytes + int64(r.list.stored)*int64(unsafe.Sizeof(Round{}))
}

// bytesOf returns the memory of a round beyond its place in the list.
func (r *Rounds) bytesOf(round Round) int64 {
	if r.isShared(round) {
		return 0
	}
	return int64(round.length)*int64(unsafe.Sizeof(StepState{})) + round.bytes
}
