package raft

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
)

// Guards against a log in memory that is bounded by the number of its entries only: entries may
// be as large as the body of a request.
func TestLogIsBoundedByItsBytes(t *testing.T) {
	var entries []Entry
	for i := range 100 {
		entries = append(entries, Entry{Index: model.Index(11 + i), Data: make([]byte, 1000-32)})
	}
	l := NewLog(10, 1, entries)
	assert.Equal(t, l.bytesAfter(110), 0)
	assert.Equal(t, l.bytesAfter(100), 10_000)
	assert.Equal(t, l.bytesAfter(0), 100_000)
	assert.Equal(t, l.keepBefore(100, 20, 1<<20), model.Index(80))
	assert.Equal(t, l.keepBefore(100, 20, 5500), model.Index(95))
	assert.Equal(t, l.keepBefore(100, 1000, 1<<20), model.Index(10))
	assert.Equal(t, l.keepBefore(100, 0, 1<<20), model.Index(100))
	assert.Equal(t, NewLog(10, 1, nil).keepBefore(10, 20, 100), model.Index(10))
}

// Guards against a leader that runs out of memory because large commands arrive faster than they
// are committed, and against one that takes none any more once they are.
func TestUncommittedBytesAreBounded(t *testing.T) {
	c, leader := newStableCluster(t, 3)
	c.replicas[leader].state.cfg.MaxUncommittedBytes = 10_000
	large := Propose{Commands: []Command{{Data: make([]byte, 4000)}}}
	for range 3 {
		assert.Equal(t, c.step(leader, large).Refusal, Appended)
	}
	assert.Equal(t, c.step(leader, large).Refusal, RefusedBusy)
	c.runFor(time.Second)
	assert.Equal(t, c.step(leader, large).Refusal, Appended)
}
