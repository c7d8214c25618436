package replay

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a trace written by Writer that Read rejects or reads with other
// values, here fractions of a millisecond and optional fields.
func TestWrittenTraceIsRead(t *testing.T) {
	want := Trace{
		Targets: []Target{{ID: "t1", Slots: 8}},
		Records: []Record{
			{ID: "1", Caller: "c", Cohort: "quotes", Service: "quotes", At: 1500 * time.Microsecond, Run: 20 * time.Millisecond, Deadline: 2 * time.Second},
			{ID: "2", Caller: "d", Cohort: "tickets", Service: "tickets", At: time.Second, Run: time.Millisecond, Declared: 3 * time.Millisecond, CancelAt: 2 * time.Second, Cancel: true},
		},
	}
	var out bytes.Buffer
	w, err := NewWriter(&out, want.Targets)
	assert.NilError(t, err)
	for _, r := range want.Records {
		assert.NilError(t, w.Write(r))
	}
	got, err := Read(&out)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}
