package faults

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against traffic that stops, and against targets that are declared lost, when
// open connections become silent permanently while new connections work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	s := Start(t, 2)
	s.AddTarget(s.Entries...)
	s.AddTarget(s.Entries...)
	watch := startRevisionWatch(s, s.Entries...)
	plain, once := startLoad(s, 4, false, 5*time.Millisecond, s.Entries...), startLoad(s, 2, true, 5*time.Millisecond, s.Entries...)
	plain.progress(100)
	once.progress(20)
	for _, r := range s.TargetRelays {
		assert.Check(t, r.SilenceOpenConnections() > 0)
	}
	plain.progress(200)
	once.progress(20)
	silenced := 0
	for _, r := range s.ReplicaRelays {
		silenced += r.SilenceOpenConnections(s.Entries...)
	}
	assert.Check(t, silenced >= len(s.Entries))
	newest := accept(s, 1, 3)
	s.WaitUntil("a change is in use after connections became silent", func() bool { return s.AllAtRevision(newest, s.Entries...) })
	plain.progress(200)
	once.progress(20)
	served := []int{s.Targets[0].Received(), s.Targets[1].Received()}
	s.WaitUntil("both targets get new work", func() bool { return s.Targets[0].Received() > served[0] && s.Targets[1].Received() > served[1] })
	for _, e := range s.Entries {
		phases, ok := s.Phases(e)
		assert.Check(t, ok && len(phases) == len(s.Targets))
		for id, phase := range phases {
			assert.Check(t, phase == "ready", "%s is %s on %s", id, phase, e.Name)
		}
	}
	for _, a := range plain.stop() {
		assert.Check(t, a.reply.Complete, "%s: %s", a.entry.Name, a.reply)
	}
	checkOnce(s, once.stop(), s.Entries...)
	watch.stop()
}

// Guards against a site that does not recover by itself after all open connections
// between replicas, and between entry instances and replicas, became silent at the
// same time. Until it has a leader again, it may refuse work but not lose it.
func TestSiteRecoversAfterAllConnectionsBecameSilent(t *testing.T) {
	t.Parallel()
	s := Start(t, 2)
	s.AddTarget(s.Entries...)
	stream, watch, once := startChanges(s), startRevisionWatch(s, s.Entries...), startLoad(s, 2, true, 5*time.Millisecond, s.Entries...)
	stream.progress(5)
	once.progress(20)
	for _, r := range s.ReplicaRelays {
		assert.Check(t, r.SilenceOpenConnections() > 0)
	}
	stream.progress(10)
	once.progress(20)
	replies := once.stop()
	newest := stream.stop()
	s.WaitUntil("the entry instances have the newest revision", func() bool { return s.AllAtRevision(newest, s.Entries...) })
	watch.stop()
	checkOnce(s, replies, s.Entries...)
	t.Logf("slowest call %s", slowest(replies).Round(time.Millisecond))
}

// Guards against a leader that acknowledges changes which are later reverted, because
// nothing that it sends arrives: one direction of all its connections is cut, so that
// its answers and heartbeats are lost while it still receives requests.
func TestLeaderWithoutOutgoingMessagesAcknowledgesNothing(t *testing.T) {
	t.Parallel()
	s := Start(t, 2)
	stream, watch := startChanges(s), startRevisionWatch(s, s.Entries...)
	stream.progress(5)
	old := s.Leader()
	s.ReplicaRelays[old].Cut(ToClient)
	pid := s.Controls[old].PID()
	for i, r := range s.ReplicaRelays {
		if i != old {
			r.CutFrom(pid, ToServer)
		}
	}
	next := s.Leader(s.Controls[old])
	assert.Check(t, next != old)
	stream.progress(10)
	for _, r := range s.ReplicaRelays {
		r.Heal()
	}
	stream.progress(10)
	newest := stream.stop()
	s.WaitUntil("the entry instances have the newest revision", func() bool { return s.AllAtRevision(newest, s.Entries...) })
	watch.stop()
	for i := range s.Controls {
		s.WaitUntil("every replica has the newest revision", func() bool { return revisionOf(s, i) == newest })
	}
}
