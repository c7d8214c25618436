// Package storage keeps the log, the hard state, the snapshots and the identity
// of a replica in one data folder. Every method that changes something returns
// only after the change is durable.
package storage

import (
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/replica/raft"
)

// ErrFailed is returned after a write or sync has failed. What reached the disk
// is unknown then, so that nothing may be written until the next start.
var ErrFailed = errors.New("the storage has failed and takes no more writes")

// Store is an open data folder. It is used by one goroutine at a time.
type Store struct {
	fs         FS
	lock       io.Closer
	log        File
	generation uint64 // of the log file
	hard       raft.HardState
	base       fileHeader
	// entries are those after the snapshot; they are written again when the log
	// file is replaced.
	entries  []raft.Entry
	snapshot string // name of the current snapshot file, empty if none
	failed   error
}

// Recovery is what Open has read.
type Recovery struct {
	ID  model.ReplicaID
	New bool // the identity was created by this start
	raft.Recovered
	State []byte // encoded state of the snapshot; nil if none
	// Truncated is the length in bytes of a torn last write that was removed.
	Truncated int64
}

// Open locks the folder, checks its identity and reads its content. A first
// start takes the given incarnation.
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

// Close releases the folder.
func (s *Store) Close() error {
	var errs []error
	if s.log != nil {
		errs = append(errs, s.log.Close())
	}
	errs = append(errs, s.lock.Close())
	return trace.NewAggregate(errs...)
}

// Apply makes the writes durable with one write and one sync.
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

// install writes what came before a snapshot in the batch, the snapshot, and
// the rest of the batch.
func (s *Store) install(before batch, w raft.Write, rest []raft.Write) error {
	if err := s.append(before); err != nil {
		return err
	}
	state, ok := w.Install.Data.(Encoded)
	if !ok {
		return s.fail(fmt.Errorf("storage: a snapshot of type %T cannot be written", w.Install.Data))
	}
	if err := s.PrepareSnapshot(*w.Install, state.EncodedState()); err != nil {
		return s.fail(err)
	}
	if err := s.AdoptSnapshot(*w.Install); err != nil {
		return err
	}
	if len(rest) == 0 {
		return nil
	}
	return s.Apply(rest)
}

// Encoded is implemented by snapshots that a leader sent.
type Encoded interface{ EncodedState() []byte }

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

// extend keeps the copy of the entries in memory in step with the file.
func (s *Store) extend(entries []raft.Entry) error {
	var err error
	s.entries, err = splice(s.base.Base, s.entries, entries)
	return err
}

// splice appends entries to a log that starts after base. An entry that is
// already there replaces the rest of the log.
func splice(base model.Index, log, entries []raft.Entry) ([]raft.Entry, error) {
	if len(entries) == 0 {
		return log, nil
	}
	first := entries[0].Index
	if first <= base || first > base+model.Index(len(log))+1 {
		return log, fmt.Errorf("storage: entry %d does not continue a log from %d to %d", first, base, base+model.Index(len(log)))
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

// Probe tests whether the folder takes writes, with a file that it removes.
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

// fail makes every later write fail.
func (s *Store) fail(err error) error {
	if s.failed == nil {
		s.failed = err
	}
	return trace.Wrap(err)
}
