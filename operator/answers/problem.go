package answers

import (
	"cmp"
	"fmt"
	"slices"
)

// Problem is one error in a file of answers.
type Problem struct {
	Position
	Path   string // path in the file, such as pools[0].budget
	Reason string // what is wrong
	Write  string // what to write instead
}

// String returns the problem as line:column: path: reason; what to write.
func (p Problem) String() string {
	s := fmt.Sprintf("%d:%d: ", p.Line, p.Column)
	if p.Path != "" {
		s += p.Path + ": "
	}
	s += p.Reason
	if p.Write != "" {
		s += "; write " + p.Write
	}
	return s
}

// sorted orders problems by position; problems at one place keep their order.
func sorted(problems []Problem) []Problem {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return problems
}

// faults holds the paths that have a problem already, so that the checks of
// meaning do not report a consequence of it.
type faults struct {
	at    map[string]bool // the path itself is faulty
	below map[string]bool // something below the path is faulty
}

func newFaults() faults { return faults{at: map[string]bool{}, below: map[string]bool{}} }

func (f faults) mark(path string) {
	f.at[path] = true
	for p := parent(path); p != ""; p = parent(p) {
		f.below[p] = true
	}
}

// clean reports whether nothing at, above or below path is faulty.
func (f faults) clean(path string) bool {
	if f.below[path] {
		return false
	}
	for p := path; p != ""; p = parent(p) {
		if f.at[p] {
			return false
		}
	}
	return true
}
