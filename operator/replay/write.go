package replay

import (
	"encoding/json"
	"io"
	"time"
)

// Writer writes a trace in the format of Read. It is not safe for concurrent use.
type Writer struct{ encoder *json.Encoder }

// NewWriter writes the header line with the targets to w and returns a Writer for
// the records. The error is that of w.
func NewWriter(w io.Writer, targets []Target) (*Writer, error) {
	type target struct {
		ID    string `json:"id"`
		Slots int    `json:"slots"`
	}
	first := struct {
		Trace   int      `json:"trace"`
		Targets []target `json:"targets"`
	}{Trace: Version, Targets: []target{}}
	for _, t := range targets {
		first.Targets = append(first.Targets, target(t))
	}
	e := json.NewEncoder(w)
	return &Writer{encoder: e}, e.Encode(first)
}

// Write writes one record as a line. The error is that of the underlying writer.
func (w *Writer) Write(r Record) error {
	line := struct {
		At       float64  `json:"at_ms"`
		ID       string   `json:"id"`
		Caller   string   `json:"caller"`
		Cohort   string   `json:"cohort"`
		Service  string   `json:"service"`
		Run      float64  `json:"run_ms"`
		Declared float64  `json:"declared_ms,omitempty"`
		Deadline float64  `json:"deadline_ms,omitempty"`
		CancelAt *float64 `json:"cancel_at_ms,omitempty"`
	}{
		At: inMS(r.At), ID: r.ID, Caller: string(r.Caller), Cohort: r.Cohort, Service: string(r.Service),
		Run: inMS(r.Run), Declared: inMS(r.Declared), Deadline: inMS(r.Deadline),
	}
	if r.Cancel {
		line.CancelAt = new(float64)
		*line.CancelAt = inMS(r.CancelAt)
	}
	return w.encoder.Encode(line)
}

// TraceTime converts a time to the time since the start of a trace, at least 0.
func TraceTime(start, at time.Time) time.Duration { return max(0, at.Sub(start)) }
