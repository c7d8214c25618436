package site

import (
	"context"
	"fmt"
	"net/http"

	"lacewingturn.example/core/result"
)

func (d *Demo) startTargets(ctx context.Context) error {
	ready := eventually(ctx, func() bool { return d.readyEntries(ctx) == len(d.site.Entries) })
	d.outcomes.add(ready, "every entry instance reports ready", "%d of %d", d.readyEntries(ctx), len(d.site.Entries))
	if err := d.site.StartTargets(ctx, d.config); err != nil {
		return err
	}
	known := func() int {
		minKnown := len(d.site.Targets)
		for _, e := range d.site.Entries {
			minKnown = min(minKnown, e.Entry.Source.View().Traffic.Targets.Len())
		}
		return minKnown
	}
	allKnown := eventually(ctx, func() bool { return known() == len(d.site.Targets) })
	d.outcomes.add(allKnown, "every target that announced itself to one entry instance is known to all of them", "%d of %d", known(), len(d.site.Targets))
	return nil
}

func (d *Demo) readyEntries(ctx context.Context) int {
	n := 0
	for _, url := range d.site.EntryURLs() {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
		if err != nil {
			continue
		}
		resp, err := d.caller.client.Do(req)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n++
		}
	}
	return n
}

func (d *Demo) playWorkload(ctx context.Context) error {
	calls, err := readWorkload()
	if err != nil {
		return err
	}
	replies := d.caller.play(ctx, calls)
	complete, first := countComplete(replies)
	d.outcomes.add(complete == len(replies), "every caller gets the complete answer to its own request", "%d of %d%s", complete, len(replies), first)
	once, resent, recorded := 0, 0, 0
	for _, r := range replies {
		if r.key == "" {
			continue
		}
		once++
		if r.resent != nil {
			resent++
			if r.resent.outcome == result.OutcomeDone.String() {
				recorded++
			}
		}
	}
	runs, maxRuns := d.executions(replies)
	d.outcomes.add(runs == once && maxRuns == 1, "each non-idempotent request runs exactly once, also when it is resent to another entry instance",
		"%d requests, %d executions, at most %d each", once, runs, maxRuns)
	d.outcomes.add(recorded == resent, "each resend gets the recorded outcome", "%d of %d", recorded, resent)
	peak := 0
	for _, t := range d.site.Targets {
		peak = max(peak, t.Peak())
	}
	d.outcomes.add(peak <= 8, "no target runs more than its 8 slots", "peak %d", peak)
	return nil
}

// countComplete returns the number of complete answers and a description of the first
// reply that is not one, empty if there is none.
func countComplete(replies []reply) (n int, incomplete string) {
	for _, r := range replies {
		if r.complete {
			n++
		} else if incomplete == "" {
			incomplete = fmt.Sprintf("; %s: status %d, result %d, %v", r.call.ID, r.status, r.code, r.err)
		}
	}
	return n, incomplete
}

// executions returns how often the targets executed the idempotency keys of the
// replies: in total, and the maximum for one key.
func (d *Demo) executions(replies []reply) (total, maxPerKey int) {
	count := map[string]int{}
	for _, t := range d.site.Targets {
		for key, n := range t.Executions() {
			count[key] += n
		}
	}
	for _, r := range replies {
		total += count[r.key]
		maxPerKey = max(maxPerKey, count[r.key])
	}
	return total, maxPerKey
}
