package command

import (
	"context"
	"sync"
)

// maxTasks is the maximum number of snapshots queued for saving or sending, and of
// new senders queued for their start. The machine starts at most one save, and one
// transfer for each member.
const maxTasks = 64

// tasks runs long operations outside of the control loop and the storage goroutine
// and posts their results to the machine.
type tasks struct{ in chan func() any }

func newTasks() *tasks { return &tasks{in: make(chan func() any, maxTasks)} }

// start queues a task for the machine. It does not block: maxTasks is above the
// number of tasks that the machine starts.
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
			wg.Go(func() { _ = post(ctx, work()) }) // fails only after the loop or ctx has ended
		}
	}
}
