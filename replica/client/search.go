package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingturn.example/node/wait"
)

const (
	// attemptTimeout bounds one call, so that a leader that was cut off does not
	// use up the deadline. It is longer than a commit under load.
	attemptTimeout = time.Second
	// minBackoff and maxBackoff bound the wait between rounds. An election takes
	// 0.5 to 0.9 s, so that about five rounds fall into it.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// reply is what one replica said to a call that only the leader answers.
type reply struct {
	final  bool   // no other replica has to be asked
	silent bool   // the replica did not answer
	leader string // where the leader is, if the replica told
}

// search asks the replicas in turn, the leader that one of them names next, until
// a reply is final or ctx ends.
func (c *Client) search(ctx context.Context, ask func(address string) reply) {
	silent := map[string]bool{}
	for backoff := minBackoff; ; backoff = min(backoff*2, maxBackoff) {
		for _, address := range c.candidates(silent) {
			r := ask(address)
			if r.final {
				c.lost.Store(r.silent)
				return
			}
			if ctx.Err() != nil {
				c.giveUp(ctx)
				return
			}
			silent[address] = r.silent
			if r.leader != "" && r.leader != address && !silent[r.leader] {
				c.leader.Store(&r.leader)
				break
			}
		}
		if !pause(ctx, backoff) {
			c.giveUp(ctx)
			return
		}
	}
}

// giveUp notes that no leader was found, unless the caller has gone before the deadline.
func (c *Client) giveUp(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.lost.Store(true)
	}
}

// candidates lists the last known leader and then the other members in random
// order; seeds are added while no member answers. Replicas that were silent
// before in the same call come last, so that a leader that is gone is asked once
// in each round while the others tell who leads next.
func (c *Client) candidates(silent map[string]bool) []string {
	list := slices.Clone(*c.members.Load())
	if !slices.ContainsFunc(list, func(a string) bool { return !silent[a] }) {
		list = append(list, slices.DeleteFunc(slices.Clone(*c.seeds.Load()), func(a string) bool { return slices.Contains(list, a) })...)
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if leader := c.leader.Load(); leader != nil {
		list = append([]string{*leader}, slices.DeleteFunc(list, func(a string) bool { return a == *leader })...)
	}
	answering := slices.DeleteFunc(slices.Clone(list), func(a string) bool { return silent[a] })
	return append(answering, slices.DeleteFunc(list, func(a string) bool { return !silent[a] })...)
}

// attemptTime returns how long one call may take: half of what is left, so that
// a replica that is silent leaves time for another one.
func attemptTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return attemptTimeout
	}
	return min(attemptTimeout, max(time.Until(deadline)/2, minBackoff))
}

// pause waits between rounds, with jitter; it reports false when ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d/2+rand.N(d/2)) == nil
}
