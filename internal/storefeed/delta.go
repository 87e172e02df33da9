package storefeed

import (
	"bytes"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/cborflate"
)

const (
	// minLargeBytes is the size from which a row's change is sent as a patch of its
	// previous value.
	minLargeBytes = 2 << 10
	// maxLargeBytes bounds the values from which patches are made and those that a patch
	// may produce: the store's pages hold 1 MB.
	maxLargeBytes = 1 << 20
	// maxUncompressedBytes bounds a patch (new text and steps) or the rows of a message
	// before compression.
	maxUncompressedBytes = 2 * maxLargeBytes
)

// codec compresses patches and rows. One pooled compressor is enough, because only
// readers compress.
var codec = cborflate.NewCodec(nil, maxUncompressedBytes, 1)

// rowDelta is a large row's value as a patch of its previous value.
type rowDelta struct {
	Key      string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	// Base is the revision of the value that the patch applies to.
	Base  uint64 `cbor:"3,keyasint"`
	Patch []byte `cbor:"4,keyasint"`
}

// edit is one step of a patch: it copies Length bytes at From of the previous value,
// then appends Text.
type edit struct {
	From   int    `cbor:"1,keyasint,omitempty"`
	Length int    `cbor:"2,keyasint,omitempty"`
	Text   []byte `cbor:"3,keyasint,omitempty"`
}

// isLarge reports whether changes of the row are sent as patches of its value.
func isLarge(row Row) bool { return len(row.Value) >= minLargeBytes && len(row.Value) <= maxLargeBytes }

// deltaOf returns a row as a patch; ok is false if its previous value is not known. The
// caller holds the lock.
func (t *table) deltaOf(row Row) (d rowDelta, ok bool) {
	previous, known := t.patched[row.Key]
	if row.Deleted || !known || t.rows[row.Key].Position() != row.Position() {
		return rowDelta{}, false
	}
	patch, err := makePatch(previous.Value, row.Value)
	if err != nil {
		return rowDelta{}, false
	}
	return rowDelta{Key: row.Key, Revision: row.Revision, Base: previous.Revision, Patch: patch}, true
}

// applyDelta returns the row, of the given era, that a delta leads to; ok is false if its
// base is not the known revision or the patch is invalid. The caller holds the lock.
func (t *table) applyDelta(d rowDelta, era uint64) (row Row, ok bool) {
	known, exists := t.rows[d.Key]
	if !exists || known.Revision != d.Base {
		return Row{}, false
	}
	value, err := applyPatch(known.Value, d.Patch)
	if err != nil {
		return Row{}, false
	}
	return Row{Key: d.Key, Value: value, Revision: d.Revision, Era: era}, true
}

// makePatch encodes the steps that turn one value into another.
func makePatch(before, after []byte) ([]byte, error) {
	patch, err := codec.Encode(edits(before, after))
	return patch, errors.Wrap(err, "encode patch")
}

// applyPatch applies a patch to a value. It returns an error if the patch does not
// fit the value or the result exceeds maxLargeBytes.
func applyPatch(before, patch []byte) ([]byte, error) {
	var steps []edit
	if err := codec.Decode(patch, &steps); err != nil {
		return nil, errors.Wrap(err, "decode patch")
	}
	var after []byte
	for _, step := range steps {
		if step.From < 0 || step.Length < 0 || step.From > len(before) || step.Length > len(before)-step.From {
			return nil, errors.Errorf("patch copies bytes %d to %d of %d", step.From, step.From+step.Length, len(before))
		}
		after = append(append(after, before[step.From:step.From+step.Length]...), step.Text...)
		if len(after) > maxLargeBytes {
			return nil, errors.Errorf("patch result exceeds %d bytes", maxLargeBytes)
		}
	}
	return after, nil
}

// edits computes the steps that turn before into after. Adjacent pieces that also
// follow each other in before are copied in one step.
func edits(before, after []byte) []edit {
	old := splitValue(before)
	positions := make(map[string]int, len(old))
	starts := make([]int, len(old))
	offset := 0
	for i, piece := range old {
		starts[i] = offset
		offset += len(piece)
		if _, known := positions[string(piece)]; !known {
			positions[string(piece)] = i
		}
	}
	var steps []edit
	next := 0
	for _, piece := range splitValue(after) {
		i := next
		if i >= len(old) || !bytes.Equal(old[i], piece) {
			found, known := positions[string(piece)]
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

// splitValue splits a value after each comma and closing bracket or brace. Versions
// of a document that one program wrote differ in whole pieces of this kind.
func splitValue(value []byte) [][]byte {
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

// appendText appends new bytes to the last step.
func appendText(steps []edit, text []byte) []edit {
	if len(steps) == 0 {
		steps = append(steps, edit{})
	}
	last := &steps[len(steps)-1]
	last.Text = append(last.Text, text...)
	return steps
}

// appendCopy appends a copy of bytes of the previous value. It extends the last step
// if the bytes directly follow that step's.
func appendCopy(steps []edit, from, length int) []edit {
	if n := len(steps); n > 0 && len(steps[n-1].Text) == 0 && steps[n-1].From+steps[n-1].Length == from {
		steps[n-1].Length += length
		return steps
	}
	return append(steps, edit{From: from, Length: length})
}
