package site

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Outcome is one statement that the demo checks, with the observation.
type Outcome struct {
	Stated   string // what must happen
	Observed string // what happened
	Holds    bool
}

// Outcomes lists the outcomes of a demo in the order in which they were checked.
type Outcomes []Outcome

func (o *Outcomes) add(holds bool, stated, observed string, args ...any) {
	*o = append(*o, Outcome{Stated: stated, Observed: fmt.Sprintf(observed, args...), Holds: holds})
}

// AllHold reports whether all outcomes hold; it is true for an empty list.
func (o Outcomes) AllHold() bool {
	for _, v := range o {
		if !v.Holds {
			return false
		}
	}
	return true
}

// Write prints the outcomes as a table with one line each.
func (o Outcomes) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "HOLDS\tSTATED OUTCOME\tOBSERVED")
	for _, v := range o {
		holds := "yes"
		if !v.Holds {
			holds = "NO"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\n", holds, v.Stated, v.Observed)
	}
	_ = t.Flush()
}
