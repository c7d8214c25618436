package replay

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command/dispatch"
)

func percent(f float64) string { return fmt.Sprintf("%.2f", 100*f) }

const validHeader = `{"trace":1,"targets":[{"id":"t1","slots":8}]}` + "\n"

const validRecord = `{"at_ms":0,"id":"a","caller":0,"cohort":"c","service":"s","run_ms":10}` + "\n"

// Guards against an invalid trace that is accepted or reported with the wrong line:
// bad headers, repeated IDs, unknown, missing and out-of-range fields, two values on
// a line, and an error after an empty line.
func TestReadReportsLineOfError(t *testing.T) {
	for _, c := range []struct {
		text string
		line int
	}{
		{"", 1},
		{`{"trace":2,"targets":[{"id":"t1","slots":8}]}`, 1},
		{`{"trace":1,"targets":[{"id":"t1","slots":0}]}`, 1},
		{`{"trace":1,"targets":[]}`, 1},
		{validHeader + validRecord + validRecord, 3}, // repeated ID
		{validHeader + strings.Replace(validRecord, `"id"`, `"x":1,"id"`, 1), 2},
		{validHeader + strings.Replace(validRecord, `:10`, `:-10`, 1), 2},
		{validHeader + strings.Replace(validRecord, `:10`, `:"10"`, 1), 2},
		{validHeader + strings.Replace(validRecord, `:10`, `:1e999`, 1), 2},
		{validHeader + strings.Replace(validRecord, `:10`, `:0`, 1), 2},
		{validHeader + strings.Replace(validRecord, `"at_ms":0,`, ``, 1), 2},
		{validHeader + strings.Replace(validRecord, `:10}`, `:10,"cancel_at_ms":-1}`, 1), 2},
		{validHeader + strings.TrimSpace(validRecord) + validRecord, 2}, // two values
		{validHeader + validRecord + "\n{", 4},
	} {
		_, err := Read(strings.NewReader(c.text))
		var line *LineError
		assert.Assert(t, errors.As(err, &line), "%q: %v", c.text, err)
		assert.Equal(t, line.Line, c.line, "%q: %v", c.text, err)
	}
}

// Guards against a virtual clock that overflows because the latest possible arrival
// and the run times add up to more than maxTotal.
func TestReadBoundsTotalRunTime(t *testing.T) {
	text := strings.Builder{}
	text.WriteString(validHeader)
	for i := range 300 {
		fmt.Fprintf(&text, `{"at_ms":0,"id":%d,"caller":0,"cohort":"c","service":"s","run_ms":31536000000}`+"\n", i)
	}
	_, err := Read(strings.NewReader(text.String()))
	var line *LineError
	assert.Assert(t, errors.As(err, &line), "%v", err)
	assert.Equal(t, line.Line, 201)
}

// Guards against times that change by a nanosecond when they are written as
// fractional milliseconds and read again.
func TestTraceFormatKeepsNanoseconds(t *testing.T) {
	want := Trace{Targets: []Target{{ID: "t1", Slots: 1}}}
	for i := range 1000 {
		d := time.Duration(1_234_567 + 7_919*i)
		want.Records = append(want.Records, Record{ID: fmt.Sprint(i), Caller: "c", Cohort: "c", Service: "s", At: d, Run: d})
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

// Guards against events of one instant that are processed in another order than
// completions, arrivals, cancellations, dispatch, and against a request that runs
// although it was cancelled or its deadline passed in the queue.
func TestReplayOrderAtOneInstant(t *testing.T) {
	text := `{"trace":1,"targets":[{"id":"t1","slots":1}]}
{"at_ms":0,"id":"first","caller":"b","cohort":"x","service":"s","run_ms":10}
{"at_ms":10,"id":"second","caller":"a","cohort":"y","service":"s","run_ms":10}
{"at_ms":5,"id":"late","caller":"a","cohort":"z","service":"s","run_ms":10,"deadline_ms":5}
{"at_ms":6,"id":"gone","caller":"a","cohort":"z","service":"s","run_ms":10,"cancel_at_ms":10}
{"at_ms":0,"id":"kept","caller":"b","cohort":"w","service":"s","run_ms":5,"cancel_at_ms":21}
`
	trace, err := Read(strings.NewReader(text))
	assert.NilError(t, err)
	r, err := Run(trace, Options{Policy: dispatch.RoundRobin})
	assert.NilError(t, err)
	assert.Equal(t, r.Completed, 3)
	assert.Equal(t, r.Rejected, 1)
	assert.Equal(t, r.Cancelled, 1)
	assert.Equal(t, r.Cohorts["y"].Wait.Max, 0.0)
	assert.Equal(t, r.Cohorts["w"].FinishedMS, 25.0)
	assert.Equal(t, r.Cohorts["z"].Count, 0)
	assert.Equal(t, r.Utilization, 1.0)
	var table bytes.Buffer
	assert.NilError(t, r.WriteTable(&table))
	assert.Assert(t, strings.Contains(table.String(), "1 rejected"), table.String())
}

// FuzzRead guards against input that makes Read panic, and against an accepted trace
// whose replay ends with requests that have no outcome.
func FuzzRead(f *testing.F) {
	f.Add(validHeader + validRecord)
	f.Add(validHeader + strings.Replace(validRecord, `:10`, `:0.5,"deadline_ms":3,"cancel_at_ms":7`, 1))
	f.Add("{")
	f.Fuzz(func(t *testing.T, text string) {
		trace, err := Read(strings.NewReader(text))
		if err != nil || len(trace.Records) > 1000 {
			return
		}
		for _, p := range dispatch.Policies() {
			r, err := Run(trace, Options{Policy: p})
			assert.NilError(t, err)
			assert.Equal(t, r.Completed+r.Rejected+r.Cancelled, len(trace.Records), string(p))
		}
	})
}
