package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/poison"
	"github.com/basilrail/basilrail/internal/refusal"
	"github.com/basilrail/basilrail/internal/storefeed"
	"github.com/basilrail/basilrail/internal/wait"
)

// simRecords is the store of the verdicts.
type simRecords struct {
	began   time.Time
	mu      sync.Mutex
	down    bool
	version uint64
	rows    []refusal.Record
}

// simFeedDelay is how often the instances read the store.
const simFeedDelay = time.Second

func (r *simRecords) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

func (r *simRecords) read() ([]refusal.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.rows), !r.down
}

// follow passes the rows to a tracker.
func (r *simRecords) follow(ctx context.Context, t *poison.Tracker) {
	apply := func() {
		if rows, ok := r.read(); ok {
			t.ApplyRecords(rows, true)
		}
	}
	apply()
	wait.Every(ctx, simFeedDelay, apply)
}

// change replaces the row of a record, which must be at its position, by others.
func (r *simRecords) change(old refusal.Record, by ...refusal.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return errTest
	}
	i := slices.IndexFunc(r.rows, func(row refusal.Record) bool { return row.Key == old.Key })
	if i < 0 && !old.Position.IsZero() || i >= 0 && r.rows[i].Position != old.Position {
		return refusal.ErrConflict
	}
	if i >= 0 {
		r.rows = slices.Delete(r.rows, i, i+1)
	}
	r.version++
	for _, row := range by {
		row.Position = storefeed.Position{Era: 1, Revision: r.version}
		r.rows = append(r.rows, row)
	}
	return nil
}

// Save implements refusal.Store.
func (r *simRecords) Save(_ context.Context, record refusal.Record) error {
	return r.change(record, record)
}

// Remove implements refusal.Store.
func (r *simRecords) Remove(_ context.Context, record refusal.Record) error { return r.change(record) }

// Now implements refusal.Store.
func (r *simRecords) Now() (time.Duration, bool) { return time.Since(r.began) + time.Hour, true }
