package answers

import (
	"cmp"
	"fmt"
	"slices"
)

// Problem is one error in an answers file, which the operator has to correct.
type Problem struct {
	Position
	Path   string // path in the file, such as pools[0].budget
	Reason string // what is wrong
	Hint   string // what to write instead
}

// String returns the problem as line:column: path: reason; what to write.
func (p Problem) String() string {
	s := fmt.Sprintf("%d:%d: ", p.Line, p.Column)
	if p.Path != "" {
		s += p.Path + ": "
	}
	s += p.Reason
	if p.Hint != "" {
		s += "; write " + p.Hint
	}
	return s
}

// sortByPosition sorts problems in place by position; problems at the same
// position keep their order.
func sortByPosition(problems []Problem) []Problem {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return problems
}

// faultyPaths holds the paths for which the decoder has reported a problem, so
// that later checks do not report consequences of it.
type faultyPaths struct {
	at    map[string]bool // the path itself is faulty
	below map[string]bool // a descendant of the path is faulty
}

func newFaultyPaths() faultyPaths {
	return faultyPaths{at: map[string]bool{}, below: map[string]bool{}}
}

func (f faultyPaths) mark(path string) {
	f.at[path] = true
	for p := parent(path); p != ""; p = parent(p) {
		f.below[p] = true
	}
}

// clean reports whether nothing at, above or below path is faulty.
func (f faultyPaths) clean(path string) bool {
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
