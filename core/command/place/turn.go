package place

import (
	"lacewingturn.example/core/command/share"
	"lacewingturn.example/core/model"
)

// maxTurnRuns is the number of runs that a workload starts in one turn, so that a wide step
// does not take all capacity before the next account has its turn. A gang is not split.
const maxTurnRuns = 8

// turn is how far the placement of a candidate has come that shares the workers with those
// of other accounts.
type turn struct {
	runs   int  // runs started in this turn
	paused bool // a task is left for another turn; the next three fields tell which
	round  int
	step   int
	task   int
}

// begin begins another turn.
func (t *turn) begin() { t.runs, t.paused = 0, false }

// started counts a run.
func (t *turn) started() {
	if t != nil {
		t.runs++
	}
}

// pauseIfUsedUp ends the turn before the task if it has started maxTurnRuns runs, and reports
// whether it has ended.
func (t *turn) pauseIfUsedUp(round, step, task int) bool {
	switch {
	case t == nil:
		return false
	case t.paused:
		return true
	case t.runs < maxTurnRuns:
		return false
	}
	t.paused, t.round, t.step, t.task = true, round, step, task
	return true
}

// placed reports whether an earlier turn has placed the whole step.
func (t *turn) placed(round, step int) bool {
	return t != nil && (round < t.round || round == t.round && step < t.step)
}

// firstTask returns the first task of the step that no earlier turn has placed.
func (t *turn) firstTask(round, step int) int {
	if t != nil && round == t.round && step == t.step {
		return t.task
	}
	return 0
}

// placeAll places the candidates, which are in scheduling order. Within a class, the accounts
// take turns.
func (p *planner) placeAll(list []*candidate) {
	if p.shares == nil {
		for _, c := range list {
			if p.isFull() {
				return
			}
			p.placeIfRoom(c)
		}
		return
	}
	for len(list) > 0 {
		n := 1
		for n < len(list) && compareClasses(list[0], list[n]) == 0 {
			n++
		}
		p.placeClass(list[:n])
		list = list[n:]
	}
}

func (p *planner) placeIfRoom(c *candidate) {
	if p.pools[c.pool].hasCapacity() {
		p.place(c)
	}
}

// placeClass places the candidates of one class, those of the account with the smallest
// weighted share first.
func (p *planner) placeClass(class []*candidate) {
	turns := share.NewTurns(p.shares, class, func(c *candidate) *share.Account { return c.account })
	progress := make([]turn, len(class))
	for i, c := range class {
		c.turn = &progress[i]
	}
	for c, ok := turns.Next(); ok && !p.isFull(); c, ok = turns.Next() {
		c.turn.begin()
		p.placeIfRoom(c)
		turns.End(!c.turn.paused)
	}
}

// totalFree returns the sum of the free capacity of the workers.
func totalFree(workers []Worker) model.Resources {
	var sum model.Resources
	for i := range workers {
		sum = sum.Add(workers[i].Free)
	}
	return sum
}
