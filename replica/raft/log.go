package raft

import (
	"slices"
	"sort"

	"lacewingturn.example/core/model"
)

// Log is the part of the replicated log after index Base. It is a value type;
// the entries in it are never modified.
type Log struct {
	base     model.Index
	baseTerm model.Term
	entries  []Entry
	// ends holds, for each entry, the size of all entries up to it, in bytes; start is the size
	// of those that were removed. A leader asks for the size of a range for each proposal.
	ends  []int
	start int
}

// NewLog returns a log that continues a snapshot whose last entry has index base
// and term baseTerm.
func NewLog(base model.Index, baseTerm model.Term, entries []Entry) Log {
	return Log{base: base, baseTerm: baseTerm}.append(entries...)
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

// bytesUpTo returns the size of all entries up to index, in bytes.
func (l Log) bytesUpTo(index model.Index) int {
	if index <= l.base {
		return l.start
	}
	return l.ends[index-l.base-1]
}

// bytesAfter returns the size of the entries after index, in bytes.
func (l Log) bytesAfter(index model.Index) int { return l.bytesUpTo(l.Last()) - l.bytesUpTo(index) }

// keepBefore returns the lowest index from which to index there are at most so many entries and
// about so many bytes.
func (l Log) keepBefore(index model.Index, entries, maxBytes int) model.Index {
	lowest := max(l.base, index-min(index, model.Index(entries)))
	end := l.bytesUpTo(index)
	return lowest + model.Index(sort.Search(int(index-lowest), func(i int) bool {
		return end-l.bytesUpTo(lowest+model.Index(i)) <= maxBytes
	}))
}

func (l Log) append(entries ...Entry) Log {
	end := l.bytesUpTo(l.Last())
	for _, e := range entries {
		end += e.size()
		l.ends = append(l.ends, end)
	}
	l.entries = append(l.entries, entries...)
	return l
}

// truncate removes the entry at index from and all later ones. The remaining
// slices are clipped, so a later append does not overwrite entries that other
// holders of the old slices still use.
func (l Log) truncate(from model.Index) Log {
	l.entries = slices.Clip(l.entries[:from-l.base-1])
	l.ends = slices.Clip(l.ends[:from-l.base-1])
	return l
}

// compact removes the entries up to and including index. It does nothing if the
// log does not contain index.
func (l Log) compact(index model.Index) Log {
	term, ok := l.Term(index)
	if !ok || index <= l.base {
		return l
	}
	l.start = l.bytesUpTo(index)
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.ends = slices.Clone(l.ends[index-l.base:])
	l.base, l.baseTerm = index, term
	return l
}
