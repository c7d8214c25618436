// Package replay reads and writes traces of requests, and replays them on a virtual
// clock through the queue policies of core/command/dispatch that production uses.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"lacewingturn.example/core/model"
)

// Version is the version of the trace format that Read understands.
const Version = 1

// Bounds of a trace.
const (
	maxLine  = 1 << 20     // bytes
	maxSlots = 1 << 20     // in total over all targets
	maxMS    = 365 * 864e5 // a year in ms, for each time in a record
	// maxTotal bounds the virtual duration of a replay, so that it fits a time.Duration.
	maxTotal = 200 * 365 * 24 * time.Hour
)

// Trace is a recorded sequence of requests together with the targets that served
// them.
type Trace struct {
	Targets []Target
	Records []Record // in file order
}

// Target is a target of the trace. Each of its slots can run any request.
type Target struct {
	ID    string
	Slots int
}

// Record is one request of a trace.
type Record struct {
	ID       string
	Caller   model.CallerID
	Cohort   string // group of requests that are reported together
	Service  model.ServiceName
	At       time.Duration // arrival since the start of the trace
	Run      time.Duration // run time once started
	Declared time.Duration // run time declared by the caller; 0 if none
	Deadline time.Duration // longest wait in the queue; 0 if unlimited
	CancelAt time.Duration // cancellation since the start of the trace
	Cancel   bool          // whether the request is cancelled at CancelAt
}

// Slots returns the total number of slots of all targets.
func (t Trace) Slots() int {
	n := 0
	for _, target := range t.Targets {
		n += target.Slots
	}
	return n
}

// LineError says why a trace is invalid and on which line.
type LineError struct {
	Line   int // from 1
	Reason string
}

// Error returns the line number and the reason.
func (e *LineError) Error() string { return fmt.Sprintf("trace line %d: %s", e.Line, e.Reason) }

// header is the first line of a trace.
type header struct {
	Trace   *int `json:"trace"`
	Targets []struct {
		ID    name `json:"id"`
		Slots int  `json:"slots"`
	} `json:"targets"`
}

// record is the JSON form of Record. Pointers tell absent fields from zeros.
type record struct {
	At       *float64 `json:"at_ms"`
	ID       name     `json:"id"`
	Caller   name     `json:"caller"`
	Cohort   name     `json:"cohort"`
	Service  name     `json:"service"`
	Run      *float64 `json:"run_ms"`
	Declared *float64 `json:"declared_ms"`
	Deadline *float64 `json:"deadline_ms"`
	CancelAt *float64 `json:"cancel_at_ms"`
}

// name is a JSON string or integer. An integer is read as its decimal string.
type name string

func (n *name) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] != '"' {
		v, err := strconv.ParseInt(string(data), 10, 64)
		if err != nil {
			return fmt.Errorf("%s is neither a string nor an integer", data)
		}
		*n = name(strconv.FormatInt(v, 10))
		return nil
	}
	return json.Unmarshal(data, (*string)(n))
}

// Read reads a trace in JSON Lines. An invalid trace gives a *LineError; any other
// error comes from r.
func Read(r io.Reader) (Trace, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 64<<10), maxLine)
	var t Trace
	seen := map[string]int{}
	line := 0
	total := maxMS * time.Millisecond // latest possible arrival plus all run times
	for lines.Scan() {
		line++
		if len(bytes.TrimSpace(lines.Bytes())) == 0 && line > 1 {
			continue
		}
		if err := t.readLine(lines.Bytes(), line, seen); err != nil {
			return Trace{}, &LineError{Line: line, Reason: err.Error()}
		}
		if n := len(t.Records); n > 0 {
			total += t.Records[n-1].Run
		}
		if total > maxTotal {
			return Trace{}, &LineError{Line: line, Reason: fmt.Sprintf("the latest possible arrival and the run times add up to more than %s", maxTotal)}
		}
	}
	if err := lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return Trace{}, &LineError{Line: line + 1, Reason: fmt.Sprintf("longer than %d bytes", maxLine)}
	} else if err != nil {
		return Trace{}, fmt.Errorf("read trace: %w", err)
	}
	if line == 0 {
		return Trace{}, &LineError{Line: 1, Reason: "the trace is empty"}
	}
	return t, nil
}

func (t *Trace) readLine(data []byte, line int, seen map[string]int) error {
	if line == 1 {
		return t.readHeader(data)
	}
	var w record
	if err := decode(data, &w); err != nil {
		return err
	}
	rec, err := w.validate()
	if err != nil {
		return err
	}
	if first, dup := seen[rec.ID]; dup {
		return fmt.Errorf("ID %q was used on line %d", rec.ID, first)
	}
	seen[rec.ID] = line
	t.Records = append(t.Records, rec)
	return nil
}

func decode(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one value on the line")
	}
	return nil
}

func (t *Trace) readHeader(data []byte) error {
	var h header
	if err := decode(data, &h); err != nil {
		return err
	}
	if h.Trace == nil || *h.Trace != Version {
		return fmt.Errorf(`the first line must have "trace":%d`, Version)
	}
	ids := map[name]bool{}
	for _, target := range h.Targets {
		if target.ID == "" || ids[target.ID] {
			return fmt.Errorf("target ID %q is empty or repeated", target.ID)
		}
		ids[target.ID] = true
		if target.Slots <= 0 || target.Slots > maxSlots {
			return fmt.Errorf("target %s: slots must be between 1 and %d", target.ID, maxSlots)
		}
		t.Targets = append(t.Targets, Target{ID: string(target.ID), Slots: target.Slots})
	}
	if n := t.Slots(); n == 0 || n > maxSlots {
		return fmt.Errorf("the targets have %d slots in total; it must be between 1 and %d", n, maxSlots)
	}
	return nil
}

func (w record) validate() (Record, error) {
	r := Record{
		ID: string(w.ID), Caller: model.CallerID(w.Caller), Cohort: string(w.Cohort),
		Service: model.ServiceName(w.Service), Cancel: w.CancelAt != nil,
	}
	for _, f := range []struct {
		field string
		value name
	}{{"id", w.ID}, {"caller", w.Caller}, {"cohort", w.Cohort}, {"service", w.Service}} {
		if f.value == "" {
			return r, fmt.Errorf("%s is missing", f.field)
		}
	}
	for _, f := range []struct {
		field    string
		value    *float64
		into     *time.Duration
		required bool
		positive bool
	}{
		{"at_ms", w.At, &r.At, true, false}, {"run_ms", w.Run, &r.Run, true, true},
		{"declared_ms", w.Declared, &r.Declared, false, true}, {"deadline_ms", w.Deadline, &r.Deadline, false, true},
		{"cancel_at_ms", w.CancelAt, &r.CancelAt, false, false},
	} {
		if f.value == nil {
			if f.required {
				return r, fmt.Errorf("%s is missing", f.field)
			}
			continue
		}
		*f.into = time.Duration(math.Round(*f.value * float64(time.Millisecond)))
		if *f.value < 0 || *f.value > maxMS || (f.positive && *f.into <= 0) {
			return r, fmt.Errorf("%s is out of range: %v ms; times are 0 to 365 days, and run times and deadlines are above 0", f.field, *f.value)
		}
	}
	if r.Cancel && r.CancelAt < r.At {
		return r, errors.New("cancel_at_ms is before at_ms")
	}
	return r, nil
}
