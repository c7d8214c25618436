// Package reference renders the tables of result codes and log events in the
// documentation.
package reference

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"lacewingturn.example/core/result"
	"lacewingturn.example/node/event"
)

// ResultCodes returns the text of docs/result-codes.md, with the codes in ascending order.
func ResultCodes() string {
	codes := result.All()
	slices.SortFunc(codes, func(a, b result.Info) int { return cmp.Compare(a.Code, b.Code) })
	var b strings.Builder
	b.WriteString("# Result codes\n\nEvery command, query and caller request ends with one of these numbers. Callers see it in the header\n" +
		"`Lacewingturn-Result` with the outcome in `Lacewingturn-Outcome`; the command line uses the exit status.\n\n" +
		"| number | name | outcome | HTTP | exit | meaning |\n|---|---|---|---|---|---|\n")
	for _, c := range codes {
		fmt.Fprintf(&b, "| %d | %s | %s | %d | %d | %s |\n", c.Code, c.Name, c.Outcome, c.HTTP, c.Exit, c.Meaning)
	}
	return b.String()
}

// Events returns the text of docs/events.md.
func Events() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries the number of its event in the field `event`.\n\n" +
		"| number | name | level | meaning | what to do |\n|---|---|---|---|---|\n")
	for _, e := range event.All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, cmp.Or(e.Action, "nothing"))
	}
	return b.String()
}
