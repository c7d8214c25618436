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

// leavingBound is the time after which a leaving target gets no new work, from docs/design.md.
const leavingBound = 3 * time.Second

// Guards against entry instances that send work to a target which has left:
// one that is frozen while the target leaves and continues later, and one that
// is cut off from all replicas and does not learn of it.
func TestLeavingTargetGetsNothingFromFrozenOrIsolatedEntry(t *testing.T) {
	t.Parallel()
	s := Start(t, 3)
	whole, frozen, isolated := s.Entries[0], s.Entries[1], s.Entries[2]
	for range 6 { // so that every entry instance owns some, with the hash of these names
		s.AddTarget(whole)
	}
	leaving := s.Targets[:4]
	calls := startLoad(s, 4, false, 10*time.Millisecond, s.Entries...)
	calls.progress(200)
	s.Until("all targets are used", func() bool { return least(s.Targets) > 20 })

	for _, r := range s.Replicas {
		r.CutFrom(isolated.PID(), Both)
	}
	frozen.Signal(syscall.SIGSTOP)
	began := time.Now()
	for _, target := range leaving {
		assert.NilError(t, target.Leaving(t.Context()))
	}
	s.Until("the bound has passed", func() bool { return time.Since(began) > leavingBound })
	served := sum(leaving)
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
	s.Until("the frozen entry instance is ready", func() bool { return s.AllReady(frozen) })
	for _, relay := range s.Replicas {
		relay.Heal()
	}
	s.Until("the isolated entry instance is ready", func() bool { return s.AllReady(isolated) })
	calls.progress(200)
	assert.Equal(t, sum(leaving), served, "a target that left got new work")
	for _, a := range calls.stop() {
		assert.Check(t, a.reply.Whole || a.reply.NotRun(), "%s: %s", a.entry.Name, a.reply)
	}
	t.Logf("last arrival %s after the announcement", after.Round(time.Millisecond))
}

func least(targets []*site.Target) int {
	n := targets[0].Served()
	for _, t := range targets {
		n = min(n, t.Served())
	}
	return n
}

func sum(targets []*site.Target) (n int) {
	for _, t := range targets {
		n += t.Served()
	}
	return n
}
