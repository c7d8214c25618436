package raft

import (
	"slices"

	"lacewingturn.example/core/model"
)

// Log is the part of the replicated log after index Base. It is a value type;
// the entries in it are never modified.
type Log struct {
	base     model.Index
	baseTerm model.Term
	entries  []Entry
}

// NewLog returns a log that continues a snapshot whose last entry has index base
// and term baseTerm.
func NewLog(base model.Index, baseTerm model.Term, entries []Entry) Log {
	return Log{base: base, baseTerm: baseTerm, entries: entries}
}

// Base returns the index preceding the first entry, which is the index of the
// snapshot that the log continues.
func (l Log) Base() model.Index { return l.base }

// Last returns the index of the last entry, or Base if the log is empty.
func (l Log) Last() model.Index { return l.base + model.Index(len(l.entries)) }

// LastTerm returns the term of the last entry, or the term at Base if the log is
// empty.
func (l Log) LastTerm() model.Term {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// Term returns the term of the entry at index i. It returns false if i is before
// Base or after Last.
func (l Log) Term(i model.Index) (model.Term, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.Last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

// Slice returns the entries with indexes in (from, to], limited to about maxBytes
// bytes but always at least one entry. It returns nil if the range is empty or
// starts before Base.
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

// bytesAfter returns the size of the entries after index, in bytes.
func (l Log) bytesAfter(index model.Index) int {
	sum := 0
	for _, e := range l.entries[max(index, l.base)-l.base:] {
		sum += e.size()
	}
	return sum
}

// keepBefore returns the lowest index from which to index there are at most so many entries and
// about so many bytes.
func (l Log) keepBefore(index model.Index, entries, maxBytes int) model.Index {
	lowest := max(l.base, index-min(index, model.Index(entries)))
	for bytes := 0; index > lowest; index-- {
		if bytes += l.entries[index-l.base-1].size(); bytes > maxBytes {
			break
		}
	}
	return index
}

func (l Log) append(entries ...Entry) Log {
	l.entries = append(l.entries, entries...)
	return l
}

// truncate removes the entry at index from and all later ones. The remaining
// slice is clipped, so a later append does not overwrite entries that other
// holders of the old slice still use.
func (l Log) truncate(from model.Index) Log {
	l.entries = slices.Clip(l.entries[:from-l.base-1])
	return l
}

// compact removes the entries up to and including index. It does nothing if the
// log does not contain index.
func (l Log) compact(index model.Index) Log {
	term, ok := l.Term(index)
	if !ok || index <= l.base {
		return l
	}
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
	return l
}
