package query

import (
	"os"

	"lacewingturn.example/cmd/lacewingturn/session"
	"lacewingturn.example/core/command/dispatch"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/replay"
	"lacewingturn.example/replica/record"
)

// Replay is the query that simulates a queue policy of the entry instances on a
// recorded traffic trace.
type Replay struct {
	File   string `arg:"" help:"Trace as JSON lines."`
	Policy string `enum:"fifo,round-robin,capped,default" default:"default" help:"fifo, round-robin, capped or default."`
	JSON   bool   `name:"json" help:"Print the report as JSON."`
}

// Run prints the report of the simulation. A file that cannot be read or decoded is an
// InvalidInput result.
func (c Replay) Run(s *session.Session) error {
	f, err := os.Open(c.File)
	if err != nil {
		return result.New(result.InvalidInput, "%v", err)
	}
	defer f.Close()
	trace, err := replay.Read(f)
	if err != nil {
		return result.New(result.InvalidInput, "%s: %v", c.File, err)
	}
	report, err := replay.Run(trace, replay.Options{Policy: dispatch.Policy(c.Policy)})
	if err != nil {
		return err
	}
	if c.JSON || s.Settings.JSON {
		return report.WriteJSON(s.Out)
	}
	return report.WriteTable(s.Out)
}

// Verify is the query that replays recorded control inputs and compares the state
// digests with those in the recording.
type Verify struct {
	File string `arg:"" help:"Recorded control inputs as JSON lines."`
}

// Run prints the outcome of the replay. A file that cannot be read or replayed is an
// InvalidInput result.
func (c Verify) Run(s *session.Session) error {
	f, err := os.Open(c.File)
	if err != nil {
		return result.New(result.InvalidInput, "%v", err)
	}
	defer f.Close()
	outcome, err := record.Replay(f)
	if err != nil {
		return result.New(result.InvalidInput, "%s: %v", c.File, err)
	}
	return s.Print(outcome)
}
