// Package storage stores the log, the hard state, the snapshots and the identity
// of a replica in one data folder. Methods that change the data return only after
// the change is durable.
package storage

import (
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/replica/raft"
)

// ErrFailed is returned by every write after a write or sync has failed. It is
// then unknown what reached the disk, so nothing may be written until the folder
// is opened again.
var ErrFailed = errors.New("the storage failed earlier and rejects writes until the replica restarts")

// Store is an open data folder. Except for PrepareSnapshot, its methods must not
// be called concurrently.
type Store struct {
	fs         FS
	lock       io.Closer
	log        File
	generation uint64 // number in the name of the current log file
	hard       raft.HardState
	base       fileHeader
	// entries are the log entries after the snapshot. They are written again when
	// the log file is replaced.
	entries  []raft.Entry
	snapshot string // name of the current snapshot file, empty if none
	failed   error
}

// Recovery is the durable state that Open has read.
type Recovery struct {
	ID  model.ReplicaID
	New bool // the identity has the incarnation passed to Open, so Open created it
	raft.Recovered
	State []byte // encoded state of the snapshot; nil if none
	// Truncated is the size in bytes of an incomplete last write that was removed.
	Truncated int64
}

// Open locks the folder, checks that it belongs to replica name and reads its
// content. If the folder is empty, the new identity gets the given incarnation;
// otherwise the folder keeps its own. The incarnation must be one that was never
// used, because Recovery.New results from the comparison with it. Errors include
// ErrLocked, ErrWrongReplica, ErrCopied and CorruptError.
func Open(fs FS, name, incarnation string) (*Store, Recovery, error) {
	lock, err := fs.Lock(lockFile)
	if err != nil {
		return nil, Recovery{}, trace.Wrap(err)
	}
	s := &Store{fs: fs, lock: lock}
	r, err := s.recover(name, incarnation)
	if err != nil {
		s.Close()
		return nil, r, trace.Wrap(err)
	}
	return s, r, nil
}

// Close closes the log file and releases the lock of the folder.
func (s *Store) Close() error {
	var errs []error
	if s.log != nil {
		errs = append(errs, s.log.Close())
	}
	errs = append(errs, s.lock.Close())
	return trace.NewAggregate(errs...)
}

// Apply makes the writes durable, in order, with one write and one sync of the log
// file unless they include a snapshot. After an error the store rejects all
// further writes.
func (s *Store) Apply(writes []raft.Write) error {
	if s.failed != nil {
		return trace.Wrap(ErrFailed, "%v", s.failed)
	}
	var b batch
	for i, w := range writes {
		if w.Install != nil {
			return s.install(b, w, writes[i+1:])
		}
		if w.Hard != nil {
			s.hard = *w.Hard
			b.Hard = &hardState{w.Hard.Term, w.Hard.Vote}
		}
		if err := s.extend(w.Entries); err != nil {
			return s.fail(err)
		}
		entries, err := toEntries(w.Entries)
		if err != nil {
			return s.fail(err)
		}
		b.Entries = append(b.Entries, entries...)
	}
	return s.append(b)
}

// install writes the part of the batch before a snapshot, then the snapshot, then
// the rest of the batch.
func (s *Store) install(before batch, w raft.Write, rest []raft.Write) error {
	if err := s.append(before); err != nil {
		return err
	}
	state, ok := w.Install.Data.(EncodedSnapshot)
	if !ok {
		return s.fail(fmt.Errorf("storage: snapshot data of type %T does not implement EncodedSnapshot", w.Install.Data))
	}
	if err := s.PrepareSnapshot(*w.Install, state.EncodedState()); err != nil {
		return s.fail(err)
	}
	if err := s.ActivateSnapshot(*w.Install); err != nil {
		return err
	}
	if len(rest) == 0 {
		return nil
	}
	return s.Apply(rest)
}

// EncodedSnapshot is implemented by the Data of a snapshot received from a leader.
// EncodedState returns the encoded state to be stored.
type EncodedSnapshot interface{ EncodedState() []byte }

func (s *Store) append(b batch) error {
	if b.Hard == nil && len(b.Entries) == 0 {
		return nil
	}
	record, err := encodeBatch(b)
	if err != nil {
		return s.fail(err)
	}
	if _, err := s.log.Write(record); err != nil {
		return s.fail(err)
	}
	if err := s.log.Sync(); err != nil {
		return s.fail(err)
	}
	return nil
}

// extend applies the entries to the copy of the log in memory.
func (s *Store) extend(entries []raft.Entry) error {
	var err error
	s.entries, err = splice(s.base.Base, s.entries, entries)
	return err
}

// splice appends entries to a log that starts after base. If the index of the
// first entry is already in the log, the entries replace the log from there on.
// It returns an error if the entries leave a gap or start at or before base.
func splice(base model.Index, log, entries []raft.Entry) ([]raft.Entry, error) {
	if len(entries) == 0 {
		return log, nil
	}
	first := entries[0].Index
	if first <= base || first > base+model.Index(len(log))+1 {
		return log, fmt.Errorf("storage: log entry %d does not continue the log, which has base %d and last index %d", first, base, base+model.Index(len(log)))
	}
	keep := int(first - base - 1)
	if keep == len(log) {
		return append(log, entries...), nil
	}
	return append(log[:keep:keep], entries...), nil
}

const (
	probeFile = "probe" + temporary
	probeSize = 64 << 10 // bytes
)

// Probe checks whether the disk accepts writes: it writes and syncs a temporary file
// of probeSize bytes and removes it.
func (s *Store) Probe() error {
	f, err := s.fs.Create(probeFile)
	if err != nil {
		return trace.Wrap(err)
	}
	_, failed := f.Write(make([]byte, probeSize))
	if failed == nil {
		failed = f.Sync()
	}
	return trace.NewAggregate(failed, f.Close(), s.fs.Remove(probeFile))
}

// fail marks the store as failed, so that every later write returns ErrFailed, and
// returns err.
func (s *Store) fail(err error) error {
	if s.failed == nil {
		s.failed = err
	}
	return trace.Wrap(err)
}
