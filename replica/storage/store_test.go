package storage

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/model"
	"lacewingturn.example/replica/raft"
)

// entryAt returns a command entry with the given index and term.
func entryAt(t testingT, index model.Index, term model.Term) raft.Entry {
	env := model.Envelope{Command: model.JoinEntry{ID: "e", Address: "a"}}
	data, err := codec.EncodeEnvelope(env)
	assert.NilError(t, err)
	value, err := EntryValue(raft.KindCommand, data)
	assert.NilError(t, err)
	return raft.Entry{Index: index, Term: term, Kind: raft.KindCommand, Time: model.Timestamp(index), Data: data, Value: value}
}

// testingT is implemented by the types of testing and rapid that run these tests.
type testingT interface {
	assert.TestingT
	Helper()
}

func open(t testingT, fs FS) (*Store, Recovery) {
	t.Helper()
	s, r, err := Open(fs, "r1", "a")
	assert.NilError(t, err)
	return s, r
}

func hardStateIn(term model.Term) *raft.HardState { return &raft.HardState{Term: term, Vote: "r2/b"} }

// Guards against durable state that differs after a restart: entries that replaced
// a tail, term and vote, a membership entry, and a snapshot followed by entries.
func TestReopen(t *testing.T) {
	fs := newMemory()
	s, r := open(t, fs)
	assert.Assert(t, r.New)
	members := raft.Membership{{ID: "r1/a", Address: "x", Voter: true}}
	assert.NilError(t, s.Apply([]raft.Write{
		{Seq: 1, Hard: hardStateIn(1)},
		{Seq: 2, Entries: []raft.Entry{{Index: 1, Term: 1, Kind: raft.KindMembership, Value: members}, entryAt(t, 2, 1), entryAt(t, 3, 1)}},
		{Seq: 3, Entries: []raft.Entry{entryAt(t, 3, 2), entryAt(t, 4, 2)}, Hard: hardStateIn(2)},
	}))
	fs.crash(0)
	s, r = open(t, fs)
	assert.Equal(t, r.ID, model.ReplicaID("r1/a"))
	assert.DeepEqual(t, r.Hard, *hardStateIn(2))
	assert.Equal(t, len(r.Entries), 4)
	assert.Equal(t, r.Entries[2].Term, model.Term(2))
	assert.DeepEqual(t, r.Entries[0].Value, members)

	snap := raft.Snapshot{Index: 3, Term: 2, Members: members, Clock: 9}
	assert.NilError(t, s.PrepareSnapshot(snap, []byte("state")))
	assert.NilError(t, s.Apply([]raft.Write{{Seq: 4, Entries: []raft.Entry{entryAt(t, 5, 2)}}}))
	assert.NilError(t, s.ActivateSnapshot(snap))
	fs.crash(0)
	_, r = open(t, fs)
	assert.Equal(t, string(r.State), "state")
	assert.Equal(t, r.SnapshotIndex, model.Index(3))
	assert.DeepEqual(t, r.Members, members)
	assert.Equal(t, len(r.Entries), 2)
	assert.Equal(t, r.Entries[0].Index, model.Index(4))
	names, _ := fs.List()
	assert.Equal(t, len(names), 3, "%v", names) // identity, log, snapshot
}

type encoded string

func (e encoded) EncodedState() []byte { return []byte(e) }

