package storefeed

import (
	"bytes"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/packed"
)

const (
	// leastLarge is the size from which a row's value is kept, so that its next
	// change can be told as a patch.
	leastLarge = 2 << 10
	// maxLarge bounds the values that are kept and that a patch may make: the store's
	// pages hold 1 MB.
	maxLarge = 1 << 20
	// maxPlainBytes bounds a patch or the rows of a message before compression: new
	// text and its steps.
	maxPlainBytes = 2 * maxLarge
)

// codec packs patches and rows. One spare serves: readers alone pack.
var codec = packed.NewCodec(nil, maxPlainBytes, 1)

// rowDelta tells a large row's value as a change of the one before.
type rowDelta struct {
	Key      string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Base is the revision of the value that the patch belongs to.
	Base  uint64 `cbor:"3,keyasint"`
	Patch []byte `cbor:"4,keyasint"`
}

// edit is one step of a patch: bytes of the value before, or new ones.
type edit struct {
	From   int    `cbor:"1,keyasint,omitempty"`
	Length int    `cbor:"2,keyasint,omitempty"`
	Text   []byte `cbor:"3,keyasint,omitempty"`
}

// largeRow is a row whose value is kept, and the one before.
type largeRow struct {
	now, before Row
}

// keepLarge keeps the values of large rows.
func (t *table) keepLarge(rows []Row) {
	for _, row := range rows {
		if row.Deleted || len(row.Value) < leastLarge || len(row.Value) > maxLarge {
			delete(t.large, row.Key)
			continue
		}
		kept := t.large[row.Key]
		if row.Revision <= kept.now.Revision {
			continue
		}
		next := largeRow{now: row}
		// Only readers make patches.
		if t.readers.isReading() {
			next.before = kept.now
		}
		t.large[row.Key] = next
	}
}

// deltaOf tells a row as a patch; ok is false where the value before is not known.
func (t *table) deltaOf(row Row) (d rowDelta, ok bool) {
	kept := t.large[row.Key]
	if row.Deleted || kept.now.Revision != row.Revision || kept.before.Revision == 0 {
		return rowDelta{}, false
	}
	patch, err := makePatch(kept.before.Value, row.Value)
	if err != nil {
		return rowDelta{}, false
	}
	return rowDelta{Key: row.Key, Revision: row.Revision, Base: kept.before.Revision, Patch: patch}, true
}

// patched makes the row that a delta tells; ok is false where its base is not known.
func (t *table) patched(d rowDelta) (row Row, ok bool) {
	kept := t.large[d.Key]
	if kept.now.Revision != d.Base {
		return Row{}, false
	}
	value, err := applyPatch(kept.now.Value, d.Patch)
	if err != nil {
		return Row{}, false
	}
	return Row{Key: d.Key, Value: value, Revision: d.Revision}, true
}

// makePatch tells a value as a change of another one.
func makePatch(before, after []byte) ([]byte, error) {
	patch, err := codec.Pack(edits(before, after))
	return patch, errors.Wrap(err, "pack the patch")
}

// applyPatch makes the value that a patch tells.
func applyPatch(before, patch []byte) ([]byte, error) {
	var steps []edit
	if err := codec.Unpack(patch, &steps); err != nil {
		return nil, errors.Wrap(err, "unpack the patch")
	}
	var after []byte
	for _, step := range steps {
		if step.From < 0 || step.Length < 0 || step.From > len(before) || step.Length > len(before)-step.From {
			return nil, errors.Errorf("the patch takes bytes %d to %d of %d", step.From, step.From+step.Length, len(before))
		}
		after = append(append(after, before[step.From:step.From+step.Length]...), step.Text...)
		if len(after) > maxLarge {
			return nil, errors.Errorf("the patch makes more than %d bytes", maxLarge)
		}
	}
	return after, nil
}

// edits finds the pieces of a value that stand in the one before, in long runs.
func edits(before, after []byte) []edit {
	old := pieces(before)
	at := make(map[string]int, len(old))
	starts := make([]int, len(old))
	offset := 0
	for i, piece := range old {
		starts[i] = offset
		offset += len(piece)
		if _, known := at[string(piece)]; !known {
			at[string(piece)] = i
		}
	}
	var steps []edit
	next := 0
	for _, piece := range pieces(after) {
		i := next
		if i >= len(old) || !bytes.Equal(old[i], piece) {
			found, known := at[string(piece)]
			if !known {
				steps = appendText(steps, piece)
				continue
			}
			i = found
		}
		steps = appendCopy(steps, starts[i], len(piece))
		next = i + 1
	}
	return steps
}

// pieces cuts a value after each comma and closing brace, where documents that
// were written by one program differ in whole pieces.
func pieces(value []byte) [][]byte {
	var list [][]byte
	for len(value) > 0 {
		end := bytes.IndexAny(value, ",}]") + 1
		if end == 0 {
			end = len(value)
		}
		list = append(list, value[:end])
		value = value[end:]
	}
	return list
}

// appendText adds new bytes to the last step.
func appendText(steps []edit, text []byte) []edit {
	if len(steps) == 0 {
		steps = append(steps, edit{})
	}
	last := &steps[len(steps)-1]
	last.Text = append(last.Text, text...)
	return steps
}

// appendCopy adds bytes of the value before, to the last step if they follow its own.
func appendCopy(steps []edit, from, length int) []edit {
	if n := len(steps); n > 0 && len(steps[n-1].Text) == 0 && steps[n-1].From+steps[n-1].Length == from {
		steps[n-1].Length += length
		return steps
	}
	return append(steps, edit{From: from, Length: length})
}
