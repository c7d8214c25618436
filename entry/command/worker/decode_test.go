package worker

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against reports that are accepted although a field is invalid, and against
// errors that do not name that field, so that a worker's author cannot find it.
func TestDecodeNamesTheWrongField(t *testing.T) {
	for body, want := range map[string]string{
		`{"started":[{"job":"a","token":0}]}`:                                               "started[0].token",
		`{"held":[{"job":"a","token":1},{"token":1}]}`:                                      "held[1].job",
		`{"usage":[{"job":"a","token":1,"milli_cpu":-1}]}`:                                  "usage[0].milli_cpu",
		`{"usage":[{"job":"a","token":1,"checkpoint":"` + strings.Repeat("x", 129) + `"}]}`: "checkpoint",
		`{"ended":[{"job":"a","token":1}]}`:                                                 "ended[0].outcome",
		`{"ended":[{"job":"a","token":1,"outcome":"done"}]}`:                                "outcome",
		`{"ended":[{"job":"a","token":1,"outcome":"failed","run_ms":-1}]}`:                  "run_ms",
		`{"ended":[{"job":"a","token":1,"outcome":"failed","run_ms":9223372036854775807}]}`: "run_ms",
		`{"tokens":[]}`: "tokens",
		`{}{}`:          "more than one",
		`{"held":[` + strings.Repeat(`{"job":"a","token":1},`, 256) + `{"job":"a","token":1}]}`: "at most 256",
		`[`: "body",
	} {
		_, err := Decode(strings.NewReader(body))
		assert.ErrorContains(t, err, want, body)
	}
}

// Guards against a report body that makes the decoder panic, or that is accepted
// with values outside the limits.
func FuzzDecode(f *testing.F) {
	f.Add(`{"started":[{"job":"a","token":1}],"held":[{"job":"b","token":2}]}`)
	f.Add(`{"usage":[{"job":"a","token":1,"milli_cpu":1500,"memory_mb":900,"accelerators":1,"checkpoint":"c1"}]}`)
	f.Add(`{"ended":[{"job":"a","token":1,"outcome":"succeeded","run_ms":10,"reason":"r"}]}`)
	f.Add(`{"ended":[{"token":-1}]}`)
	f.Fuzz(func(t *testing.T, body string) {
		r, err := Decode(strings.NewReader(body))
		if err != nil {
			return
		}
		c := r.command("w")
		for _, u := range c.Usage {
			if u.Token == 0 || u.ID == "" || u.Used.MilliCPU < 0 || len(u.Checkpoint) > MaxName {
				t.Fatalf("accepted %+v", u)
			}
		}
		for _, e := range c.Ended {
			if e.Token == 0 || e.Run < 0 || e.Run > MaxRun || e.Succeeded && e.Cancelled {
				t.Fatalf("accepted %+v", e)
			}
		}
	})
}
