// Package measure compares the router's decisions with simple baselines, using
// fixed seeds and small fakes, and prints a row for each measure.
//
// Each measure has its own file and registers itself there:
//
//	func init() { Register(10, "cost", measureCost) }
package measure

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Row is one line of the table.
type Row struct {
	Name     string
	Baseline string
	Ours     string
	Target   string
	Pass     bool
	// Note is printed below the table; empty if there is none.
	Note string
}

// Verdict returns "pass", or "short" if the target is missed.
func (r Row) Verdict() string {
	if r.Pass {
		return "pass"
	}
	return "short"
}

// Func runs a measure with a seed and returns its rows.
type Func func(seed uint64) []Row

type measure struct {
	order int
	name  string
	run   Func
}

var registered []measure

// Register adds a measure. Measures are run and printed in ascending order.
func Register(order int, name string, run Func) {
	registered = append(registered, measure{order: order, name: name, run: run})
	slices.SortStableFunc(registered, func(a, b measure) int { return cmp.Compare(a.order, b.order) })
}

// Names lists the measures in the order of the table.
func Names() []string {
	names := make([]string, 0, len(registered))
	for _, m := range registered {
		names = append(names, m.name)
	}
	return names
}

// Run runs the measures with the given names, or all if there are none, writes the
// table and returns the number of rows that miss their target.
func Run(out io.Writer, seed uint64, names []string) (short int, err error) {
	if _, err := fmt.Fprintln(out, "name | baseline | ours | target | verdict"); err != nil {
		return 0, err
	}
	var notes []string
	for _, m := range registered {
		if len(names) > 0 && !slices.Contains(names, m.name) {
			continue
		}
		for _, row := range m.run(seed) {
			if !row.Pass {
				short++
			}
			if row.Note != "" {
				notes = append(notes, row.Name+": "+row.Note)
			}
			if err := row.write(out); err != nil {
				return short, err
			}
		}
	}
	_, err = fmt.Fprintf(out, "\n%s\n", strings.Join(notes, "\n"))
	return short, err
}

func (r Row) write(out io.Writer) error {
	_, err := fmt.Fprintln(out, strings.Join([]string{r.Name, r.Baseline, r.Ours, r.Target, r.Verdict()}, " | "))
	return err
}