// Guards against entries of the old log that remain after the installation of a
// leader's snapshot, also if the process stops between the publication of the
// snapshot and the replacement of the log file.
func TestInstalledSnapshotReplacesTheLog(t *testing.T) {
	for _, crashPoint := range []string{"", "after the snapshot"} {
		fs := newMemory()
		s, _ := open(t, fs)
		assert.NilError(t, s.Apply([]raft.Write{{Seq: 1, Hard: hardStateIn(3), Entries: []raft.Entry{entryAt(t, 1, 1), entryAt(t, 2, 1)}}}))
		snap := raft.Snapshot{Index: 2, Term: 3, Data: encoded("state")}
		if crashPoint == "" {
			assert.NilError(t, s.Apply([]raft.Write{{Seq: 2, Install: &snap}, {Seq: 3, Entries: []raft.Entry{entryAt(t, 3, 3)}}}))
		} else {
			assert.NilError(t, s.PrepareSnapshot(snap, []byte("state")))
			assert.NilError(t, publish(fs, snapshotName(2)))
		}
		fs.crash(0)
		_, r := open(t, fs)
		assert.Equal(t, r.SnapshotIndex, model.Index(2), crashPoint)
		assert.DeepEqual(t, r.Hard, *hardStateIn(3))
		if crashPoint == "" {
			assert.Equal(t, len(r.Entries), 1)
		} else {
			assert.Equal(t, len(r.Entries), 0)
		}
	}
}

// Guards against a replica that does not start after an incomplete last write, and
// against damage before valid records that is mistaken for an incomplete write.
func TestTornTailAndCorruption(t *testing.T) {
	fs := newMemory()
	s, _ := open(t, fs)
	for i := model.Index(1); i <= 3; i++ {
		assert.NilError(t, s.Apply([]raft.Write{{Seq: uint64(i), Entries: []raft.Entry{entryAt(t, i, 1)}}}))
	}
	file := fs.files[logName(1)]
	original := append([]byte(nil), file.data...)
	_, second, _ := nextRecord(original)
	_, size, _ := nextRecord(original[second:])
	for cut := second + size + 1; cut < len(original); cut++ {
		if _, _, ok := nextRecord(original[second+size : cut]); ok {
			continue // a cut between two records leaves no incomplete record
		}
		file.data = append([]byte(nil), original[:cut]...)
		copied, r, err := Open(fs, "r1", "a")
		assert.NilError(t, err, "cut at %d", cut)
		assert.Assert(t, r.Truncated > 0 && len(r.Entries) < 3)
		assert.NilError(t, copied.Apply([]raft.Write{{Seq: 9, Entries: []raft.Entry{entryAt(t, model.Index(len(r.Entries)+1), 2)}}}))
		_, again := open(t, fs)
		assert.Equal(t, len(again.Entries), len(r.Entries)+1)
		assert.Equal(t, again.Truncated, int64(0))
	}
	for at := range second + size {
		file.data = append([]byte(nil), original...)
		file.data[at] ^= 0x10
		_, _, err := Open(fs, "r1", "a")
		var corrupt *CorruptError
		assert.Assert(t, errors.As(err, &corrupt), "byte %d: %v", at, err)
	}
}

// Guards against an acknowledgement after a failed write, a failed sync or a full
// disk, and against later writes that would follow a gap in the log.
func TestFailedStorageTakesNoMoreWrites(t *testing.T) {
	faults := map[string]func(*memoryFS){
		"write": func(m *memoryFS) { m.failing["write"] = errors.New("input/output error") },
		"sync":  func(m *memoryFS) { m.failing["sync"] = errors.New("input/output error") },
		"full":  func(m *memoryFS) { m.freeBytes = 10 },
	}
	for name, inject := range faults {
		fs := newMemory()
		s, _ := open(t, fs)
		assert.NilError(t, s.Apply([]raft.Write{{Seq: 1, Entries: []raft.Entry{entryAt(t, 1, 1)}}}))
		inject(fs)
		assert.Assert(t, s.Apply([]raft.Write{{Seq: 2, Entries: []raft.Entry{entryAt(t, 2, 1)}}}) != nil, name)
		clear(fs.failing)
		fs.freeBytes = -1
		assert.ErrorIs(t, s.Apply([]raft.Write{{Seq: 3, Entries: []raft.Entry{entryAt(t, 3, 1)}}}), ErrFailed, name)
		fs.crash(5)
		_, r := open(t, fs)
		assert.Equal(t, len(r.Entries), 1, name)
	}
}

