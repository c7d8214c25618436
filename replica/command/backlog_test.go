package command

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica/raft"
)

// Guards against a replica that applies a long log without interruption after its
// start. It responds to neither heartbeats nor vote requests during that time and
// loses the leadership that it has just won.
func TestLongLogIsAppliedInBatches(t *testing.T) {
	r, err := Open(siteSettings(t, 1)[0], loop.New(loop.DefaultCapacity))
	assert.NilError(t, err)
	defer r.store.Close()
	m := r.machine
	const entries = 3*applyBatch + 1
	for i := range entries {
		m.backlog = append(m.backlog, raft.Entry{Index: model.Index(i + 1), Term: 1, Value: model.Envelope{Command: model.Noop{}}})
	}
	now := time.Now()
	for applied := 0; applied < entries; applied += applyBatch {
		assert.Equal(t, int(r.View().State.Index), applied)
		m.Flush(now)
		assert.Equal(t, !m.Deadline().After(now), len(m.backlog) > 0)
	}
	assert.Equal(t, int(r.View().State.Index), entries)
}
