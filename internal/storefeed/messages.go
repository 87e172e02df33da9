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

// maxRelayedBytes bounds the rows of one message. What is larger the others read
// from the store: a message reaches each instance by several links.
const maxRelayedBytes = 6 << 10

// change is the body of peers.KindTableChange.
type change struct {
	Table string `cbor:"1,keyasint"`
	// After is the revision from which the rows lead to Revision.
	After    uint64 `cbor:"2,keyasint"`
	Revision uint64 `cbor:"3,keyasint"`
	// Now is the store's clock when it answered, in nanoseconds.
	Now  int64 `cbor:"4,keyasint"`
	Rows []Row `cbor:"5,keyasint,omitempty"`
	// Partial tells that the rows were too large to be sent, also as patches.
	Partial bool `cbor:"6,keyasint,omitempty"`
	// Reads tells that the sender goes on reading the table.
	Reads bool `cbor:"7,keyasint,omitempty"`
	// Deltas tell of large rows that are not among Rows.
	Deltas []rowDelta `cbor:"8,keyasint,omitempty"`
	// Packed are compressed rows, in place of Rows that would be too large.
	Packed []byte `cbor:"9,keyasint,omitempty"`
	// Gap tells that the store lost the history between After and Revision: rows that
	// are gone may be missing by its own doing.
	Gap bool `cbor:"10,keyasint,omitempty"`
}

// pass tells the others what the store answered, unless another reader does; one
// that joined tells of itself.
func (t *table) pass(ctx context.Context, m change, page *Page, joined bool) {
	if turn := t.readers.turn(); turn > 0 && t.readers.isReading() && !joined {
		// A context that ends is seen by the loop.
		_ = wait.For(ctx, turn)
	}
	t.mu.Lock()
	known := t.toldRevision >= page.Revision && t.toldNow+t.Wait/2 >= page.Now
	if known && !joined && time.Since(t.told) < presence {
		t.mu.Unlock()
		return
	}
	t.told = time.Now()
	t.noteTold(page.Revision, page.Now)
	t.mu.Unlock()
	t.tell(m, page)
}

// noteTold keeps what the others know. The caller holds the lock.
func (t *table) noteTold(revision uint64, now time.Duration) {
	t.toldRevision = max(t.toldRevision, revision)
	t.toldNow = max(t.toldNow, now)
}

// tell sends what the store answered.
func (t *table) tell(m change, page *Page) {
	m.Table, m.Revision, m.Now = t.Name, page.Revision, int64(page.Now)
	m.Rows, m.Reads = page.Rows, t.readers.isReading()
	if !t.shorten(&m) {
		m.Rows, m.Deltas, m.Packed, m.Partial = nil, nil, nil, true
	}
	t.f.Bus.Broadcast(peers.KindTableChange, m)
}

// shorten tells of large rows by patches and of many rows compressed; false if the
// message is still too large.
func (t *table) shorten(m *change) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	size, patched := 0, 0
	rows := m.Rows
	m.Rows = nil
	for _, row := range rows {
		if len(row.Value) >= leastLarge {
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
	packed, err := codec.Pack(m.Rows)
	if err != nil {
		return false
	}
	m.Rows, m.Packed = nil, packed
	return len(packed)+patched <= maxRelayedBytes
}

// handleChange takes in a peer's news.
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
		t.readers.hear(msg.From)
	}
	f.breaker.news()
	t.merge(m)
	return nil, nil
}

// merge applies a peer's news, if they lead on from what is known.
func (t *table) merge(m change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteTold(m.Revision, time.Duration(m.Now))
	if !t.loaded {
		return
	}
	rows, whole := t.rowsOf(m)
	if m.Revision > t.revision && (m.Partial || m.After > t.revision || !whole) {
		t.behind = true
		t.wakeUp()
		return
	}
	t.noteOutage()
	if m.Gap && m.Revision > t.revision {
		t.outageEnd = time.Now()
	}
	t.apply(rows, m.Revision)
	t.current = true
	t.confirm(time.Duration(m.Now))
}

// rowsOf are the rows that a message tells of, in the order of their revisions;
// whole is false where a patch belongs to another value than the known one.
func (t *table) rowsOf(m change) (rows []Row, whole bool) {
	rows = m.Rows
	if m.Revision <= t.revision {
		return rows, true
	}
	if m.Packed != nil && codec.Unpack(m.Packed, &rows) != nil {
		return nil, false
	}
	for _, d := range m.Deltas {
		if d.Revision <= t.revision {
			continue
		}
		row, ok := t.patched(d)
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
