package storage

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
)

const (
	identityFile = "identity"
	lockFile     = "lock"
	temporary    = ".tmp"
)

// Errors of the identity check.
var (
	// ErrCopied means that the folder is a copy or was restored from a backup.
	// Its log may be older than what this incarnation acknowledged.
	ErrCopied = errors.New("the data folder was copied or restored; it must not be used")
	// ErrForeign means that the folder belongs to a replica of another name.
	ErrForeign = errors.New("the data folder belongs to another replica")
)

// identity is the content of the identity file.
type identity struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Stamp is that of the identity file itself. A copy has another one.
	Stamp Stamp `json:"stamp"`
}

func (i identity) id() model.ReplicaID { return model.ReplicaID(i.Name + "/" + i.Incarnation) }

// loadIdentity reads the identity of the folder. The first start creates it
// with the given incarnation; a folder that has a log but no identity is refused.
func loadIdentity(fs FS, name, incarnation string, empty bool) (identity, error) {
	data, err := fs.ReadFile(identityFile)
	if trace.IsNotFound(err) {
		if !empty {
			return identity{}, trace.Wrap(ErrCopied, "the identity file is missing")
		}
		return createIdentity(fs, name, incarnation)
	}
	if err != nil {
		return identity{}, trace.Wrap(err)
	}
	var id identity
	if err := json.Unmarshal(data, &id); err != nil {
		return identity{}, trace.Wrap(&CorruptError{File: identityFile, Reason: err.Error()})
	}
	if id.Name != name {
		return id, trace.Wrap(ErrForeign, "it belongs to %q, this replica is %q", id.Name, name)
	}
	stamp, err := fs.Stamp(identityFile)
	if err != nil {
		return id, trace.Wrap(err)
	}
	if stamp != id.Stamp {
		return id, trace.Wrap(ErrCopied, "the identity file was written as %+v and is now %+v", id.Stamp, stamp)
	}
	return id, nil
}

func createIdentity(fs FS, name, incarnation string) (identity, error) {
	id := identity{Name: name, Incarnation: incarnation}
	file, err := fs.Create(identityFile + temporary)
	if err != nil {
		return id, trace.Wrap(err)
	}
	defer file.Close()
	if id.Stamp, err = fs.Stamp(identityFile + temporary); err != nil {
		return id, trace.Wrap(err)
	}
	data, err := json.Marshal(id)
	if err != nil {
		return id, fmt.Errorf("storage: identity: %w", err)
	}
	if _, err := file.Write(data); err != nil {
		return id, trace.Wrap(err)
	}
	if err := file.Sync(); err != nil {
		return id, trace.Wrap(err)
	}
	return id, trace.Wrap(publish(fs, identityFile))
}

// publish gives a synced temporary file its name.
func publish(fs FS, name string) error {
	if err := fs.Rename(name+temporary, name); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(fs.SyncDir())
}
