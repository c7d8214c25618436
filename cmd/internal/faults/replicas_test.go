package faults

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

// Guards against lost changes or claims that were acknowledged, and against work that
// runs twice, when the leader, a follower and the next leader are killed and restarted
// one after the other under load.
func TestKilledReplicasLoseNothingAcknowledged(t *testing.T) {
	t.Parallel()
	s := Start(t, 2)
	s.AddTarget(s.Entries...)
	s.AddTarget(s.Entries...)
	calls, stream := startLoad(s, 3, true, 2*time.Millisecond, s.Entries...), startChanges(s)
	kill := func(i int) {
		s.Controls[i].Kill()
		stream.progress(10)
		calls.progress(20)
	}
	restart := func(i int) {
		newest := s.Status(s.Leader(s.Controls[i])).Index
		s.Controls[i].Start()
		s.WaitUntil("the restarted replica has caught up", func() bool { st := s.Status(i); return st != nil && st.Index >= newest })
	}
	stream.progress(5)
	calls.progress(20)
	leader := s.Leader()
	kill(leader)
	restart(leader)
	follower := (s.Leader() + 1) % replicaCount
	kill(follower)
	restart(follower)
	leader = s.Leader()
	kill(leader)
	restart(leader)
	replies := calls.stop()
	newest := stream.stop()
	s.WaitUntil("the entry instances have the newest revision", func() bool { return s.AllAtRevision(newest, s.Entries...) })
	done, notRun, unknown := checkOnce(s, replies, s.Entries...)
	t.Logf("%d changes accepted; %d calls done, %d not run, %d unknown", newest-1, done, notRun, unknown)
}

// freezeTime is how long the leader is frozen: longer than its lease of 2.5 s.
const freezeTime = 3 * time.Second

// Guards against a leader that acts as leader after it was frozen for longer than its
// lease, while another leader was elected, and that then distributes its older state.
func TestFrozenLeaderStepsDownAndRevertsNothing(t *testing.T) {
	t.Parallel()
	s := Start(t, 3)
	s.AddTarget(s.Entries...)
	calls, stream, watch := startLoad(s, 2, true, 2*time.Millisecond, s.Entries...), startChanges(s), startRevisionWatch(s, s.Entries...)
	stream.progress(5)
	old := s.Leader()
	before := s.Status(old)
	s.Controls[old].Signal(syscall.SIGSTOP)
	leaseExpired := time.After(freezeTime)
	next := s.Leader(s.Controls[old])
	stream.progress(20)
	<-leaseExpired
	accepted := uint64(stream.count.Load())
	lateOperator := s.OperatorAt("late", s.Controls[old].Address)
	s.Controls[old].Signal(syscall.SIGCONT)
	// A change based on an old revision, sent to the old leader, must be refused.
	r := lateOperator.Submit(t.Context(), client.NewRequestID(), model.AcceptConfig{Base: 1, Config: s.ConfigWithSiteName("reverted")})
	assert.Check(t, r.Code == result.Conflicting && r.Conflict.Revision > 1, "%s", r.Error())
	s.WaitUntil("the old leader follows", func() bool {
		st := s.Status(old)
		return st != nil && !st.Leader && st.Term > before.Term && st.Index >= s.Status(next).Index-1
	})
	stream.progress(10)
	calls.progress(10)
	replies := calls.stop()
	newest := stream.stop()
	assert.Check(t, newest > accepted)
	s.WaitUntil("the entry instances have the newest revision", func() bool { return s.AllAtRevision(newest, s.Entries...) })
	watch.stop()
	for i := range s.Controls {
		s.WaitUntil("every replica has the newest revision", func() bool { return revisionOf(s, i) == newest })
	}
	checkOnce(s, replies, s.Entries...)
	t.Logf("leader %s, then %s; revision %d; slowest call %s", s.Controls[old].Name, s.Controls[next].Name, newest, slowest(replies).Round(time.Millisecond))
}

// revisionOf returns the revision of the configuration on one replica; 0 if the
// replica does not answer.
func revisionOf(s *Site, i int) uint64 {
	var v query.HistoryView
	if _, err := s.OperatorAt("reader", s.Controls[i].Address).Read(s.t.Context(), operatorv1.View_VIEW_HISTORY, "", &v); err != nil {
		return 0
	}
	return v.Revision
}

