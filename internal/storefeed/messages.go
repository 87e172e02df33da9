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

// overtakenWait is how long the changes that a later one overtook are awaited until the store
// is read. A message reaches all instances in less.
const overtakenWait = publishStagger

// maxRelayedBytes bounds the rows of one message, because a message reaches each
// instance over several links. Larger changes are read from the store instead.
const maxRelayedBytes = 6 << 10

// change is the body of peers.KindTableChange.
type change struct {
	Table string `cbor:"1,keyasint"`
	// Base is the position after which Rows, Deltas and Compressed start. They lead to
	// Position. With Gap, or if Position is of a later era, they lead there only from
	// exactly Base.
	Base     Position `cbor:"2,keyasint"`
	Position Position `cbor:"3,keyasint"`
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
	// Gap means that the store lost the history between Base and Position: rows may be
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
	known := !t.published.Before(page.Position) && t.publishedNow+t.Wait/2 >= page.Now &&
		(t.publishedSettled || t.f.unsettledFor() > 0)
	if known && !joined && time.Since(t.lastPublished) < announceInterval {
		t.mu.Unlock()
		return
	}
	t.lastPublished = time.Now()
	t.notePublished(page.Position, page.Now)
	t.mu.Unlock()
	t.broadcast(m, page)
}

// notePublished records the latest position and store time that any instance has
// broadcast. The caller holds the lock.
func (t *table) notePublished(position Position, now time.Duration) {
	if t.published.Before(position) {
		t.published = position
	}
	t.publishedNow = max(t.publishedNow, now)
	t.publishedSettled = t.f.unsettledFor() == 0
}

// broadcast sends an answer of the store to all instances.
func (t *table) broadcast(m change, page *Page) {
	m.Table, m.Position, m.Now = t.Name, page.Position, int64(page.Now)
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
	t.merge(msg.From, m)
	return nil, nil
}

// merge applies a peer's change if it continues from the known position. Otherwise the
// instance reads the store. A change of an earlier era is ignored: its sender has not
// seen yet that the store was restored.
func (t *table) merge(from string, m change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.Position.Era < t.position.Era {
		return
	}
	if m.Reads {
		t.readers.observe(from)
	}
	t.f.breaker.peerReachedStore()
	t.notePublished(m.Position, time.Duration(m.Now))
	switch {
	case !t.loaded:
	case m.Position.Era > t.position.Era:
		t.mergeEra(m)
	default:
		t.mergeChange(m)
	}
}

// mergeChange applies a change of the table's era. The caller holds the lock.
func (t *table) mergeChange(m change) {
	rows, complete := t.decodeRows(m)
	if t.position.Before(m.Position) && (m.Partial || !t.continues(m) || !complete) {
		if !m.Partial && t.position.Before(m.Base) {
			t.awaitOvertaken(m.Position)
			return
		}
		t.behind = true
		t.wakeUp()
		return
	}
	t.noteContact()
	if m.Gap && t.position.Before(m.Position) {
		t.outageEnd = time.Now()
	}
	t.apply(rows, m.Position)
	t.current = true
	t.confirm(time.Duration(m.Now))
}

// awaitOvertaken reads the store later, unless the changes before a position arrive until then.
// Readers broadcast at the same time, so that one that has applied another's change may overtake
// it. The caller holds the lock.
func (t *table) awaitOvertaken(position Position) {
	if t.ahead.Before(position) {
		t.ahead = position
	}
	if t.awaited {
		return
	}
	t.awaited = true
	time.AfterFunc(overtakenWait, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.awaited = false
		if t.position.Before(t.ahead) {
			t.behind = true
			t.wakeUp()
		}
	})
}

// continues reports whether a change can be applied to the known position. A change over
// a gap or into a later era is the difference between the sender's rows and those at its
// base, so it does not contain rows that were added and deleted in between. The caller holds the lock.
func (t *table) continues(m change) bool {
	if m.Gap || m.Base.Era != m.Position.Era {
		return t.position == m.Base
	}
	return !t.position.Before(m.Base)
}

// mergeEra applies a change that leads to a later era. The caller holds the lock.
func (t *table) mergeEra(m change) {
	t.f.observeEra(m.Position.Era)
	rows, complete := t.decodeRows(m)
	if m.Partial || !t.continues(m) || !complete {
		t.needReload(t.position)
		t.wakeUp()
		return
	}
	t.noteContact()
	t.enterEra(m.Position, countDeleted(rows))
	t.keepRows(rows)
	t.Apply(t.rowsInEra(m.Position.Era), true, t.uncertainFor())
	t.position = m.Position
	// The first own answer of the store relates its clock to the local one.
	t.current = t.Confirmed == nil
	t.confirm(time.Duration(m.Now))
}

// decodeRows returns the rows of a message in the order of their revisions. Complete
// is false if the rows can't be decompressed or a patch does not apply. The caller holds
// the lock.
func (t *table) decodeRows(m change) (rows []Row, complete bool) {
	rows = m.Rows
	if !t.position.Before(m.Position) {
		return nil, true
	}
	if m.Compressed != nil && codec.Decode(m.Compressed, &rows) != nil {
		return nil, false
	}
	for i := range rows {
		rows[i].Era = m.Position.Era
	}
	for _, d := range m.Deltas {
		if m.Position.Era == t.position.Era && d.Revision <= t.position.Revision {
			continue
		}
		row, ok := t.applyDelta(d, m.Position.Era)
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
