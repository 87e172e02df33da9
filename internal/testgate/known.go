package main

import (
	"strings"

	"github.com/basilrail/basilrail/internal/findings"
)

// entry is a test that is known to fail.
type entry struct {
	// pkg is the package's path relative to the module, name the name of the test.
	pkg, name string
	// text is the complete entry as written.
	text string
}

// covers reports whether the entry lists the test or a parent of it.
func (e entry) covers(pkg, name string) bool {
	samePackage := pkg == e.pkg || strings.HasSuffix(pkg, "/"+e.pkg)
	return samePackage && (name == e.name || strings.HasPrefix(name, e.name+"/"))
}

// requiredFields are the fields that each entry must have.
var requiredFields = [...]string{"test", "command", "seed", "seen", "issue"}

// parseKnown parses the list: entries of "field: value" lines, separated by empty
// lines; a line that starts with "#" is a comment.
func parseKnown(path, text string) ([]entry, error) {
	var list findings.List
	var entries []entry
	for _, block := range blocks(text) {
		values := make(map[string]string)
		for _, line := range block.lines {
			name, value, _ := strings.Cut(line, ":")
			values[strings.TrimSpace(name)] = strings.TrimSpace(value)
		}
		for _, field := range requiredFields {
			if values[field] == "" {
				list.AddAt(path, block.line, "the entry has no %q", field)
			}
		}
		pkg, name, ok := strings.Cut(values["test"], " ")
		if !ok {
			list.AddAt(path, block.line, "test must be a package and a test's name")
		}
		entries = append(entries, entry{pkg: pkg, name: strings.TrimSpace(name), text: strings.Join(block.lines, "\n")})
	}
	return entries, list.Err()
}

// block is a group of consecutive lines; line is the number of the first.
type block struct {
	line  int
	lines []string
}

func blocks(text string) []block {
	var list []block
	open := false
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "":
			open = false
		case strings.HasPrefix(line, "#"):
		case open:
			last := &list[len(list)-1]
			last.lines = append(last.lines, line)
		default:
			open = true
			list = append(list, block{line: i + 1, lines: []string{line}})
		}
	}
	return list
}
