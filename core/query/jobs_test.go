package query_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
)

// Guards against an explanation that uses the declared size of a job although its
// class has a smaller learned size: it would report less free capacity than the
// placement finds.
func TestExplainJobUsesLearnedSizes(t *testing.T) {
	s := fleetState(t)
	s.Classes = s.Classes.Set("t/p", model.ClassEstimate{Class: "t/p", Samples: 3, Used: model.Resources{MilliCPU: 1000, MemoryMB: 1}})
	e, ok := query.Explain(s, model.Observations{}, s.Clock, query.KindJob, "big")
	assert.Assert(t, ok)
	text := strings.Join(e.Reasons, "\n")
	for _, want := range []string{"as learned from 3 of them", "0 have not enough free capacity, 3 have room"} {
		assert.Assert(t, strings.Contains(text, want), "missing %q in\n%s", want, text)
	}
	v, ok := query.Jobs(s, "")
	assert.Assert(t, ok)
	assert.Equal(t, v.Teams[0].Used, query.Capacity(model.Resources{MilliCPU: 2000, MemoryMB: 1}))
}
