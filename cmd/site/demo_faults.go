package site

import (
	"context"
	"os"
	"path/filepath"
	"slices"

	"github.com/gravitational/trace"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/cmd/internal/instance"
	"lacewingturn.example/core/command/dispatch"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
	"lacewingturn.example/operator/replay"
	"lacewingturn.example/replica/record"
)

// killLeader kills the leader and checks that the other replicas take over.
func (d *Demo) killLeader(ctx context.Context) error {
	id := client.NewRequestID()
	runs := d.runsOf(d.failoverJob)
	original := d.submit(ctx, id, model.AcceptConfig{Base: 2, Config: d.config})
	leader := d.site.Leader()
	if leader == nil {
		return trace.NotFound("no control replica leads")
	}
	replies, err := d.underLoad(ctx, func() error {
		leader.Kill(ctx)
		return nil
	})
	if err != nil {
		return err
	}
	d.site.Controls = slices.DeleteFunc(d.site.Controls, func(p *instance.Process) bool { return p == leader })
	complete, first := countComplete(replies)
	d.outcomes.add(complete == len(replies), "requests go on while the leader is lost", "%d of %d complete%s", complete, len(replies), first)
	resent := d.submit(ctx, id, model.AcceptConfig{Base: 2, Config: d.config})
	d.outcomes.add(resent.Code == original.Code && resent.Revision == original.Revision, "a resent command gets its first result from the new leader",
		"first result %s, revision %d; result of the resend %s, revision %d", original.Code, original.Revision, resent.Code, resent.Revision)
	r := d.submit(ctx, client.NewRequestID(), model.AcceptConfig{Base: 3, Config: d.config})
	inForce := d.awaitInForce(ctx, 4)
	d.outcomes.add(r.Code == result.Accepted && inForce, "a change accepted by the new leader is in force on every entry instance",
		"%s, revision %d, in force on %d of %d", r.Code, r.Revision, d.countInForce(4), len(d.site.Entries))
	d.endFailoverJob(ctx, runs)
	return nil
}

func (d *Demo) stopAll(ctx context.Context) error {
	d.stopWorkers()
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	d.site.Targets = d.site.Targets[1:]
	err := d.site.Stop(ctx)
	d.outcomes.add(err == nil, "every process stops gracefully", "%v", err)
	return nil
}

// replayTraffic replays the traffic recorded by the entry instances with the default
// queue policy and returns the number of requests that completed.
func (d *Demo) replayTraffic() (requests int, err error) {
	for _, e := range d.site.Entries {
		f, err := os.Open(filepath.Join(d.site.Folder, e.Settings().Name+"-traffic.jsonl"))
		if err != nil {
			return requests, trace.ConvertSystemError(err)
		}
		recorded, err := replay.Read(f)
		_ = f.Close()
		if err != nil {
			return requests, trace.Wrap(err)
		}
		report, err := replay.Run(recorded, replay.Options{Policy: dispatch.Default})
		if err != nil {
			return requests, trace.Wrap(err)
		}
		requests += report.Completed
	}
	return requests, nil
}

// verifyRecords replays the control inputs recorded by each remaining replica and
// compares the state digests. Replicas that have applied the log up to the same index
// must have the same digest as well.
func (d *Demo) verifyRecords(context.Context) error {
	digests := map[model.Index]string{}
	commands, mismatches := 0, 0
	for _, c := range d.site.Controls {
		f, err := os.Open(filepath.Join(d.site.Folder, c.Settings().Name+"-control.jsonl"))
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		outcome, err := record.Replay(f)
		_ = f.Close()
		if err != nil {
			return trace.Wrap(err)
		}
		state := c.Replica.View().State
		digest, err := codec.Digest(state)
		if err != nil {
			return trace.Wrap(err)
		}
		if other, seen := digests[state.Index]; outcome.Digest != digest || seen && other != digest {
			mismatches++
		}
		digests[state.Index] = digest
		commands += outcome.Commands
	}
	d.outcomes.add(mismatches == 0, "replaying the recorded control inputs gives the state digest of every replica", "%d commands, %d digests differ", commands, mismatches)
	requests, err := d.replayTraffic()
	if err != nil {
		return err
	}
	d.outcomes.add(requests > 0, "the recorded traffic can be replayed with the queue policy of the entry instances", "%d requests", requests)
	return nil
}
