package instance

import (
	"testing"

	"gotest.tools/v3/assert"

	replicacommand "lacewingturn.example/replica/command"
)

// Guards against stored work that takes the memory which a snapshot and the log of it need, or
// that no new replica can be sent.
func TestWorkloadBudgetLeavesRoom(t *testing.T) {
	assert.Equal(t, workloadBudget(0), int64(0))
	for _, memory := range []int64{64 << 20, 284 << 20, 16 << 30} {
		budget := workloadBudget(memory)
		assert.Assert(t, budget > 0 && 6*budget <= memory*3/4) // the soft limit of the runtime
		assert.Assert(t, budget < replicacommand.MaxSnapshot)
	}
}
