package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes is the maximum length of one line of test output.
	maxLineBytes = 4 << 20
	// maxUnfinishedLines is the number of lines printed of the output of a test that did
	// not end, from its end.
	maxUnfinishedLines = 200
)

// unfinished is the result of a package or test that started and did not end.
const unfinished = "unfinished"

// testEvent is one line of "go test -json".
type testEvent struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
	Elapsed    float64
}

// testID identifies a test; the name is empty for the package itself.
type testID struct {
	pkg, name string
}

// gate collects the events of one test run.
type gate struct {
	known  []entry
	out    io.Writer
	output map[testID][]string
	result map[testID]string
	// crashed are the packages whose test process ended with a panic or a fatal error, so
	// that not all of their tests ran.
	crashed map[string]bool
}

func newGate(known []entry, out io.Writer) *gate {
	return &gate{
		known:   known,
		out:     out,
		output:  make(map[testID][]string),
		result:  make(map[testID]string),
		crashed: make(map[string]bool),
	}
}

// read processes all events. It returns an error if no test ran.
func (g *gate) read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e testEvent
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Fprintln(g.out, scanner.Text())
			continue
		}
		g.event(e)
	}
	if scanner.Err() != nil {
		return errors.Wrap(scanner.Err(), "read test output")
	}
	if len(g.result) == 0 {
		return errors.New("no test ran")
	}
	return nil
}

func (g *gate) event(e testEvent) {
	id := testID{pkg: e.Package, name: e.Test}
	switch e.Action {
	case "start", "run":
		g.result[id] = unfinished
	case "build-output":
		fmt.Fprint(g.out, e.Output)
	case "output":
		g.output[id] = append(g.output[id], e.Output)
		if strings.HasPrefix(e.Output, "panic: ") || strings.HasPrefix(e.Output, "fatal error: ") {
			g.crashed[e.Package] = true
		}
	case "pass", "fail", "skip":
		g.result[id] = e.Action
		if e.Test == "" && e.Action == "pass" {
			fmt.Fprintf(g.out, "ok   %s %.2fs\n", e.Package, e.Elapsed)
		}
		if e.Action != "fail" {
			delete(g.output, id)
		}
	}
}

// verdict prints the failures and the listed tests, and reports whether CI may pass.
func (g *gate) verdict() bool {
	ok := true
	failedIn := make(map[string]bool)
	for _, id := range g.failures() {
		failedIn[id.pkg] = true
		known := g.isKnown(id)
		ok = ok && known
		g.print(id, known)
	}
	for _, pkg := range g.failedPackages() {
		cutOff := g.unfinishedIn(pkg)
		if failedIn[pkg] && !g.crashed[pkg] && len(cutOff) == 0 {
			continue
		}
		ok = false
		fmt.Fprintf(g.out, "FAIL %s: it did not build, or its tests did not all run\n%s", pkg, strings.Join(g.output[testID{pkg: pkg}], ""))
		g.printUnfinished(cutOff)
	}
	g.printKnown()
	return ok
}

// unfinishedIn returns the tests of a package that did not end, sorted.
func (g *gate) unfinishedIn(pkg string) []testID {
	var list []testID
	for id, result := range g.result {
		if id.pkg == pkg && id.name != "" && result == unfinished {
			list = append(list, id)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// printUnfinished prints tests that did not end. The last message of a test process that ended
// by itself belongs to one of them.
func (g *gate) printUnfinished(tests []testID) {
	for _, id := range tests {
		lines := g.output[id]
		lines = lines[max(0, len(lines)-maxUnfinishedLines):]
		fmt.Fprintf(g.out, "UNFINISHED %s %s\n%s", id.pkg, id.name, strings.Join(lines, ""))
	}
}

// failures returns the failed tests that have no failed subtest, sorted.
func (g *gate) failures() []testID {
	var failed []testID
	parents := make(map[testID]bool)
	for id, result := range g.result {
		if result != "fail" || id.name == "" {
			continue
		}
		failed = append(failed, id)
		for name := id.name; strings.Contains(name, "/"); {
			name = name[:strings.LastIndex(name, "/")]
			parents[testID{pkg: id.pkg, name: name}] = true
		}
	}
	var leaves []testID
	for _, id := range failed {
		if !parents[id] {
			leaves = append(leaves, id)
		}
	}
	sort.Slice(leaves, func(i, j int) bool {
		return leaves[i].pkg+" "+leaves[i].name < leaves[j].pkg+" "+leaves[j].name
	})
	return leaves
}

func (g *gate) failedPackages() []string {
	var list []string
	for id, result := range g.result {
		if id.name == "" && (result == "fail" || result == unfinished) {
			list = append(list, id.pkg)
		}
	}
	sort.Strings(list)
	return list
}

func (g *gate) isKnown(id testID) bool {
	for _, e := range g.known {
		if e.covers(id.pkg, id.name) {
			return true
		}
	}
	return false
}

func (g *gate) print(id testID, known bool) {
	mark := "FAIL"
	if known {
		mark = "KNOWN RED"
	}
	fmt.Fprintf(g.out, "%s %s %s\n%s", mark, id.pkg, id.name, strings.Join(g.output[id], ""))
}

// printKnown prints each listed test with its result in this run.
func (g *gate) printKnown() {
	for _, e := range g.known {
		fmt.Fprintf(g.out, "listed in KNOWN-RED.txt, now %s:\n%s\n", g.stateOf(e), e.text)
	}
}

func (g *gate) stateOf(e entry) string {
	for id, result := range g.result {
		if id.name == e.name && e.covers(id.pkg, id.name) {
			return result
		}
	}
	return "not run"
}
