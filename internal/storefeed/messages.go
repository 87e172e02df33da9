package storefeed

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/wait"
)

// maxRelayedBytes bounds the rows of one message, because a message reaches each
// instance over several links. Larger changes are read from the store instead.
const maxRelayedBytes = 6 << 10

// change is the body of peers.KindTableChange.
type change struct {
	Table string `cbor:"1,keyasint"`
	// After is the revision after which Rows, Deltas and Compressed start. They lead to
	// Revision.
	After    uint64 `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	// Now is the store's monotonic clock when it answered, in nanoseconds.
	Now  int64 `cbor:"4,keyasint"`
	Rows []Row `cbor:"5,keyasint,omitempty"`
	// Partial means that the rows were too large to send, even as patches or compressed.
	Partial bool `cbor:"6,keyasint,omitempty"`
	// Reads means that the sender is a reader of the table and continues to read it.
	Reads bool `cbor:"7,keyasint,omitempty"`
	// Deltas are the large rows that are not in Rows.
	Deltas []rowDelta `cbor:"8,keyasint,omitempty"`
	// Compressed replaces Rows if these would be too large uncompressed.
	Compressed []byte `cbor:"9,keyasint,omitempty"`
	// Gap means that the store lost the history between After and Revision: rows may be
	// missing because of that loss and not because they were deleted.
	Gap bool `cbor:"10,keyasint,omitempty"`
}

// publish broadcasts an answer of the store unless another reader has already done so.
// To announce itself, a reader broadcasts when it has just joined, and at least every
// announceInterval.
func (t *table) publish(ctx context.Context, m change, page *Page, joined bool) {
	if delay := t.readers.publishDelay(); delay > 0 && t.readers.isReading() && !joined {
		// The run loop checks whether the context has ended.
		_ = wait.For(ctx, delay)
	}
	t.mu.Lock()
	known := t.publishedRevision >= page.Revision && t.publishedNow+t.Wait/2 >= page.Now
	if known && !joined && time.Since(t.lastPublished) < announceInterval {
		t.mu.Unlock()
		return
	}
	t.lastPublished = time.Now()
	t.notePublished(page.Revision, page.Now)
	t.mu.Unlock()
	t.broadcast(m, page)
}

// notePublished records the latest revision and store time that any instance has
// broadcast. The caller holds the lock.
func (t *table) notePublished(revision uint64, now time.Duration) {
	t.publishedRevision = max(t.publishedRevision, revision)
	t.publishedNow = max(t.publishedNow, now)
}

// broadcast sends an answer of the store to all instances.
func (t *table) broadcast(m change, page *Page) {
	m.Table, m.Revision, m.Now = t.Name, page.Revision, int64(page.Now)
	m.Rows, m.Reads = page.Rows, t.readers.isReading()
	if !t.compact(&m) {
		m.Rows, m.Deltas, m.Compressed, m.Partial = nil, nil, nil, true
	}
	t.f.Bus.Broadcast(peers.KindTableChange, m)
}

// compact replaces large rows by patches and, if the message is still too large,
// compresses the other rows. It reports whether the message then fits maxRelayedBytes.
func (t *table) compact(m *change) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	size, patched := 0, 0
	rows := m.Rows
	m.Rows = nil
	for _, row := range rows {
		if len(row.Value) >= minLargeBytes {
			if d, ok := t.deltaOf(row); ok {
				m.Deltas = append(m.Deltas, d)
				patched += len(d.Key) + len(d.Patch)
				continue
			}
		}
		m.Rows = append(m.Rows, row)
		size += len(row.Key) + len(row.Value)
	}
	if size+patched <= maxRelayedBytes {
		return true
	}
	compressed, err := codec.Encode(m.Rows)
	if err != nil {
		return false
	}
	m.Rows, m.Compressed = nil, compressed
	return len(compressed)+patched <= maxRelayedBytes
}

// handleChange handles a change of a table that a peer sent.
func (f *Follower) handleChange(_ context.Context, msg peers.Message) (any, error) {
	var m change
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode a change of a table")
	}
	t := f.tables[m.Table]
	if t == nil {
		return nil, nil
	}
	if m.Reads {
		t.readers.observe(msg.From)
	}
	f.breaker.peerReachedStore()
	t.merge(m)
	return nil, nil
}

// merge applies a peer's change if it continues from the known revision. Otherwise
// the instance reads the store.
func (t *table) merge(m change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notePublished(m.Revision, time.Duration(m.Now))
	if !t.loaded {
		return
	}
	rows, complete := t.decodeRows(m)
	if m.Revision > t.revision && (m.Partial || m.After > t.revision || !complete) {
		t.behind = true
		t.wakeUp()
		return
	}
	t.noteContact()
	if m.Gap && m.Revision > t.revision {
		t.outageEnd = time.Now()
	}
	t.apply(rows, m.Revision)
	t.current = true
	t.confirm(time.Duration(m.Now))
}

// decodeRows returns the rows of a message in the order of their revisions. Complete
// is false if the rows can't be decompressed or a patch does not apply.
func (t *table) decodeRows(m change) (rows []Row, complete bool) {
	rows = m.Rows
	if m.Revision <= t.revision {
		return rows, true
	}
	if m.Compressed != nil && codec.Decode(m.Compressed, &rows) != nil {
		return nil, false
	}
	for _, d := range m.Deltas {
		if d.Revision <= t.revision {
			continue
		}
		row, ok := t.applyDelta(d)
		if !ok {
			return nil, false
		}
		rows = append(rows, row)
	}
	slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(a.Revision, b.Revision) })
	return rows, true
}

func (t *table) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
