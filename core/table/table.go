// Package table provides a persistent ordered map. Updates share structure with
// the previous version, so publishing an immutable view costs one pointer.
package table

import (
	"cmp"
	"iter"

	"github.com/benbjohnson/immutable"
)

// Table is an immutable ordered map. The zero value is an empty table.
// Values must not be modified after they have been stored.
type Table[K cmp.Ordered, V any] struct {
	m *immutable.SortedMap[K, V]
}

type comparer[K cmp.Ordered] struct{}

func (comparer[K]) Compare(a, b K) int { return cmp.Compare(a, b) }

// Get returns the value stored under k, and false if there is none.
func (t Table[K, V]) Get(k K) (V, bool) {
	if t.m == nil {
		var zero V
		return zero, false
	}
	return t.m.Get(k)
}

// Has reports whether the table has an entry for k.
func (t Table[K, V]) Has(k K) bool {
	_, ok := t.Get(k)
	return ok
}

// Set returns a copy of the table in which k maps to v. The receiver does not
// change; the cost is logarithmic in its length.
func (t Table[K, V]) Set(k K, v V) Table[K, V] {
	m := t.m
	if m == nil {
		m = immutable.NewSortedMap[K, V](comparer[K]{})
	}
	return Table[K, V]{m: m.Set(k, v)}
}

// Delete returns a copy of the table without k. Deleting an absent key is not an
// error.
func (t Table[K, V]) Delete(k K) Table[K, V] {
	if t.m == nil {
		return t
	}
	return Table[K, V]{m: t.m.Delete(k)}
}

// Len returns the number of entries, in constant time.
func (t Table[K, V]) Len() int {
	if t.m == nil {
		return 0
	}
	return t.m.Len()
}

// All iterates over the entries in key order.
func (t Table[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if t.m == nil {
			return
		}
		itr := t.m.Iterator()
		for !itr.Done() {
			k, v, _ := itr.Next()
			if !yield(k, v) {
				return
			}
		}
	}
}

// From iterates in key order over the entries whose key is at least first.
func (t Table[K, V]) From(first K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if t.m == nil {
			return
		}
		itr := t.m.Iterator()
		itr.Seek(first)
		for !itr.Done() {
			k, v, _ := itr.Next()
			if !yield(k, v) {
				return
			}
		}
	}
}

// Values copies the values into a new slice, in key order.
func (t Table[K, V]) Values() []V {
	out := make([]V, 0, t.Len())
	for _, v := range t.All() {
		out = append(out, v)
	}
	return out
}

// Same reports whether both tables are the same version. It compares pointers
// only, so false does not mean that the contents differ.
func (t Table[K, V]) Same(o Table[K, V]) bool { return t.m == o.m }

// FromValues builds a table that stores each value under the key that key
// returns for it. Of several values with the same key the last one is kept.
func FromValues[K cmp.Ordered, V any](values []V, key func(V) K) Table[K, V] {
	if len(values) == 0 {
		return Table[K, V]{}
	}
	b := immutable.NewSortedMapBuilder[K, V](comparer[K]{})
	for _, v := range values {
		b.Set(key(v), v)
	}
	return Table[K, V]{m: b.Map()}
}
