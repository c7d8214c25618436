package admission

import (
	"slices"
	"time"
)

// stalled reports whether the account may be evicted for others.
func (a *Account) stalled(now time.Time) bool { return a.phase != Running && a.lag(now) > stallTime }

func (t *Table) stalledBytes(now time.Time, except *Account) (sum int64) {
	for a := range t.accounts {
		if a != except && a.stalled(now) {
			sum += a.held
		}
	}
	return sum
}

// evictStalled closes stalled accounts until the missing bytes are given back. It closes none if
// all of them together hold less.
func (t *Table) evictStalled(now time.Time, asking *Account, missing int64) (victims []*Account) {
	if now.Before(t.nextScan) {
		return nil
	}
	if t.stalledBytes(now, asking) < missing {
		t.nextScan = now.Add(scanPause)
		return nil
	}
	var list []*Account
	for a := range t.accounts {
		if a != asking && a.stalled(now) {
			list = append(list, a)
		}
	}
	slices.SortFunc(list, func(a, b *Account) int { return compareVictims(now, a, b) })
	for _, a := range list {
		if missing <= 0 {
			break
		}
		missing -= a.held
		t.Close(a)
		victims = append(victims, a)
	}
	return victims
}

// oldest returns the stalled connection that is closed first for a new one; nil if no
// connection is stalled.
func (t *Table) oldest(now time.Time) (first *Account) {
	if now.Before(t.nextScan) {
		return nil
	}
	for a := range t.accounts {
		if a.base > 0 && a.stalled(now) && (first == nil || compareVictims(now, a, first) < 0) {
			first = a
		}
	}
	if first == nil {
		t.nextScan = now.Add(scanPause)
	}
	return first
}

// compareVictims orders accounts by who is closed first: unfinished requests by what they
// hold and for how long they have stalled, then connections that never sent anything, then
// idle ones.
func compareVictims(now time.Time, a, b *Account) int {
	if x, y := a.rank(), b.rank(); x != y {
		return x - y
	}
	x, y := float64(a.held)*a.lag(now).Seconds(), float64(b.held)*b.lag(now).Seconds()
	switch {
	case x > y:
		return -1
	case x < y:
		return 1
	default:
		return 0
	}
}

func (a *Account) rank() int {
	switch {
	case a.phase.unfinished():
		return 0
	case a.phase == Silent:
		return 1
	default:
		return 2
	}
}
