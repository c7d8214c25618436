package command

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica/client"
	"lacewingturn.example/replica/raft"
	"lacewingturn.example/replica/storage"
)

// failingFS is a data folder whose syncs fail while failing is set.
type failingFS struct {
	storage.FS
	failing atomic.Bool
}

type failingFile struct {
	storage.File
	fs *failingFS
}

func (f *failingFS) Create(name string) (storage.File, error) {
	file, err := f.FS.Create(name)
	return failingFile{file, f}, err
}

func (f *failingFS) OpenAppend(name string) (storage.File, error) {
	file, err := f.FS.OpenAppend(name)
	return failingFile{file, f}, err
}

func (f failingFile) Sync() error {
	if f.fs.failing.Load() {
		return errors.New("input/output error")
	}
	return f.File.Sync()
}

func leaderOf(t testing.TB, site []*instance) *instance {
	t.Helper()
	var found *instance
	eventually(t, site[0].Replica, "a leader", func() bool {
		for _, i := range site {
			if i.View().IsLeader {
				found = i
			}
		}
		return found != nil
	})
	return found
}

// commit proposes commands through a client in batches of 10 and requires that all
// succeed. It commits n commands, rounded up to a multiple of 10.
func commit(t testing.TB, site []*instance, from, n int) {
	t.Helper()
	c := client.New(addressesOf(site), client.NewHTTPClient())
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for i := from; i < from+n; i += 10 {
		batch := make([]model.Envelope, 10)
		for k := range batch {
			batch[k] = announce(i + k)
		}
		results, err := c.Propose(ctx, batch)
		assert.NilError(t, err)
		for _, r := range results {
			assert.Assert(t, r.Code.OK(), "%v", r)
		}
	}
}

// announce returns a command that is safe to repeat.
func announce(n int) model.Envelope {
	id := model.TargetID(string(rune('a'+n%26)) + time.Duration(n).String())
	return model.Envelope{Command: model.AnnounceTarget{Target: model.Target{
		ID: id, Service: "s", Address: "127.0.0.1:1", Generation: 1, Phase: model.TargetReady,
	}}}
}

func applied(r *instance) int { return r.View().State.Targets.Len() }

// Guards against a follower that does not catch up after the leader has compacted
// the entries that it missed, and against states that differ after restarts.
func TestCatchUpBySnapshotAndRestart(t *testing.T) {
	settings := siteSettings(t, 3)
	var site []*instance
	for i := range settings {
		settings[i].SnapshotEvery, settings[i].KeepEntries = 40, 10
		site = append(site, start(t, settings[i]))
	}
	commit(t, site, 0, 50)
	site[2].stop()
	commit(t, site[:2], 50, 300)
	site[2] = start(t, settings[2])
	eventually(t, site[2].Replica, "catch-up", func() bool { return applied(site[2]) == 350 })
	assert.Assert(t, site[2].Status().Base > 0)
	for i := range site {
		site[i].stop()
	}
	for i := range site {
		site[i] = start(t, settings[i])
	}
	var digests []string
	commit(t, site, 350, 10)
	for _, r := range site {
		eventually(t, r.Replica, "recovery", func() bool { return applied(r) == 360 })
	}
	last := site[0].View().State.Index
	for _, r := range site {
		eventually(t, r.Replica, "the last index of the first replica is applied", func() bool { return r.View().State.Index >= last })
		d, err := codec.Digest(r.View().State)
		assert.NilError(t, err)
		digests = append(digests, d)
	}
	assert.Equal(t, digests[0], digests[1])
	assert.Equal(t, digests[0], digests[2])
}

// Guards against a replica that lost its disk and votes again under its old ID or
// is never admitted again. After the replacement the site must tolerate the loss
// of another replica.
func TestLostDiskIsReplaced(t *testing.T) {
	settings := siteSettings(t, 3)
	var site []*instance
	for i := range settings {
		settings[i].ReplaceAfter = time.Second
		site = append(site, start(t, settings[i]))
	}
	commit(t, site, 0, 20)
	old := site[1].ID()
	site[1].stop()
	settings[1].DataFolder = t.TempDir()
	site[1] = start(t, settings[1])
	assert.Assert(t, site[1].ID() != old)
	eventually(t, site[1].Replica, "admission as a voter", func() bool {
		members := site[1].Status().Members
		_, kept := members.Get(old)
		return members.Voter(site[1].ID()) && !kept && len(members) == 3
	})
	site[0].stop()
	commit(t, site[1:], 20, 20)
	eventually(t, site[1].Replica, "all commands", func() bool { return applied(site[1]) == 40 })
}

