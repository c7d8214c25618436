package site

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Outcome is one stated outcome of the demo and what happened.
type Outcome struct {
	Stated   string
	Observed string
	Holds    bool
}

// Outcomes of a demo in their order.
type Outcomes []Outcome

// add records an outcome.
func (o *Outcomes) add(holds bool, stated, observed string, args ...any) {
	*o = append(*o, Outcome{Stated: stated, Observed: fmt.Sprintf(observed, args...), Holds: holds})
}

// Hold reports whether all outcomes hold.
func (o Outcomes) Hold() bool {
	for _, v := range o {
		if !v.Holds {
			return false
		}
	}
	return true
}

// Write prints the outcomes as a table.
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
