// Package result defines the numbered result codes of commands, queries and caller
// requests. The same numbers are used in HTTP headers and RPC responses; each code
// also has an HTTP status and an exit status.
package result

import "fmt"

// Code is a numbered result. Numbers are stable and never reused. Codes below 100
// mean success.
type Code uint16

// Outcome says whether a request has run, as far as is known.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeDone means that the request ran and the response is complete.
	OutcomeDone
	// OutcomeNotRun means that the request certainly did not run.
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

// Info is the description of one code, as listed in docs/result-codes.md.
type Info struct {
	Code    Code
	Name    string
	Outcome Outcome
	HTTP    int // HTTP status in responses to callers and operators
	Exit    int // exit status of the command line, 0 to 125
	Meaning string
}

var (
	infos      = map[Code]Info{}
	registered []Info
)

func register(list ...Info) {
	for _, i := range list {
		if _, dup := infos[i.Code]; dup {
			panic(fmt.Sprintf("result: code %d registered twice", i.Code))
		}
		infos[i.Code] = i
		registered = append(registered, i)
	}
}

// All returns the descriptions of all codes, in no particular order.
func All() []Info { return append([]Info(nil), registered...) }

// Info returns the description of the code. For a code that is not registered, for
// example one from a newer version, it has the outcome unknown and HTTP status 500.
func (c Code) Info() Info {
	if i, ok := infos[c]; ok {
		return i
	}
	return Info{Code: c, Name: fmt.Sprintf("code-%d", c), Outcome: OutcomeUnknown, HTTP: 500, Exit: 1}
}

// String returns the name of the code, such as "not-leader".
func (c Code) String() string { return c.Info().Name }

// OK reports whether the code means success.
func (c Code) OK() bool { return c < 100 }

// Result is the outcome of a command.
type Result struct {
	Code Code
	// Detail is a sentence for the operator; it names the offending value and the
	// limit.
	Detail string
	// Revision is the configuration revision or log index that the result refers to.
	Revision uint64
	// Value holds an identifier or token created by the command, if any.
	Value string
	// Conflict describes the change that was accepted first if Code is Conflicting.
	Conflict *Conflict
	// Body is the recorded response body of a claimed request, if it was kept.
	Body []byte
	// Status and ContentType belong to Body. BodyOmitted is true if the body was too
	// large to be kept.
	Status      int
	ContentType string
	BodyOmitted bool
	// Work is the response to the report of a worker; nil for other commands.
	Work *Work
}

// Work is the response to a worker's report: the duration of its leases and the
// instructions about its jobs.
type Work struct {
	// LeaseMs is how long the leases named in the report are valid, and NextMs the
	// time until the next report is due; both in milliseconds.
	LeaseMs uint32
	NextMs  uint32
	// Jobs has a result for each reported start, usage and end, and for each
	// unchanged job that there is an instruction about.
	Jobs []WorkAnswer
}

// WorkAnswer is the result for one job in a worker's report.
type WorkAnswer struct {
	Token uint64
	Code  Code
	Asked string // instruction to the worker, as by model.Asked.String; empty if none
}

// Conflict describes the accepted change that caused a later one to be rejected.
type Conflict struct {
	Revision   uint64
	Actor      string
	Difference []string // differences between the two changes, one line each
}

// New returns a result with a formatted detail.
func New(c Code, format string, args ...any) Result {
	return Result{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the name and number of the code and the detail. It implements the
// error interface; use Err to obtain an error only for unsuccessful results.
func (r Result) Error() string {
	if r.Detail == "" {
		return fmt.Sprintf("%s (%d)", r.Code, r.Code)
	}
	return fmt.Sprintf("%s (%d): %s", r.Code, r.Code, r.Detail)
}

// Err returns the result as an error, or nil if the result is successful.
func (r Result) Err() error {
	if r.Code.OK() {
		return nil
	}
	return r
}
