package settings

import (
	"bytes"
	"slices"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
)

// DiffKind tells how a document differs.
type DiffKind string

// The ways a document differs.
const (
	DiffAdded   DiffKind = "added"
	DiffRemoved DiffKind = "removed"
	DiffChanged DiffKind = "changed"
)

// DocumentDiff is how one document differs between two sets.
type DocumentDiff struct {
	Path string   `json:"path" cbor:"path"`
	Kind DiffKind `json:"kind" cbor:"kind"`
	// Text is the difference by lines, in unified form.
	Text string `json:"text" cbor:"text"`
}

// diffContextLines is the number of unchanged lines shown around a change.
const diffContextLines = 2

// Diff compares two sets of documents path by path, in the order of the paths.
// Documents of the same text are left out; an empty body counts as absent.
func Diff(before, after []Document) []DocumentDiff {
	old := bodies(before)
	new := bodies(after)
	var diffs []DocumentDiff
	for _, path := range unionOfPaths(old, new) {
		if bytes.Equal(old[path], new[path]) {
			continue
		}
		diffs = append(diffs, diffDocument(path, old[path], new[path]))
	}
	return diffs
}

func bodies(docs []Document) map[string][]byte {
	byPath := make(map[string][]byte, len(docs))
	for _, doc := range docs {
		byPath[doc.Path] = doc.Body
	}
	return byPath
}

func unionOfPaths(a, b map[string][]byte) []string {
	paths := sortedKeys(a)
	paths = append(paths, sortedKeys(b)...)
	slices.Sort(paths)
	return slices.Compact(paths)
}

func diffDocument(path string, before, after []byte) DocumentDiff {
	diff := DocumentDiff{Path: path, Kind: DiffChanged}
	switch {
	case len(before) == 0:
		diff.Kind = DiffAdded
	case len(after) == 0:
		diff.Kind = DiffRemoved
	}
	// Writing into a buffer does not fail.
	diff.Text, _ = difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:       lines(before),
		B:       lines(after),
		Context: diffContextLines,
	})
	return diff
}

// lines splits text and keeps the line ends.
func lines(body []byte) []string {
	if len(body) == 0 {
		return nil
	}
	split := strings.SplitAfter(string(body), "\n")
	if split[len(split)-1] == "" {
		return split[:len(split)-1]
	}
	split[len(split)-1] += "\n"
	return split
}
