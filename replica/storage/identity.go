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
	// Its log may lack entries that this incarnation has acknowledged.
	ErrCopied = errors.New("the data folder was copied or restored from a backup and must not be used")
	// ErrWrongReplica means that the folder belongs to a replica with another
	// name.
	ErrWrongReplica = errors.New("the data folder belongs to another replica")
)

// identity is the content of the identity file.
type identity struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Stamp is the stamp of the identity file itself. A copy of the file has a
	// different one.
	Stamp Stamp `json:"stamp"`
}

func (i identity) id() model.ReplicaID { return model.ReplicaID(i.Name + "/" + i.Incarnation) }

// loadIdentity reads and checks the identity of the folder. An empty folder gets a
// new identity with the given incarnation. A folder with data but without an
// identity file is rejected with ErrCopied.
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
		return id, trace.Wrap(ErrWrongReplica, "the data folder belongs to %q, but this replica is %q", id.Name, name)
	}
	stamp, err := fs.Stamp(identityFile)
	if err != nil {
		return id, trace.Wrap(err)
	}
	if stamp != id.Stamp {
		return id, trace.Wrap(ErrCopied, "the identity file was created with stamp %+v and now has stamp %+v", id.Stamp, stamp)
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
		return id, fmt.Errorf("storage: encode identity: %w", err)
	}
	if _, err := file.Write(data); err != nil {
		return id, trace.Wrap(err)
	}
	if err := file.Sync(); err != nil {
		return id, trace.Wrap(err)
	}
	return id, trace.Wrap(publish(fs, identityFile))
}

// publish renames a synced temporary file to its final name and makes the name
// durable.
func publish(fs FS, name string) error {
	if err := fs.Rename(name+temporary, name); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(fs.SyncDir())
}
