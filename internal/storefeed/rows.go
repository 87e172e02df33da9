package storefeed

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
)

// changesSince returns the rows of a full read that differ from those known at a base,
// deleted ones included. The caller holds the lock.
func (t *table) changesSince(page *Page, base Position) *Page {
	missed := &Page{Position: page.Position, Now: page.Now}
	present := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		present[row.Key] = true
		if t.hasChanged(row, base) {
			missed.Rows = append(missed.Rows, row)
		}
	}
	for key := range t.rows {
		if !present[key] {
			missed.Rows = append(missed.Rows, Row{Key: key, Revision: page.Position.Revision, Era: page.Position.Era, Deleted: true})
		}
	}
	return missed
}

// hasChanged reports whether a row differs from the one known at a base. Across eras
// revisions can't be compared, because the restored row may have the same revision with
// different content. The caller holds the lock.
func (t *table) hasChanged(row Row, base Position) bool {
	if row.Era == base.Era {
		return row.Revision > base.Revision
	}
	known, exists := t.rows[row.Key]
	return !exists || known.Revision != row.Revision || !bytes.Equal(known.Value, row.Value)
}

// keepRows updates the copy of the rows. The caller holds the lock.
func (t *table) keepRows(rows []Row) {
	for _, row := range rows {
		if row.Deleted {
			delete(t.rows, row.Key)
			delete(t.patched, row.Key)
			continue
		}
		t.keepRow(t.rows[row.Key], row)
	}
}

// keepRow keeps a row and, if it is large, the content that it replaces. The caller
// holds the lock.
func (t *table) keepRow(replaced, row Row) {
	if t.readers.isReading() && isLarge(replaced) && replaced.Position() != row.Position() {
		t.patched[row.Key] = replaced
	}
	t.rows[row.Key] = row
}

// replaceRows replaces the copy of the rows. The caller holds the lock.
func (t *table) replaceRows(rows []Row) {
	replaced := t.rows
	t.rows = make(map[string]Row, len(rows))
	for _, row := range rows {
		t.keepRow(replaced[row.Key], row)
	}
	maps.DeleteFunc(t.patched, func(key string, _ Row) bool {
		_, exists := t.rows[key]
		return !exists
	})
}

// countMissing returns how many of the known rows are not among the given ones. The
// caller holds the lock.
func (t *table) countMissing(rows []Row) int {
	missing := len(t.rows)
	for _, row := range rows {
		if _, known := t.rows[row.Key]; known {
			missing--
		}
	}
	return missing
}

// rowsInEra returns all rows, in the order of their revisions, as rows of an era in which
// none of them has changed. The caller holds the lock.
func (t *table) rowsInEra(era uint64) []Row {
	rows := make([]Row, 0, len(t.rows))
	for key, row := range t.rows {
		row.Era = era
		t.rows[key] = row
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Revision, b.Revision) })
	return rows
}

func countDeleted(rows []Row) int {
	n := 0
	for _, row := range rows {
		if row.Deleted {
			n++
		}
	}
	return n
}
