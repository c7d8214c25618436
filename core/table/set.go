package table

import (
	"iter"
	"slices"
	"unsafe"

	"github.com/benbjohnson/immutable"
)

// Ordered is a type with an order of its own.
type Ordered[K any] interface {
	// Compare returns a negative number if the receiver comes before the argument, a positive
	// one if it comes after it, and 0 if they are equal.
	Compare(K) int
}

// maxSmallSet is the number of elements up to which a set is a sorted slice.
const maxSmallSet = 32

// Set is an immutable ordered set. The zero value is empty.
type Set[K Ordered[K]] struct {
	// small holds the elements if there are at most maxSmallSet, m otherwise.
	small []K
	m     *immutable.SortedMap[K, struct{}]
}

type orderedComparer[K Ordered[K]] struct{}

func (orderedComparer[K]) Compare(a, b K) int { return a.Compare(b) }

// find returns the place of k among the elements of a small set, and whether it is there.
func (s Set[K]) find(k K) (int, bool) {
	return slices.BinarySearchFunc(s.small, k, func(a, b K) int { return a.Compare(b) })
}

// Has reports whether the set contains k.
func (s Set[K]) Has(k K) bool {
	if s.m == nil {
		_, ok := s.find(k)
		return ok
	}
	_, ok := s.m.Get(k)
	return ok
}

// Add returns a copy of the set with k. The receiver does not change; the cost is logarithmic
// in its length.
func (s Set[K]) Add(k K) Set[K] {
	if s.m != nil {
		return Set[K]{m: s.m.Set(k, struct{}{})}
	}
	i, ok := s.find(k)
	if ok {
		return s
	}
	list := make([]K, 0, len(s.small)+1)
	list = append(append(append(list, s.small[:i]...), k), s.small[i:]...)
	return ofSorted(list)
}

// ofSorted returns the set of the elements of a sorted list, which it keeps.
func ofSorted[K Ordered[K]](list []K) Set[K] {
	if len(list) <= maxSmallSet {
		return Set[K]{small: list}
	}
	b := immutable.NewSortedMapBuilder[K, struct{}](orderedComparer[K]{})
	for _, k := range list {
		b.Set(k, struct{}{})
	}
	return Set[K]{m: b.Map()}
}

// Remove returns a copy of the set without k. Removing an absent element is not an error.
func (s Set[K]) Remove(k K) Set[K] {
	if s.m == nil {
		if i, ok := s.find(k); ok {
			return Set[K]{small: slices.Concat(s.small[:i], s.small[i+1:])}
		}
		return s
	}
	next := Set[K]{m: s.m.Delete(k)}
	if next.m.Len() > maxSmallSet/2 {
		return next
	}
	return ofSorted(slices.Collect(next.All()))
}

// Len returns the number of elements, in constant time.
func (s Set[K]) Len() int {
	if s.m == nil {
		return len(s.small)
	}
	return s.m.Len()
}

// All iterates over the elements in their order.
func (s Set[K]) All() iter.Seq[K] {
	if s.m == nil {
		return slices.Values(s.small)
	}
	return func(yield func(K) bool) {
		for itr := s.m.Iterator(); !itr.Done(); {
			if k, _, _ := itr.Next(); !yield(k) {
				return
			}
		}
	}
}

// Same reports whether both sets are the same version. It compares memory only, so false does
// not mean that the contents differ.
func (s Set[K]) Same(o Set[K]) bool {
	return s.m == o.m && len(s.small) == len(o.small) && unsafe.SliceData(s.small) == unsafe.SliceData(o.small)
}
