package storage

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"lacewingturn.example/core/model"
	"lacewingturn.example/replica/raft"
)

const (
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
)

func logName(generation uint64) string { return fmt.Sprintf("%s%016x", logPrefix, generation) }

func snapshotName(index model.Index) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// PrepareSnapshot writes a snapshot to a temporary file. ActivateSnapshot makes it
// the current snapshot. PrepareSnapshot does not access mutable fields of the store,
// so it may run concurrently with Apply.
func (s *Store) PrepareSnapshot(snap raft.Snapshot, state []byte) error {
	meta, err := cbor.Marshal(snapshotMeta{snap.Index, snap.Term, snap.Clock, toMembers(snap.Members)})
	if err != nil {
		return fmt.Errorf("storage: encode snapshot: %w", err)
	}
	data, err := appendRecord(nil, meta)
	if err != nil {
		return err
	}
	if data, err = appendRecord(data, state); err != nil {
		return err
	}
	return s.writeFile(snapshotName(snap.Index)+temporary, data)
}

// writeFile creates a file with the data and syncs it.
func (s *Store) writeFile(name string, data []byte) error {
	file, err := s.fs.Create(name)
	if err != nil {
		return trace.Wrap(err)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(file.Sync())
}

// ActivateSnapshot publishes a prepared snapshot as the current one and replaces
// the log file by one that continues it. A crash between the two steps leaves the
// snapshot and the old, longer log, which Open handles.
func (s *Store) ActivateSnapshot(snap raft.Snapshot) error {
	if s.failed != nil {
		return trace.Wrap(ErrFailed, "%v", s.failed)
	}
	if snap.Index <= s.base.Base {
		return trace.Wrap(s.fs.Remove(snapshotName(snap.Index) + temporary)) // this snapshot or a newer one was installed meanwhile
	}
	if err := publish(s.fs, snapshotName(snap.Index)); err != nil {
		return s.fail(err)
	}
	s.entries = entriesAfter(s.base.Base, s.entries, snap)
	s.base = fileHeader{snap.Index, snap.Term}
	if err := s.rotate(); err != nil {
		return s.fail(err)
	}
	old := s.snapshot
	s.snapshot = snapshotName(snap.Index)
	if old != "" && old != s.snapshot {
		if err := s.fs.Remove(old); err != nil {
			return s.fail(err)
		}
	}
	return nil
}

// entriesAfter returns the entries after the snapshot. It returns none if the
// snapshot's last entry is not in the log with the same term.
func entriesAfter(base model.Index, entries []raft.Entry, snap raft.Snapshot) []raft.Entry {
	last := base + model.Index(len(entries))
	if snap.Index <= base || snap.Index > last || entries[snap.Index-base-1].Term != snap.Term {
		return nil
	}
	return append([]raft.Entry(nil), entries[snap.Index-base:]...)
}

// rotate writes the hard state and the entries to a new log file and removes the
// old one.
func (s *Store) rotate() error {
	entries, err := toEntries(s.entries)
	if err != nil {
		return err
	}
	record, err := encodeBatch(batch{File: &s.base, Hard: &hardState{s.hard.Term, s.hard.Vote}, Entries: entries})
	if err != nil {
		return err
	}
	old := logName(s.generation)
	name := logName(s.generation + 1)
	if err := s.writeFile(name+temporary, record); err != nil {
		return trace.Wrap(err)
	}
	if err := publish(s.fs, name); err != nil {
		return trace.Wrap(err)
	}
	file, err := s.fs.OpenAppend(name)
	if err != nil {
		return trace.Wrap(err)
	}
	s.generation++
	if s.log == nil {
		s.log = file
		return nil
	}
	s.log.Close() // an error has no effect, because the new file contains all the data
	s.log = file
	return trace.Wrap(s.fs.Remove(old))
}

// readSnapshot reads the newest snapshot. Older ones were left over by a crash;
// clean removes them.
func (s *Store) readSnapshot(names []string, r *Recovery) error {
	for _, name := range names {
		if strings.HasPrefix(name, snapshotPrefix) && !strings.HasSuffix(name, temporary) && name > s.snapshot {
			s.snapshot = name
		}
	}
	if s.snapshot == "" {
		return nil
	}
	data, err := s.fs.ReadFile(s.snapshot)
	if err != nil {
		return trace.Wrap(err)
	}
	payloads, valid, err := readRecords(s.snapshot, data)
	if err != nil {
		return trace.Wrap(err)
	}
	if len(payloads) != 2 || valid != int64(len(data)) {
		return trace.Wrap(&CorruptError{s.snapshot, valid, "the file does not consist of exactly two valid records"})
	}
	var meta snapshotMeta
	if err := cbor.Unmarshal(payloads[0], &meta); err != nil {
		return trace.Wrap(&CorruptError{s.snapshot, 0, err.Error()})
	}
	r.SnapshotIndex, r.SnapshotTerm, r.Clock = meta.Index, meta.Term, meta.Clock
	r.Members, r.State = fromMembers(meta.Members), payloads[1]
	return nil
}
