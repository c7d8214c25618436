package storage

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// Guards against a replica that does not start, because its data folder looks like
// a copy, after the platform has reattached its disk with different inode numbers.
func TestRenumberedFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	open := func(path string) (*Store, Recovery, error) {
		folder, err := OpenFolder(path)
		assert.NilError(t, err)
		return Open(WithoutStamps(folder), "r1", "a")
	}
	s, _, err := open(path)
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	renumbered := filepath.Join(t.TempDir(), "data")
	assert.NilError(t, os.CopyFS(renumbered, os.DirFS(path)))
	s, r, err := open(renumbered)
	assert.NilError(t, err)
	assert.Equal(t, r.ID, model.ReplicaID("r1/a"))
	assert.NilError(t, s.Close())
}
