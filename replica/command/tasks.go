package command

import (
	"context"
	"sync"
)

// maxTasks bounds the snapshots that are saved or sent at one time. The machine
// starts at most one save and one transfer for each member.
const maxTasks = 64

// tasks runs work that takes long next to the storage goroutine and posts what
// it returns to the machine.
type tasks struct{ in chan func() any }

func newTasks() *tasks { return &tasks{in: make(chan func() any, maxTasks)} }

// start is called by the machine and does not wait.
func (t *tasks) start(work func() any) { t.in <- work }

// run starts a goroutine for each task and returns after ctx has ended and all
// of them have finished.
func (t *tasks) run(ctx context.Context, post func(context.Context, any) error) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-t.in:
			wg.Go(func() { _ = post(ctx, work()) }) // fails only when the loop has ended
		}
	}
}
