package storage

import (
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"lacewingturn.example/replica/raft"
)

// recover reads the folder and removes files left over from an interrupted run.
func (s *Store) recover(name, incarnation string) (Recovery, error) {
	var r Recovery
	names, err := s.fs.List()
	if err != nil {
		return r, trace.Wrap(err)
	}
	id, err := loadIdentity(s.fs, name, incarnation, !hasData(names))
	if err != nil {
		return r, trace.Wrap(err)
	}
	r.ID, r.New = id.id(), id.Incarnation == incarnation
	if err := s.readSnapshot(names, &r); err != nil {
		return r, trace.Wrap(err)
	}
	if err := s.readLog(names, &r); err != nil {
		return r, trace.Wrap(err)
	}
	r.Hard = s.hard
	r.Entries = append([]raft.Entry(nil), s.entries...)
	return r, trace.Wrap(s.clean(names))
}

// hasData reports whether there is a log or snapshot file.
func hasData(names []string) bool {
	for _, n := range names {
		if strings.HasSuffix(n, temporary) {
			continue
		}
		if strings.HasPrefix(n, logPrefix) || strings.HasPrefix(n, snapshotPrefix) {
			return true
		}
	}
	return false
}

// readLog reads the newest log file. It creates an empty one if the folder has no
// data, and truncates an incomplete last record.
func (s *Store) readLog(names []string, r *Recovery) error {
	for _, n := range names {
		number, ok := strings.CutPrefix(n, logPrefix)
		if generation, err := strconv.ParseUint(number, 16, 64); ok && err == nil {
			s.generation = max(s.generation, generation)
		}
	}
	s.base = fileHeader{r.SnapshotIndex, r.SnapshotTerm}
	if s.generation == 0 {
		if s.snapshot != "" {
			return trace.Wrap(&CorruptError{File: s.snapshot, Reason: "the folder has this snapshot but no log file"})
		}
		return trace.Wrap(s.rotate())
	}
	file := logName(s.generation)
	data, err := s.fs.ReadFile(file)
	if err != nil {
		return trace.Wrap(err)
	}
	payloads, valid, err := readRecords(file, data)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := s.replay(file, payloads, r); err != nil {
		return trace.Wrap(err)
	}
	r.Truncated = int64(len(data)) - valid
	if s.log != nil {
		return nil // replay has already replaced the file
	}
	if r.Truncated > 0 {
		if err := s.fs.Truncate(file, valid); err != nil {
			return trace.Wrap(err)
		}
	}
	if s.log, err = s.fs.OpenAppend(file); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(s.log.Sync())
}

// replay applies the records of a log file. If the file does not continue the
// current snapshot, replay replaces it by a new file with the remaining entries.
func (s *Store) replay(file string, payloads [][]byte, r *Recovery) error {
	corrupt := func(reason string) error { return trace.Wrap(&CorruptError{File: file, Reason: reason}) }
	if len(payloads) == 0 {
		return corrupt("the file has no valid record, so the file header is missing")
	}
	var base fileHeader
	var entries []raft.Entry
	for i, payload := range payloads {
		b, list, err := decodeBatch(payload)
		if err != nil {
			return corrupt(err.Error())
		}
		if (b.File != nil) != (i == 0) {
			return corrupt("the file header must be in the first record and in no other")
		}
		if b.File != nil {
			base = *b.File
		}
		if b.Hard != nil {
			s.hard = raft.HardState{Term: b.Hard.Term, Vote: b.Hard.Vote}
		}
		for _, e := range list {
			if entries, err = splice(base.Base, entries, []raft.Entry{e}); err != nil {
				return corrupt(err.Error())
			}
		}
	}
	if base.Base > s.base.Base {
		return corrupt("the log continues a newer snapshot than the newest one in the folder")
	}
	s.entries = entries
	if base != s.base {
		s.entries = entriesAfter(base.Base, entries, raft.Snapshot{Index: s.base.Base, Term: s.base.BaseTerm})
		// The process stopped after publishing the snapshot and before publishing
		// the log file that continues it.
		return trace.Wrap(s.rotate())
	}
	return nil
}

func decodeBatch(payload []byte) (batch, []raft.Entry, error) {
	var b batch
	if err := cbor.Unmarshal(payload, &b); err != nil {
		return b, nil, err
	}
	list := make([]raft.Entry, len(b.Entries))
	for i, e := range b.Entries {
		var err error
		if list[i], err = fromEntry(e); err != nil {
			return b, nil, err
		}
	}
	return b, list, nil
}

// clean removes temporary files and superseded log and snapshot files.
func (s *Store) clean(names []string) error {
	for _, n := range names {
		old := strings.HasPrefix(n, logPrefix) && n < logName(s.generation) ||
			strings.HasPrefix(n, snapshotPrefix) && n < s.snapshot
		if !old && !strings.HasSuffix(n, temporary) {
			continue
		}
		if err := s.fs.Remove(n); err != nil && !trace.IsNotFound(err) {
			return trace.Wrap(err)
		}
	}
	return nil
}
