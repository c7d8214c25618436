package session

import (
	"encoding/json"
	"fmt"

	"lacewingturn.example/core/result"
)

// ResultView is the JSON output for the result of a command.
type ResultView struct {
	Code     int           `json:"code"`
	Name     string        `json:"name"`
	Outcome  string        `json:"outcome"`
	Detail   string        `json:"detail"`
	Revision uint64        `json:"revision"`
	Value    string        `json:"value"`
	Conflict *ConflictView `json:"conflict,omitempty"`
}

// ConflictView is the JSON output for a conflict: the change that was accepted first,
// and how the refused configuration differs from it.
type ConflictView struct {
	Revision   uint64   `json:"revision"`
	Actor      string   `json:"actor"`
	Difference []string `json:"difference"`
}

func resultView(r result.Result) ResultView {
	v := ResultView{
		Code: int(r.Code), Name: r.Code.String(), Outcome: r.Code.Info().Outcome.String(),
		Detail: r.Detail, Revision: r.Revision, Value: r.Value,
	}
	if c := r.Conflict; c != nil {
		v.Conflict = &ConflictView{Revision: c.Revision, Actor: c.Actor, Difference: c.Difference}
	}
	return v
}

// PrintResult prints a successful result to Out, as JSON or as one line of text. The
// error is that of the write.
func (s *Session) PrintResult(r result.Result) error {
	if s.Settings.JSON {
		return s.printJSON(resultView(r))
	}
	text := r.Code.String()
	if r.Value != "" {
		text += " " + r.Value
	}
	if r.Revision > 0 {
		text += fmt.Sprintf(" (revision %d)", r.Revision)
	}
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	_, err := fmt.Fprintln(s.Out, text)
	return err
}

// Print prints a view to Out, as JSON or as tables. The error is that of the encoding
// or the write.
func (s *Session) Print(view any) error {
	if s.Settings.JSON {
		return s.printJSON(view)
	}
	data, err := json.Marshal(view)
	if err != nil {
		return err
	}
	return PrintTables(s.Out, data)
}

func (s *Session) printJSON(v any) error {
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}
