package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilrail/basilrail/internal/bootclock"
)

// State holds the table in effect and when it was last confirmed to be the latest.
// It only moves to higher versions. It is safe for concurrent use.
type State struct {
	clock  bootclock.Clock
	maxAge time.Duration
	mu     sync.Mutex
	table  atomic.Pointer[Table]
	// confirmedAt is the bootclock time of the last confirmation; zero for none.
	confirmedAt atomic.Int64
}

// NewState returns a state without a table. A table counts as unconfirmed when its
// last confirmation is older than maxAge.
func NewState(clock bootclock.Clock, maxAge time.Duration) *State {
	return &State{clock: clock, maxAge: maxAge}
}

// Table returns the table in effect; nil before the first.
func (s *State) Table() *Table { return s.table.Load() }

// Put applies a table if its version is higher than the current one, and reports
// whether it did.
func (s *State) Put(t *Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.table.Load(); old != nil && old.version >= t.version {
		return false
	}
	s.table.Store(t)
	return true
}

// Confirm records that the table in effect was the latest at the given time.
func (s *State) Confirm(at bootclock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmedAt.Store(max(s.confirmedAt.Load(), int64(at)))
}

// Age returns the time since the table in effect was last confirmed to be the latest.
func (s *State) Age() time.Duration {
	return s.clock().Sub(bootclock.Time(s.confirmedAt.Load()))
}

// KnownAge returns Age for logs; zero if nothing was confirmed since the start.
func (s *State) KnownAge() time.Duration {
	if s.confirmedAt.Load() == 0 {
		return 0
	}
	return s.Age()
}

// Confirmed reports whether the keys of the table in effect may be trusted: the last
// confirmation is recent enough that a revoked key is detected within maxAge, the time
// set by operators.
func (s *State) Confirmed() bool {
	return s.table.Load() != nil && s.Age() <= s.maxAge
}
