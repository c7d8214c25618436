package worker

import (
	"context"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// gatherTime is how long a report without news waits for those of other
// workers. A proposal of its own costs the leader some 800 bytes, most of them
// for the call and for the messages between replicas.
const gatherTime = 10 * time.Second

// quiet is a report without news that waits to be committed.
type quiet struct {
	command model.ReportWork
	reply   chan result.Result
}

// Run gathers reports without news and commits them together until ctx ends.
// After Stop it commits each at once.
func (h *Handler) Run(ctx context.Context) {
	var batch []quiet
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	stopping := h.stopping
	for {
		select {
		case <-ctx.Done():
			answer(batch, nil)
			return
		case q := <-h.quiet:
			if len(batch) == 0 {
				timer.Reset(gatherTime)
			}
			batch = append(batch, q)
			if len(batch) < maxReports && stopping != nil {
				continue
			}
		case <-timer.C:
		case <-stopping:
			stopping = nil
		}
		if len(batch) > 0 {
			go h.commitAll(ctx, batch)
			batch = nil
		}
	}
}

// Stop commits the reports that wait, so that they do not hold up a shutdown.
func (h *Handler) Stop() { h.stopOnce.Do(func() { close(h.stopping) }) }

// commitAll proposes a batch in one call.
func (h *Handler) commitAll(ctx context.Context, batch []quiet) {
	commands := make([]model.Envelope, len(batch))
	for i, q := range batch {
		commands[i].Command = q.command
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	results, err := h.control.Propose(ctx, commands)
	if err != nil {
		results = nil
	}
	answer(batch, results)
}

// answer hands out the results of a batch; those that are missing are unknown.
func answer(batch []quiet, results []result.Result) {
	for i, q := range batch {
		r := result.New(result.Unknown, "the answer to the report was lost")
		if i < len(results) {
			r = results[i]
		}
		q.reply <- r
	}
}

// gather waits for the commit of a report without news.
func (h *Handler) gather(ctx context.Context, c model.ReportWork) result.Result {
	ctx, cancel := context.WithTimeout(ctx, gatherTime+reportTimeout)
	defer cancel()
	q := quiet{command: c, reply: make(chan result.Result, 1)}
	select {
	case h.quiet <- q:
	case <-ctx.Done():
		return result.New(result.Overloaded, "the report was not taken before the deadline")
	}
	select {
	case r := <-q.reply:
		return r
	case <-ctx.Done():
		return result.New(result.Unknown, "the answer to the report was lost")
	}
}
