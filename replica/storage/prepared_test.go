package storage

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/replica/raft"
)

// Guards against a start that uses a snapshot that was prepared but not activated. Its
// temporary file is removed at that start, so a log that continues it could not be
// read at the next start.
func TestPreparedSnapshotIsNotInForce(t *testing.T) {
	fs := newMemory()
	s, _, err := Open(fs, "r1", "a")
	assert.NilError(t, err)
	assert.NilError(t, s.Apply([]raft.Write{{Seq: 1, Entries: []raft.Entry{entryAt(t, 1, 1), entryAt(t, 2, 1)}}}))
	assert.NilError(t, s.PrepareSnapshot(raft.Snapshot{Index: 1, Term: 1}, []byte("state")))
	assert.NilError(t, s.Close())
	for range 2 {
		var r Recovery
		s, r, err = Open(fs, "r1", "b")
		assert.NilError(t, err)
		assert.Equal(t, r.SnapshotIndex, model.Index(0))
		assert.Equal(t, len(r.Entries), 2)
		assert.NilError(t, s.Close())
	}
}
