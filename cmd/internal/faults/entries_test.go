package faults

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// slotsPerTarget is the number of slots of a target, from docs/design.md.
const slotsPerTarget = 8

// Guards against a call that runs a second time when the caller resends it after its
// entry instance was killed, and against slots of that entry instance that are never
// freed or are assigned twice.
func TestKilledEntryGivesUnknownOutcomesAndFreesItsSlots(t *testing.T) {
	t.Parallel()
	s := Start(t, 2)
	killed, other := s.Entries[0], s.Entries[1]
	target := s.AddTarget(other)
	calls := startLoad(s, 2*slotsPerTarget, true, 300*time.Millisecond, killed)
	s.WaitUntil("the target runs 8 requests", func() bool { return target.Running() == slotsPerTarget })
	killed.Kill()
	lost := 0
	var resends sync.WaitGroup
	var unknown atomic.Int64
	for _, a := range calls.stop() {
		if a.reply.Done() || notConnected(a.reply.Err) {
			continue
		}
		lost++
		resends.Go(func() {
			if s.resendUntilResolved(other, a.call).Code == result.ClaimantLost {
				unknown.Add(int64(s.Runs(a.call.Key)))
			}
		})
	}
	resends.Wait()
	assert.Check(t, unknown.Load() > 0, "none of the %d calls without an answer had run on the target", lost)
	calling := startLoad(s, 2*slotsPerTarget, false, 100*time.Millisecond, other)
	s.WaitUntil("the target runs 8 requests again", func() bool { return target.Running() == slotsPerTarget })
	calling.progress(5 * slotsPerTarget)
	calling.stop()
	assert.Equal(t, target.Peak(), slotsPerTarget)
}

// resendUntilResolved resends a call whose answer was lost until its outcome is
// recorded as done or as unknown, and checks each answer against the number of runs
// that the targets have counted. A resend can exceed its deadline while it waits for
// a slot of a target whose owner was killed: the slot is free again 4 to 5 s after
// the kill, when the lease of the owner has expired, its last requests have settled
// and the target has listed its slots. No answer may say that the call did not run if
// it did.
func (s *Site) resendUntilResolved(entry *Process, c Call) (r Reply) {
	s.t.Helper()
	resolved := WaitWithin(waitTimeout, func() bool {
		r = s.Send(s.t.Context(), http.DefaultClient, entry, c)
		runs := s.Runs(c.Key)
		switch {
		case r.Done():
			assert.Check(s.t, runs == 1, "%s: %d runs", r, runs)
			return true
		case r.NotRun():
			assert.Check(s.t, runs == 0, "%s: %d runs", r, runs)
		default:
			known := r.Code == result.ClaimantLost || r.Code == result.TargetTimeout
			assert.Check(s.t, known && r.Outcome == result.OutcomeUnknown.String() && runs <= 1, "%s: %d runs", r, runs)
		}
		return r.Code == result.ClaimantLost
	})
	assert.Check(s.t, resolved, "the last answer was %s", r)
	return r
}

// Guards against an entry instance that restarts after it missed many changes and
// then serves with old state, or shows intermediate states as the current one. The
// replica in its data centre is frozen during the changes, so it offers old state
// first.
func TestReturningEntryIsReadyOnlyWithNewestRevision(t *testing.T) {
	t.Parallel()
	const missed = 500
	s := Start(t, 3)
	leader := s.Leader()
	lagging := (leader + 1) % replicaCount
	returning := s.Entries[lagging] // in the data centre of the replica
	upToDate := s.Entries[leader]
	returning.Kill()
	s.Controls[lagging].Signal(syscall.SIGSTOP)
	operator, base := s.OperatorAt("stream", s.Controls[leader].Address), model.Revision(1)
	target := s.AddTarget(upToDate)
	for i := range missed {
		if i == missed/2 { // one change of a target between the changes of the configuration
			assert.NilError(t, target.AnnounceLeaving(t.Context()))
		}
		r := operator.Submit(t.Context(), client.NewRequestID(), model.AcceptConfig{Base: base, Config: s.ConfigWithSiteName(fmt.Sprintf("missed-%d", i))})
		assert.Equal(t, r.Code, result.Accepted, "%s", r.Error())
		base = model.Revision(r.Revision)
	}
	s.WaitUntil("the connected entry instance has the newest revision", func() bool { return s.AllAtRevision(uint64(base), upToDate) })
	newest, _ := s.Readiness(upToDate)
	watch := startRevisionWatch(s, returning)
	s.Controls[lagging].Signal(syscall.SIGCONT)
	returning.Start()
	s.WaitUntil("the entry instance is ready", func() bool {
		r, ok := s.Readiness(returning)
		assert.Check(t, !ok || !r.Ready || r.Revision >= newest.Revision && r.Index >= newest.Index, "%+v is older than %+v", r, newest)
		return ok && r.Ready
	})
	watch.stop()
}

// Guards against requests that are interrupted when an entry instance and the leader
// are stopped gracefully under load.
func TestGracefulStopsInterruptNoRequest(t *testing.T) {
	t.Parallel()
	s := Start(t, 3)
	s.AddTarget(s.Entries...)
	s.AddTarget(s.Entries...)
	plain := startLoad(s, 2, false, 50*time.Millisecond, s.Entries...)
	once := startLoad(s, 2, true, 50*time.Millisecond, s.Entries...)
	stream := startChanges(s)
	plain.progress(30)
	once.progress(30)
	s.Entries[0].Signal(syscall.SIGTERM)
	assert.Check(t, s.Entries[0].Wait(), s.Entries[0].Log())
	plain.progress(30)
	leader := s.Controls[s.Leader()]
	leader.Signal(syscall.SIGTERM)
	assert.Check(t, leader.Wait(), leader.Log())
	stream.progress(5)
	once.progress(30)
	replies := append(plain.stop(), once.stop()...)
	stream.stop()
	refused := 0
	for _, a := range replies {
		if !a.reply.Complete {
			refused++
		}
		// A request that fails because the listener or an idle connection was closed
		// was not accepted; the caller's load balancer sends it to another instance.
		taken := a.reply.Err == nil || s.Runs(a.call.Key) > 0
		assert.Check(t, a.reply.Complete || a.reply.NotRun() || !taken, "%s: %s", a.entry.Name, a.reply)
	}
	checkOnce(s, nonIdempotent(replies), s.Entries[1:]...)
	t.Logf("%d requests, %d without a complete answer, none of these interrupted", len(replies), refused)
}

// notConnected reports whether the request failed because nothing listened. A load
// balancer then chooses another entry instance.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func nonIdempotent(list []callReply) (out []callReply) {
	for _, a := range list {
		if a.call.NonIdempotent {
			out = append(out, a)
		}
	}
	return out
}
