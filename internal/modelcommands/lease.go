package modelcommands

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/tablestore"
)

const (
	// leaseKey is the key of the lease's row. The row is never deleted, so that its
	// fencing number only increases.
	leaseKey = "leases/orders"
	// leaseTTL is how long a lease lasts after its last renewal.
	leaseTTL = 10 * time.Second
	// leaseMargin is how long before the end of leaseTTL the holder stops using the lease.
	leaseMargin = 2 * time.Second
	// leaseInterval is the mean time between two renewals, and the minimum mean time
	// between two reads of another instance's lease.
	leaseInterval = 3 * time.Second
	// leaseTimeout bounds the calls of the table service in one step.
	leaseTimeout = 2 * time.Second
)

// leaseRow is the value of the lease's row. Renewal makes the value of each renewal
// distinct, so that an unknown commit outcome can be resolved by a read.
type leaseRow struct {
	Holder  string `cbor:"1,keyasint"`
	Epoch   uint64 `cbor:"2,keyasint"`
	Fencing uint64 `cbor:"3,keyasint"`
	Renewal uint64 `cbor:"4,keyasint"`
}

// Lease is a lease on a row of the table service. A waiting instance takes it over
// when the row has not changed for leaseTTL by the instance's own clock; clocks of
// different instances are never compared. A holder may be paused at any moment and
// still act as if it held the lease: only the fencing number makes its commands safe
// then.
type Lease struct {
	table tablestore.Table
	self  string
	epoch uint64

	mu sync.Mutex
	// seen is the row as last read, revision its revision, and seenAt when that revision
	// was first seen.
	seen     leaseRow
	revision uint64
	seenAt   time.Time
	// validUntil is when this instance stops using the lease unless it renews it.
	validUntil time.Time
}

// NewLease returns a lease that this instance does not hold yet. Epoch distinguishes
// runs of an instance under the same name.
func NewLease(table tablestore.Table, self string, epoch uint64) *Lease {
	return &Lease{table: table, self: self, epoch: epoch}
}

// Fencing returns the fencing number while this instance holds the lease.
func (l *Lease) Fencing() (number uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !time.Now().Before(l.validUntil) {
		return 0, false
	}
	return l.seen.Fencing, true
}

// remaining returns how long this instance still holds the lease under a fencing number unless
// it renews it; zero if it does not hold it.
func (l *Lease) remaining(number uint64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen.Fencing != number {
		return 0
	}
	return max(0, time.Until(l.validUntil))
}

// untilSent returns a context for one HTTP request under a fencing number. It ends when the
// lease does, unless the request has been sent by then. Stop releases its resources.
func (l *Lease) untilSent(ctx context.Context, number uint64) (_ context.Context, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	isSent := make(chan struct{})
	trace := &httptrace.ClientTrace{WroteHeaders: sync.OnceFunc(func() { close(isSent) })}
	go func() {
		for left := l.remaining(number); left > 0; left = l.remaining(number) {
			select {
			case <-isSent:
				return
			case <-ctx.Done():
				return
			case <-time.After(left):
			}
		}
		cancel()
	}()
	return httptrace.WithClientTrace(ctx, trace), cancel
}

// Drop stops the use of the lease without writing to the store. It is called when a
// server has seen a higher fencing number.
func (l *Lease) Drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = time.Time{}
}

// Step reads the lease, renews it if this instance holds it, and takes it if it is free or
// was this instance's own and expired. It returns an error if the row can't be read or
// the write is not known to be committed.
func (l *Lease) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	started := time.Now()
	rows, err := l.table.Get(ctx, leaseKey)
	if err != nil {
		return errors.Wrap(err, "read lease")
	}
	if err := l.observe(rows, started); err != nil {
		return err
	}
	next, revision, ok := l.next(started)
	if !ok {
		return nil
	}
	return l.write(ctx, next, revision, started)
}

// observe records the row as read at a time. Rows is empty if there is none.
func (l *Lease) observe(rows []tablestore.Row, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(rows) == 0 {
		l.seen, l.revision = leaseRow{}, 0
		return nil
	}
	if rows[0].Revision == l.revision {
		return nil
	}
	var row leaseRow
	if err := cbor.Unmarshal(rows[0].Value, &row); err != nil {
		return errors.Wrap(err, "decode lease")
	}
	l.seen, l.revision, l.seenAt = row, rows[0].Revision, now
	return nil
}

// next returns the row to write and the revision that it must replace. Ok is false if
// another instance holds the lease.
func (l *Lease) next(now time.Time) (row leaseRow, revision uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	row = l.seen
	own := row.Holder == l.self && row.Epoch == l.epoch
	held := own && now.Before(l.validUntil)
	free := l.revision == 0 || now.Sub(l.seenAt) >= leaseTTL
	switch {
	case held:
		row.Renewal++
	case own || free:
		// A takeover gets a higher fencing number, as does an own lease that expired.
		row = leaseRow{Holder: l.self, Epoch: l.epoch, Fencing: row.Fencing + 1}
	default:
		return leaseRow{}, 0, false
	}
	return row, l.revision, true
}

// write commits the row. An unknown outcome is resolved by the next Step, which reads
// the row. The validity counts from before the step's first call, so that delays of
// the store only shorten it.
func (l *Lease) write(ctx context.Context, row leaseRow, revision uint64, started time.Time) error {
	value, err := cbor.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	result := l.table.Commit(ctx, tablestore.Txn{
		Conditions: []tablestore.Condition{{Key: leaseKey, Revision: revision}},
		Mutations:  []tablestore.Mutation{{Key: leaseKey, Value: value}},
	})
	if result.Outcome != tablestore.OutcomeCommitted {
		return errors.Errorf("lease write: %s", result.Outcome)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen, l.revision, l.seenAt = row, result.Revision, started
	l.validUntil = started.Add(leaseTTL - leaseMargin)
	return nil
}