// accept commits n configurations, the first based on revision base, and returns the
// newest revision.
func accept(s *Site, base uint64, n int) uint64 {
	s.t.Helper()
	operator := s.Operator("accept")
	for range n {
		r := operator.Submit(s.t.Context(), client.NewRequestID(), model.AcceptConfig{Base: model.Revision(base), Config: s.ConfigWithSiteName("after-" + string(client.NewRequestID()))})
		if r.Code != result.Accepted {
			s.t.Fatal(r.Error())
		}
		base = r.Revision
	}
	return base
}

// Guards against a replica that lost its data folder and votes under its old identity,
// and against a data folder restored from an older copy that reverts accepted changes.
func TestReplicaWithLostFolderRejoinsAndOlderCopyIsRefused(t *testing.T) {
	t.Parallel()
	s := Start(t, 1)
	revision := accept(s, 1, 5)
	lost := (s.Leader() + 1) % replicaCount
	p := s.Controls[lost]
	p.Kill()
	copied := p.Folder + "-copy"
	assert.NilError(t, os.CopyFS(copied, os.DirFS(p.Folder)))
	assert.NilError(t, os.RemoveAll(p.Folder))
	revision = accept(s, revision, 5)
	p.Start()
	s.WaitUntil("the replica has rejoined", func() bool { return revisionOf(s, lost) == revision })
	id := s.Status(lost).ReplicaId
	assert.Check(t, strings.HasPrefix(id, p.Name), id)

	// The new member votes: while another replica is down, it is needed for a quorum.
	s.WaitUntil("the new member votes", func() bool { return replicaState(s, id).Voter })
	other := replicaCount - lost - s.Leader() // the indices 0, 1 and 2 add up to replicaCount
	s.Controls[other].Kill()
	revision = accept(s, revision, 5)
	s.Controls[other].Start()
	s.WaitUntil("the other replica has caught up", func() bool { return revisionOf(s, other) == revision })

	// A replica does not start on an older copy in place of its data folder.
	p.Kill()
	assert.NilError(t, os.Rename(p.Folder, p.Folder+"-newer"))
	assert.NilError(t, os.Rename(copied, p.Folder))
	p.Start()
	assert.Check(t, p.Wait() != nil)
	assert.Check(t, strings.Contains(p.Log(), "data folder copied"), p.Log())
	revision = accept(s, revision, 1)

	// The leader refuses a replica whose files were overwritten with an older log.
	assert.NilError(t, os.RemoveAll(p.Folder))
	assert.NilError(t, os.Rename(p.Folder+"-newer", p.Folder))
	kept := t.TempDir()
	assert.NilError(t, os.CopyFS(kept, os.DirFS(p.Folder)))
	p.Start()
	s.WaitUntil("the replica has caught up", func() bool { return revisionOf(s, lost) == revision })
	revision = accept(s, revision, 5)
	s.WaitUntil("the replica holds the newest revision", func() bool { return revisionOf(s, lost) == revision })
	p.Kill()
	overwriteFiles(t, kept, p.Folder)
	p.Start()
	s.WaitUntil("the leader refuses the older log", func() bool { return strings.Contains(p.Log(), "refused by leader") })
	revision = accept(s, revision, 5)
	s.WaitUntil("the entry instance has the newest revision", func() bool { return s.AllAtRevision(revision, s.Entries...) })
}

// replicaState returns the state of a replica as a control replica reports it; the
// zero value if the replica is not listed.
func replicaState(s *Site, id string) query.ReplicaState {
	var v query.StatusView
	if _, err := s.Operator("reader").Read(s.t.Context(), operatorv1.View_VIEW_STATUS, "", &v); err == nil {
		for _, r := range v.Replicas {
			if string(r.ID) == id {
				return r
			}
		}
	}
	return query.ReplicaState{}
}

// overwriteFiles writes older contents into the files of a folder and removes files
// that the older state does not have. The files keep their inode numbers, because they
// are not replaced.
func overwriteFiles(t *testing.T, from, to string) {
	t.Helper()
	newer, err := os.ReadDir(to)
	assert.NilError(t, err)
	for _, f := range newer {
		data, err := os.ReadFile(filepath.Join(from, f.Name()))
		if os.IsNotExist(err) {
			assert.NilError(t, os.Remove(filepath.Join(to, f.Name())))
			continue
		}
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(filepath.Join(to, f.Name()), data, 0o600))
	}
}
