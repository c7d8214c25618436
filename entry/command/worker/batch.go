package worker

import (
	"context"
	"time"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// renewalBatchDelay is how long a report that only renews leases waits to be
// committed together with those of other workers. A separate proposal costs the
// leader about 800 bytes of traffic, most of them for the call and for the messages
// between replicas.
const renewalBatchDelay = 10 * time.Second

// renewal is a report that only renews leases and waits to be committed.
type renewal struct {
	command model.ReportWork
	reply   chan result.Result
}

// Run commits reports that only renew leases in batches until ctx ends. After Stop
// it commits each one immediately. Reports that are waiting when ctx ends get the
// result Unknown.
func (h *Handler) Run(ctx context.Context) {
	var batch []renewal
	timer := time.NewTimer(renewalBatchDelay)
	defer timer.Stop()
	stopping := h.stopping
	for {
		select {
		case <-ctx.Done():
			replyAll(batch, nil)
			return
		case q := <-h.renewals:
			if len(batch) == 0 {
				timer.Reset(renewalBatchDelay)
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

// Stop makes Run commit the waiting reports immediately, so that they do not delay
// a shutdown. It may be called more than once.
func (h *Handler) Stop() { h.stopOnce.Do(func() { close(h.stopping) }) }

// commitAll proposes a batch in one call.
func (h *Handler) commitAll(ctx context.Context, batch []renewal) {
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
	replyAll(batch, results)
}

// replyAll sends each report of a batch its result; a missing result is Unknown.
func replyAll(batch []renewal, results []result.Result) {
	for i, q := range batch {
		r := result.New(result.Unknown, "the answer to the report was lost")
		if i < len(results) {
			r = results[i]
		}
		q.reply <- r
	}
}

// commitBatched adds a report that only renews leases to the next batch and waits
// for the result.
func (h *Handler) commitBatched(ctx context.Context, c model.ReportWork) result.Result {
	ctx, cancel := context.WithTimeout(ctx, renewalBatchDelay+reportTimeout)
	defer cancel()
	q := renewal{command: c, reply: make(chan result.Result, 1)}
	select {
	case h.renewals <- q:
	case <-ctx.Done():
		return result.New(result.Overloaded, "the report was not added to a batch of lease renewals before the deadline")
	}
	select {
	case r := <-q.reply:
		return r
	case <-ctx.Done():
		return result.New(result.Unknown, "the answer to the report was lost")
	}
}
