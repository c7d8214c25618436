package raft

import (
	"slices"

	"lacewingturn.example/core/model"
)

// Log is the part of the replicated log after the position Base. It is a value;
// entries that it holds are not modified.
type Log struct {
	base     model.Index
	baseTerm model.Term
	entries  []Entry
}

// NewLog returns a log that continues a snapshot at the given position.
func NewLog(base model.Index, baseTerm model.Term, entries []Entry) Log {
	return Log{base: base, baseTerm: baseTerm, entries: entries}
}

// Base returns the position before the first entry.
func (l Log) Base() model.Index { return l.base }

// Last returns the index of the last entry.
func (l Log) Last() model.Index { return l.base + model.Index(len(l.entries)) }

// LastTerm returns the term of the last entry.
func (l Log) LastTerm() model.Term {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// Term returns the term at index i; it reports false outside the log.
func (l Log) Term(i model.Index) (model.Term, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.Last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// Slice returns the entries after from, up to and including to, of about
// maxBytes but at least one.
func (l Log) Slice(from, to model.Index, maxBytes int) []Entry {
	if from < l.base || from >= to {
		return nil
	}
	all := l.entries[from-l.base : to-l.base]
	bytes := 0
	for i, e := range all {
		bytes += e.size()
		if i > 0 && bytes > maxBytes {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

func (l Log) append(entries ...Entry) Log {
	l.entries = append(l.entries, entries...)
	return l
}

// truncate drops the entries from index on. The remaining slice is clipped so
// that a later append does not overwrite entries held by others.
func (l Log) truncate(from model.Index) Log {
	l.entries = slices.Clip(l.entries[:from-l.base-1])
	return l
}

// compact drops the entries up to and including index.
func (l Log) compact(index model.Index) Log {
	term, ok := l.Term(index)
	if !ok || index <= l.base {
		return l
	}
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
	return l
}
