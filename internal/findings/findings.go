// Package findings collects the errors found in an input, each with its location,
// so that all of them are reported together and not one at a time.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one error in an input and its location.
type Finding struct {
	// Place is the location of the error: a settings path, a flag or a file.
	Place string `json:"place" cbor:"place"`
	// Line is the one-based line in the file at Place; zero where lines do not apply.
	Line int `json:"line,omitempty" cbor:"line,omitempty"`
	// Problem describes the error in one sentence.
	Problem string `json:"problem" cbor:"problem"`
}

// String renders the finding as "place:line: problem".
func (f Finding) String() string {
	if f.Line > 0 {
		return fmt.Sprintf("%s:%d: %s", f.Place, f.Line, f.Problem)
	}
	return fmt.Sprintf("%s: %s", f.Place, f.Problem)
}

// List is a set of findings. The zero value is empty and ready to use. A
// non-empty List is an error.
type List []Finding

// Add appends a finding without a line.
func (l *List) Add(place, format string, args ...any) {
	l.AddAt(place, 0, format, args...)
}

// AddAt appends a finding at a line.
func (l *List) AddAt(place string, line int, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Line: line, Problem: fmt.Sprintf(format, args...)})
}

// Error lists the findings, one per line, ordered by place and line.
func (l List) Error() string {
	sorted := make(List, len(l))
	copy(sorted, l)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].Place != sorted[j].Place {
			return sorted[i].Place < sorted[j].Place
		}
		return sorted[i].Line < sorted[j].Line
	})
	lines := make([]string, 0, len(sorted))
	for _, f := range sorted {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil when it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
