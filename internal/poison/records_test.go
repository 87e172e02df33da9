package poison

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/refusal"
	"github.com/basilrail/basilrail/internal/storefeed"
)

// oneRecord is a store with the record of one verdict.
type oneRecord struct {
	began  time.Time
	record refusal.Record
}

// Save implements refusal.Store.
func (s *oneRecord) Save(_ context.Context, r refusal.Record) error {
	if r.Position != s.record.Position {
		return refusal.ErrConflict
	}
	s.record = r
	s.record.Position.Revision++
	return nil
}

// Remove implements refusal.Store.
func (s *oneRecord) Remove(context.Context, refusal.Record) error { return nil }

// Now implements refusal.Store.
func (s *oneRecord) Now() (time.Duration, bool) { return time.Since(s.began), true }

// TestTrialIsNotAcquiredAfterAnotherInstanceHas guards against a second trial at the same moment: an instance whose feed
// brings the other's record before its own write took that record for the one that was due.
func TestTrialIsNotAcquiredAfterAnotherInstanceHas(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		store := &oneRecord{began: time.Now()}
		store.record = refusal.Record{Key: FormatParts([]Part{guilty}), NextTrial: firstTrial, Expires: lifetime, Position: storefeed.Position{Revision: 1}}
		tracker := New(Options{Bus: membus.New().Join("a", "d"), FleetSize: func() int { return 2 }, Records: store})
		tracker.ApplyRecords([]refusal.Record{store.record}, true)
		time.Sleep(firstTrial)
		_, refused, _ := tracker.Refused([]Part{guilty})
		require.True(t, refused)
		tracker.mu.Lock()
		due := tracker.dueRecords(time.Now())
		tracker.mu.Unlock()
		require.Len(t, due, 1)

		taken := store.record
		taken.Trials, taken.NextTrial = 1, trialGrowth*firstTrial
		require.NoError(t, store.Save(t.Context(), taken))
		tracker.ApplyRecords([]refusal.Record{store.record}, true)
		tracker.saveRecords(t.Context(), due)
		time.Sleep(time.Second)
		_, refused, _ = tracker.Refused([]Part{guilty})
		assert.True(t, refused)
		assert.Equal(t, 1, store.record.Trials)
	})
}
