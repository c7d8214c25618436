package faults

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/cmd/site"
	"lacewingturn.example/core/result"
)

// leavingBound is the longest time that a leaving target may still get new work, from docs/design.md.
const leavingBound = 3 * time.Second

// Guards against entry instances that send work to a target that has left. One entry
// instance is frozen while the target leaves and continues later; the other is
// partitioned from all replicas and is not told that the target has left.
func TestLeavingTargetGetsNothingFromFrozenOrIsolatedEntry(t *testing.T) {
	t.Parallel()
	s := Start(t, 3)
	connected, frozen, isolated := s.Entries[0], s.Entries[1], s.Entries[2]
	for range 6 { // the hash of the names of 6 targets gives each entry instance some of them
		s.AddTarget(connected)
	}
	leaving := s.Targets[:4]
	calls := startLoad(s, 4, false, 10*time.Millisecond, s.Entries...)
	calls.progress(200)
	s.WaitUntil("all targets are used", func() bool { return minServed(s.Targets) > 20 })

	for _, r := range s.ReplicaRelays {
		r.CutFrom(isolated.PID(), Both)
	}
	frozen.Signal(syscall.SIGSTOP)
	began := time.Now()
	for _, target := range leaving {
		assert.NilError(t, target.AnnounceLeaving(t.Context()))
	}
	s.WaitUntil("the bound has passed", func() bool { return time.Since(began) > leavingBound })
	served := totalServed(leaving)
	var after time.Duration
	for _, target := range leaving {
		after = max(after, target.LastArrival().Sub(began))
	}
	assert.Check(t, after <= leavingBound, "the last request arrived %s after the announcement", after)

	r, ok := s.Readiness(isolated)
	assert.Check(t, ok && !r.Ready, "%+v", r)
	refused := NewCall("refused", true, 0)
	reply := s.Send(t.Context(), http.DefaultClient, isolated, refused)
	assert.Check(t, reply.NotRun() && reply.Code == result.EntryStale, "%s", reply)
	assert.Equal(t, s.Runs(refused.Key), 0)

	frozen.Signal(syscall.SIGCONT)
	s.WaitUntil("the frozen entry instance is ready", func() bool { return s.AllReady(frozen) })
	for _, relay := range s.ReplicaRelays {
		relay.Heal()
	}
	s.WaitUntil("the isolated entry instance is ready", func() bool { return s.AllReady(isolated) })
	calls.progress(200)
	assert.Equal(t, totalServed(leaving), served, "a target got new work after it had left")
	for _, a := range calls.stop() {
		assert.Check(t, a.reply.Complete || a.reply.NotRun(), "%s: %s", a.entry.Name, a.reply)
	}
	t.Logf("last arrival %s after the announcement", after.Round(time.Millisecond))
}

func minServed(targets []*site.Target) int {
	n := targets[0].Received()
	for _, t := range targets {
		n = min(n, t.Received())
	}
	return n
}

func totalServed(targets []*site.Target) (n int) {
	for _, t := range targets {
		n += t.Received()
	}
	return n
}
