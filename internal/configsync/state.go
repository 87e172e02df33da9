package configsync

import (
	"maps"
	"slices"

	"github.com/basilrail/basilrail/internal/findings"
	"github.com/basilrail/basilrail/internal/settings"
)

// state is one revision of the documents. It is immutable.
type state struct {
	revision uint64
	docs     map[string]settings.Document
	snapshot *settings.Snapshot
}

func emptyState() *state {
	return &state{snapshot: settings.Compile(0, settings.Tree{})}
}

// newState validates and compiles documents.
func newState(cache *settings.Cache, revision uint64, docs map[string]settings.Document) (*state, findings.List) {
	tree, list := cache.Parse(sorted(docs))
	if list.Err() != nil {
		return nil, list
	}
	return &state{revision: revision, docs: docs, snapshot: settings.Compile(revision, tree)}, nil
}

// merge returns a copy of the documents with the changed ones applied; an empty
// body deletes the document.
func merge(docs map[string]settings.Document, changed []settings.Document) map[string]settings.Document {
	merged := maps.Clone(docs)
	if merged == nil {
		merged = make(map[string]settings.Document)
	}
	for _, doc := range changed {
		if len(doc.Body) == 0 {
			delete(merged, doc.Path)
			continue
		}
		merged[doc.Path] = doc
	}
	return merged
}

// sorted returns the documents sorted by path.
func sorted(docs map[string]settings.Document) []settings.Document {
	list := make([]settings.Document, 0, len(docs))
	for _, path := range slices.Sorted(maps.Keys(docs)) {
		list = append(list, docs[path])
	}
	return list
}

// history holds the latest log entries, consecutive and bounded in size.
type history struct {
	entries []logEntry
	bytes   int
}

// Limits of a history.
const (
	maxHistoryEntries = 1024
	maxHistoryBytes   = 4 << 20
)

// add appends the entries that led to a revision, so that the last entry always
// is that of the state in effect. If they don't end at the revision, the history
// is cleared.
func (h *history) add(revision uint64, entries []logEntry) {
	if n := len(entries); n == 0 || entries[n-1].Revision != revision {
		*h = history{}
		return
	}
	for _, entry := range entries {
		h.append(entry)
	}
	for len(h.entries) > 1 && (len(h.entries) > maxHistoryEntries || h.bytes > maxHistoryBytes) {
		h.bytes -= h.entries[0].bytes()
		h.entries = h.entries[1:]
	}
}

// append adds one entry. A duplicate is skipped, and an entry after a gap replaces
// the whole history.
func (h *history) append(entry logEntry) {
	if n := len(h.entries); n > 0 {
		last := h.entries[n-1].Revision
		if entry.Revision <= last {
			return
		}
		if entry.Revision != last+1 {
			*h = history{}
		}
	}
	h.entries = append(h.entries, entry)
	h.bytes += entry.bytes()
}

// since returns the entries after a revision, up to maxBytes but at least one.
// ok is false if the history does not go back to that revision.
func (h *history) since(revision uint64, maxBytes int) (entries []logEntry, ok bool) {
	if len(h.entries) == 0 || h.entries[0].Revision > revision+1 {
		return nil, false
	}
	size := 0
	for _, entry := range h.entries {
		if entry.Revision <= revision {
			continue
		}
		size += entry.bytes()
		if len(entries) > 0 && size > maxBytes {
			break
		}
		entries = append(entries, entry)
	}
	return entries, true
}

// holds reports whether an entry of the change is in the history.
func (h *history) holds(changeID string) bool {
	return slices.ContainsFunc(h.entries, func(entry logEntry) bool { return entry.ChangeID == changeID })
}

// following returns the entries that follow the revision consecutively; ok is
// false if there is a gap before a later entry.
func following(revision uint64, entries []logEntry) (next []logEntry, ok bool) {
	for _, entry := range entries {
		if entry.Revision <= revision {
			continue
		}
		if entry.Revision != revision+1 {
			return next, false
		}
		next = append(next, entry)
		revision++
	}
	return next, true
}