// Guards against a leader that acknowledges commands or remains leader after a sync
// of its log has failed.
func TestFailedSyncEndsLeadership(t *testing.T) {
	settings := siteSettings(t, 3)
	disks := map[string]*failingFS{}
	var site []*instance
	for _, s := range settings {
		folder, err := storage.OpenFolder(s.DataFolder)
		assert.NilError(t, err)
		disks[s.Name] = &failingFS{FS: folder}
		s.FS = disks[s.Name]
		site = append(site, start(t, s))
	}
	commit(t, site, 0, 10)
	failed := leaderOf(t, site)
	disks[failed.settings.Name].failing.Store(true)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	results, err := failed.Propose(ctx, []model.Envelope{announce(10)})
	assert.NilError(t, err)
	// The other replicas may commit the command before the leader detects the failure.
	assert.Assert(t, results[0].Code == result.Unknown || results[0].Code.OK(), "%v", results[0])
	eventually(t, failed.Replica, "the storage failure is detected", func() bool { return failed.Status().Failed })
	assert.Assert(t, !failed.View().IsLeader)
	commit(t, site, 20, 10)
	assert.Equal(t, failed.Status().Role, raft.Follower)
	results, err = failed.Propose(ctx, []model.Envelope{announce(11)})
	assert.NilError(t, err)
	assert.Equal(t, results[0].Code, result.NotLeader)
}

// Guards against membership changes that are lost, are unsafe, such as the promotion
// of a replica that is not a learner, or do not appear in the control state.
func TestChangeMembership(t *testing.T) {
	settings := siteSettings(t, 4)
	for i := range settings {
		settings[i].Peers = settings[0].Peers[:3]
	}
	var site []*instance
	for _, s := range settings {
		site = append(site, start(t, s))
	}
	commit(t, site[:3], 0, 20)
	leader, fourth := leaderOf(t, site[:3]), site[3]
	change := func(kind raft.ChangeKind) result.Result {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		return leader.ChangeMembership(ctx, raft.ChangeMembership{Kind: kind, Member: raft.Member{ID: fourth.ID(), Address: fourth.settings.Address}})
	}
	assert.Equal(t, change(raft.Promote).Code, result.Conflicting)
	assert.Equal(t, change(raft.AddLearner).Code, result.OK)
	eventually(t, fourth.Replica, "catch-up as a learner", func() bool { return applied(fourth) == 20 })
	assert.Assert(t, !fourth.Status().Members.Voter(fourth.ID()))
	assert.Equal(t, change(raft.Promote).Code, result.OK)
	eventually(t, fourth.Replica, "promotion to voter", func() bool {
		return fourth.View().State.Replicas.Len() == 4 && fourth.Status().Members.Voter(fourth.ID())
	})
	assert.Equal(t, change(raft.Remove).Code, result.OK)
	assert.Equal(t, leader.View().State.Replicas.Len(), 3)
	commit(t, site[:3], 20, 10)
}

// Guards against a planned shutdown of the leader that takes an election timeout,
// and against TransferLeadership returning before another replica leads.
func TestLeadershipTransferWaitsForTheNextLeader(t *testing.T) {
	site := startSite(t, 3)
	commit(t, site, 0, 10)
	old := leaderOf(t, site)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	assert.NilError(t, old.TransferLeadership(ctx))
	assert.Assert(t, !old.View().IsLeader && old.View().Leader != old.ID())
	commit(t, site, 10, 10)
}

// Guards against a data folder that is refused without the numbered event for its
// cause: locked, copied, of another replica, or corrupt.
func TestRefusedFoldersAreReported(t *testing.T) {
	settings := siteSettings(t, 1)[0]
	first := start(t, settings)
	eventually(t, first.Replica, "a leader", func() bool { return first.View().IsLeader })
	core, logs := observer.New(zap.InfoLevel)
	settings.Logger = zap.New(core)
	refused := func(number int) {
		t.Helper()
		_, err := Open(settings, loop.New(1))
		assert.Assert(t, err != nil)
		entries := logs.TakeAll()
		assert.Equal(t, entries[len(entries)-1].ContextMap()["event"], int64(number), "%v", err)
	}
	refused(event.FolderLocked.Number)
	first.stop()
	original := settings.DataFolder
	settings.DataFolder = filepath.Join(t.TempDir(), "copy")
	assert.NilError(t, os.CopyFS(settings.DataFolder, os.DirFS(original)))
	refused(event.FolderCopied.Number)
	settings.DataFolder, settings.Name = original, "other"
	refused(event.FolderOfAnotherReplica.Number)
	settings.Name = first.settings.Name
	logFile := filepath.Join(original, "log-0000000000000001")
	data, err := os.ReadFile(logFile)
	assert.NilError(t, err)
	data[20] ^= 1
	assert.NilError(t, os.WriteFile(logFile, data, 0o600))
	refused(event.LogCorrupt.Number)
}
