package settings

import (
	"bytes"
	"slices"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
)

// DiffKind is the way a document differs between two sets.
type DiffKind string

// The kinds of differences.
const (
	DiffAdded   DiffKind = "added"
	DiffRemoved DiffKind = "removed"
	DiffChanged DiffKind = "changed"
)

// DocumentDiff is the difference of one document between two sets.
type DocumentDiff struct {
	Path string   `json:"path" cbor:"path"`
	Kind DiffKind `json:"kind" cbor:"kind"`
	// Text is the line-by-line difference in unified diff format.
	Text string `json:"text" cbor:"text"`
}

// diffContextLines is the number of unchanged lines shown around a change.
const diffContextLines = 2

// Diff compares two sets of documents and returns the differences sorted by path.
// Documents with equal text are omitted; an empty body counts as absent.
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
	// Writing to a buffer does not fail.
	diff.Text, _ = difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:       lines(before),
		B:       lines(after),
		Context: diffContextLines,
	})
	return diff
}

// lines splits text into lines with their line breaks, and adds a missing last one.
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