// Guards against lost or additional entries after a crash at any point of any
// sequence of writes, snapshots and crashes.
func TestNothingSyncedIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemory()
		s, _ := open(t, fs)
		last, base, term := model.Index(0), model.Index(0), model.Term(1)
		for range 30 {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				if last > base {
					snap := raft.Snapshot{Index: last, Term: term}
					assert.NilError(t, s.PrepareSnapshot(snap, []byte{byte(last)}))
					assert.NilError(t, s.ActivateSnapshot(snap))
					base = last
				}
			case 1:
				// A write whose sync fails may still reach the disk, partly or completely.
				fs.failing["sync"] = errors.New("input/output error")
				assert.Assert(t, s.Apply([]raft.Write{{Seq: 1, Entries: []raft.Entry{entryAt(t, last+1, term)}}}) != nil)
				clear(fs.failing)
				fallthrough
			case 2:
				fs.crash(rapid.IntRange(0, 200).Draw(t, "kept"))
				var r Recovery
				s, r = open(t, fs)
				got := r.SnapshotIndex + model.Index(len(r.Entries))
				if r.SnapshotIndex != base || got < last || got > last+1 {
					t.Fatalf("synced snapshot index %d and last index %d, but read %d and %d", base, last, r.SnapshotIndex, got)
				}
				last = got
			default:
				last++
				assert.NilError(t, s.Apply([]raft.Write{{Seq: uint64(last), Entries: []raft.Entry{entryAt(t, last, term)}}}))
			}
		}
	})
}

// Guards against opening a copied or restored data folder, the folder of another
// replica, or a folder that another process uses.
func TestFolderIdentity(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	folder, err := OpenFolder(path)
	assert.NilError(t, err)
	s, r, err := Open(folder, "r1", "a")
	assert.NilError(t, err)
	assert.Equal(t, r.ID, model.ReplicaID("r1/a"))
	_, _, err = Open(folder, "r1", "b")
	assert.ErrorIs(t, err, ErrLocked)
	assert.NilError(t, s.Apply([]raft.Write{{Seq: 1, Entries: []raft.Entry{entryAt(t, 1, 1)}}}))
	assert.NilError(t, s.Close())
	_, _, err = Open(folder, "r2", "b")
	assert.ErrorIs(t, err, ErrWrongReplica)

	restored := filepath.Join(t.TempDir(), "restored")
	assert.NilError(t, os.CopyFS(restored, os.DirFS(path)))
	copied, err := OpenFolder(restored)
	assert.NilError(t, err)
	_, _, err = Open(copied, "r1", "b")
	assert.ErrorIs(t, err, ErrCopied)
	assert.NilError(t, os.Remove(filepath.Join(restored, identityFile)))
	_, _, err = Open(copied, "r1", "b")
	assert.ErrorIs(t, err, ErrCopied)

	s, r, err = Open(folder, "r1", "b")
	assert.NilError(t, err)
	assert.Equal(t, r.ID, model.ReplicaID("r1/a"))
	assert.NilError(t, s.Close())
}

// Guards against log files on which the reader panics, does not terminate, or
// accepts a record with a wrong checksum.
func FuzzReadLog(f *testing.F) {
	fs := newMemory()
	s, _ := open(f, fs)
	for i := model.Index(1); i <= 3; i++ {
		assert.NilError(f, s.Apply([]raft.Write{{Seq: uint64(i), Hard: hardStateIn(1), Entries: []raft.Entry{entryAt(f, i, 1)}}}))
	}
	seed := fs.files[logName(1)].data
	f.Add(seed)
	f.Add(seed[:len(seed)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		fs := newMemory()
		s, _ := open(t, fs)
		assert.NilError(t, s.Close())
		fs.files[logName(1)].data = data
		s, r, err := Open(fs, "r1", "a")
		if err != nil {
			return
		}
		next := r.SnapshotIndex + model.Index(len(r.Entries)) + 1
		assert.NilError(t, s.Apply([]raft.Write{{Seq: 1, Entries: []raft.Entry{entryAt(t, next, 9)}}}))
		_, again := open(t, fs)
		assert.Equal(t, len(again.Entries), len(r.Entries)+1)
	})
}
