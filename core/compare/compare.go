// Package compare orders times and conditions, which the package cmp does not.
package compare

import "time"

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// EarlierDeadline returns the earlier of two deadlines, of which zero means never.
func EarlierDeadline(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// TrueFirst compares two conditions for sorting: what meets it comes first.
func TrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
