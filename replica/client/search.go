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
	// attemptTimeout is the timeout of one call. It keeps a partitioned leader from
	// using up the deadline and is longer than a commit under load.
	attemptTimeout = time.Second
	// minBackoff and maxBackoff limit the backoff between two calls of a search.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// reply is the outcome of a call to one replica that only the leader can complete.
type reply struct {
	final  bool // no other replica needs to be tried
	silent bool // the replica did not respond
}

// presumedLeader is a replica that probably leads.
type presumedLeader struct {
	address   string
	confirmed bool // it has said just now that it leads
}

// callTime returns the timeout of one call to the replica. One that has not confirmed
// that it leads leaves time for another one.
func (l presumedLeader) callTime(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok && l.confirmed {
		return min(attemptTimeout, time.Until(deadline))
	}
	return attemptTime(ctx)
}

// search calls the leader until a reply is final or ctx ends. It calls the last known
// leader first. After a reply that is not final it waits for the lookup of the leader that
// all calls share, so that the replicas are not asked by each waiting call while they elect
// a leader, and no command is sent to a replica that may not lead.
func (c *Client) search(ctx context.Context, call func(presumedLeader) reply) {
	leader := presumedLeader{address: c.knownLeader()}
	for backoff := minBackoff; ; backoff = min(backoff*2, maxBackoff) {
		if leader.address != "" {
			r := call(leader)
			if r.final {
				c.noRecentLeader.Store(r.silent)
				return
			}
			c.forgetLeader(leader.address)
			if !pause(ctx, backoff) {
				break
			}
		}
		leader = presumedLeader{address: c.awaitLeader(ctx, leader.address), confirmed: true}
		if leader.address == "" {
			break
		}
	}
	c.recordNoLeader(ctx)
}

// recordNoLeader records that no leader was found if the deadline has expired. A
// call that its caller cancelled shows nothing about the leader.
func (c *Client) recordNoLeader(ctx context.Context) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.noRecentLeader.Store(true)
	}
}

// candidates returns the last known leader followed by the other members in random
// order; the seeds are added while no member responds. Replicas that have not
// responded earlier in the same lookup come last, so that a failed leader is asked
// once per round while the other replicas elect and name a new one.
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

// attemptTime returns the timeout of one call: half of the remaining time, but at
// least minBackoff and at most attemptTimeout, so that a replica that does not respond
// leaves time for another one.
func attemptTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return attemptTimeout
	}
	return min(attemptTimeout, max(time.Until(deadline)/2, minBackoff))
}

// pause waits between calls for a random time between d/2 and d. It returns false if
// ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	return wait.Sleep(ctx, d/2+rand.N(d/2)) == nil
}
