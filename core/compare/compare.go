// Package compare provides comparisons of times and booleans that the standard
// package cmp lacks.
package compare

import "time"

// Earlier returns the earlier of two times. The zero time counts as the earliest;
// EarlierDeadline is for times where zero means that there is none.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Later returns the later of two times. The zero time counts as the earliest.
func Later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// EarlierDeadline returns the earlier of two deadlines. A zero time means no
// deadline; the result is zero only if both are.
func EarlierDeadline(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// TrueFirst is a comparison function for sorting that puts true before false.
func TrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
