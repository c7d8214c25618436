// Package result defines the numbered result codes that every command, query
// and caller request ends with. The same numbers appear in HTTP headers, in
// RPC answers and as the basis of exit codes.
package result

import "fmt"

// Code is a numbered result. Numbers are stable and never reused.
type Code uint16

// Outcome states what is known about the effect of a request.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeUnknown means the work may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means the work ran and the answer is complete.
	OutcomeDone
	// OutcomeNotRun means it is certain that the work did not run.
	OutcomeNotRun
)

// String returns the wire form of the outcome.
func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Info describes one code.
type Info struct {
	Code    Code
	Name    string
	Outcome Outcome
	HTTP    int // HTTP status towards callers and operators
	Exit    int // exit status of the command line, 0 to 125
	Meaning string
}

var (
	infos  = map[Code]Info{}
	sorted []Info
)

func register(list ...Info) {
	for _, i := range list {
		if _, dup := infos[i.Code]; dup {
			panic(fmt.Sprintf("result: code %d registered twice", i.Code))
		}
		infos[i.Code] = i
		sorted = append(sorted, i)
	}
}

// All returns every registered code, unordered.
func All() []Info { return append([]Info(nil), sorted...) }

// Info returns the description of the code.
func (c Code) Info() Info {
	if i, ok := infos[c]; ok {
		return i
	}
	return Info{Code: c, Name: fmt.Sprintf("code-%d", c), Outcome: OutcomeUnknown, HTTP: 500, Exit: 1}
}

// String returns the name of the code.
func (c Code) String() string { return c.Info().Name }

// OK reports whether the code stands for success.
func (c Code) OK() bool { return c < 100 }

// Result is the outcome of a command.
type Result struct {
	Code Code
	// Detail is a sentence for people; it names the offending value and the limit.
	Detail string
	// Revision is the configuration revision or log index that the result refers to.
	Revision uint64
	// Value holds an identifier or token created by the command, if any.
	Value string
	// Conflict describes the winner when Code is Conflict.
	Conflict *Conflict
	// Body is the recorded answer of a claimed request, if it was kept.
	Body []byte
	// Status and ContentType belong to Body. BodyOmitted is set when the answer
	// was too long to be kept.
	Status      int
	ContentType string
	BodyOmitted bool
	// Work answers the report of a worker; nil for other commands.
	Work *Work
}

// Work tells a worker how long its leases last and what to do about its jobs.
type Work struct {
	// Lease is how long the leases named in the report last, and Next when the
	// worker reports again; both in milliseconds.
	LeaseMs uint32
	NextMs  uint32
	// Jobs answers starts, usage and ends, and those jobs without news that the
	// worker is asked something about.
	Jobs []WorkAnswer
}

// WorkAnswer is the result for one job of a report.
type WorkAnswer struct {
	Token uint64
	Code  Code
	Asked string // what the worker is asked to do; empty if nothing
}

// Conflict names the accepted change that a rejected one lost to.
type Conflict struct {
	Revision   uint64
	Actor      string
	Difference []string
}

// New returns a result with a formatted detail.
func New(c Code, format string, args ...any) Result {
	return Result{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error for results that are not successful.
func (r Result) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s (%d)", r.Code, r.Code)
	}
	return fmt.Sprintf("%s (%d): %s", r.Code, r.Code, r.Detail)
}

// Err returns nil for a successful result, else the result as an error.
func (r Result) Err() error {
	if r.Code.OK() {
		return nil
	}
	return r
}
