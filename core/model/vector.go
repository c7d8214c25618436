package model

import (
	"iter"
	"slices"
)

const (
	// leafLength is the number of values in a leaf of a vector.
	leafLength = 32
	// branchLength is the number of leaves in a branch of a vector.
	branchLength = 32
)

// vector is an immutable list of fixed length. Replacing a value copies one leaf, one branch and
// the list of branches, so that the cost hardly depends on the length. Most values of a long list
// are one of two: untouched, or final. A leaf that holds only such values of one kind takes no
// memory.
type vector[T any] struct {
	length int
	// beganFinal is set if all values were final at first. A leaf without a place in branches holds
	// what all values were at first.
	beganFinal bool
	// only is the leaf of a list of at most leafLength values; longer ones have branches.
	only     []T
	branches [][][]T
	// stored is the number of values in leaves that take memory.
	stored int
}

// isFinalLeaf reports whether each value of the leaf is final.
func isFinalLeaf[T any](leaf []T) bool { return leaf != nil && len(leaf) == 0 }

// isUntouchedLeaf reports whether no value of the leaf was touched.
func isUntouchedLeaf[T any](leaf []T) bool { return leaf == nil }

// isUniformLeaf reports whether the leaf takes no memory, as all of its values are untouched or
// all are final.
func isUniformLeaf[T any](leaf []T) bool { return len(leaf) == 0 }

func noLeaf[T any]([]T) bool { return false }

// leaf returns the leaf that holds the position.
func (v *vector[T]) leaf(i int) []T {
	if v.length <= leafLength {
		return v.only
	}
	if v.branches == nil || v.branches[i/(leafLength*branchLength)] == nil {
		return v.firstLeaf()
	}
	return v.branches[i/(leafLength*branchLength)][i/leafLength%branchLength]
}

// setLeaf replaces the leaf that holds the position, in place.
func (v *vector[T]) setLeaf(i int, leaf []T) {
	if v.length <= leafLength {
		v.only = leaf
		return
	}
	b, leaves := i/(leafLength*branchLength), (v.length+leafLength-1)/leafLength
	if v.branches == nil {
		v.branches = make([][][]T, (leaves+branchLength-1)/branchLength)
	}
	if v.branches[b] == nil {
		v.branches[b] = make([][]T, min(branchLength, leaves-b*branchLength))
		fill(v.branches[b], v.firstLeaf())
	}
	v.branches[b][i/leafLength%branchLength] = leaf
}

// cloneTo clones what leads to the leaf that holds the position, and the leaf.
func (v *vector[T]) cloneTo(i int) {
	if v.length <= leafLength {
		v.only = slices.Clone(v.only)
		return
	}
	if v.branches == nil {
		return
	}
	b, l := i/(leafLength*branchLength), i/leafLength%branchLength
	v.branches = slices.Clone(v.branches)
	if branch := slices.Clone(v.branches[b]); branch != nil {
		branch[l] = slices.Clone(branch[l])
		v.branches[b] = branch
	}
}

// at returns the value at a position. The arguments are the values that take no memory.
func (v *vector[T]) at(i int, untouched, final T) T {
	return valueIn(v.leaf(i), i, untouched, final)
}

// valueIn returns the value at a position that the leaf holds.
func valueIn[T any](leaf []T, i int, untouched, final T) T {
	switch {
	case leaf == nil:
		return untouched
	case isFinalLeaf(leaf):
		return final
	default:
		return leaf[i%leafLength]
	}
}

// leafSize returns the number of values of the leaf that holds the position.
func (v *vector[T]) leafSize(i int) int { return min(leafLength, v.length-i/leafLength*leafLength) }

// with returns the vector with another value at a position.
func (v vector[T]) with(i int, value, untouched, final T, isFinal func(T) bool) vector[T] {
	v.cloneTo(i)
	v.put(i, value, untouched, final, isFinal)
	return v
}

// put replaces the value at a position in place. isFinal reports whether a value is final.
func (v *vector[T]) put(i int, value, untouched, final T, isFinal func(T) bool) {
	leaf := v.leaf(i)
	if len(leaf) == 0 {
		common := untouched
		if isFinalLeaf(leaf) {
			common = final
		}
		leaf = make([]T, v.leafSize(i))
		fill(leaf, common)
		v.stored += len(leaf)
	}
	leaf[i%leafLength] = value
	if isFinal(value) && all(leaf, isFinal) {
		v.stored -= len(leaf)
		leaf = []T{}
	}
	v.setLeaf(i, leaf)
}

// allFinal returns a vector of final values.
func allFinal[T any](length int) vector[T] {
	return vector[T]{length: length, beganFinal: true, only: []T{}}
}

// firstLeaf returns a leaf of what all values were at first.
func (v *vector[T]) firstLeaf() []T {
	if v.beganFinal {
		return []T{}
	}
	return nil
}

// values iterates over the values from a position on, without those of leaves that are skipped.
func (v vector[T]) values(from int, skip func(leaf []T) bool, untouched, final T) iter.Seq2[int, T] {
	return func(yield func(int, T) bool) {
		for first := from / leafLength * leafLength; first < v.length; first += leafLength {
			leaf := v.leaf(first)
			if skip(leaf) {
				continue
			}
			for i := max(first, from); i < first+v.leafSize(first); i++ {
				if !yield(i, valueIn(leaf, i, untouched, final)) {
					return
				}
			}
		}
	}
}

func fill[T any](list []T, value T) {
	for i := range list {
		list[i] = value
	}
}

func all[T any](list []T, is func(T) bool) bool {
	for _, value := range list {
		if !is(value) {
			return false
		}
	}
	return true
}
