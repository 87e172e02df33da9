package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilrail/basilrail/internal/bootclock"
)

// State is the table in force and how lately it was known to be the newest. It
// only moves to higher versions. It is safe for concurrent use.
type State struct {
	clock   bootclock.Clock
	maxAge  time.Duration
	mu      sync.Mutex
	table   atomic.Pointer[Table]
	current atomic.Int64
}

// NewState makes a state without a table. A table that was not confirmed for
// maxAge is not vouched for.
func NewState(clock bootclock.Clock, maxAge time.Duration) *State {
	return &State{clock: clock, maxAge: maxAge}
}

// Table returns the table in force, nil before the first.
func (s *State) Table() *Table { return s.table.Load() }

// Put takes a table into force if its version is above the present one.
func (s *State) Put(t *Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.table.Load(); old != nil && old.version >= t.version {
		return false
	}
	s.table.Store(t)
	return true
}

// Confirm notes that the table in force was the newest at a time.
func (s *State) Confirm(at bootclock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Store(max(s.current.Load(), int64(at)))
}

// Age is the time since the table in force was known to be the newest.
func (s *State) Age() time.Duration {
	return s.clock().Sub(bootclock.Time(s.current.Load()))
}

// KnownAge is Age for logs: zero while nothing was confirmed since the start.
func (s *State) KnownAge() time.Duration {
	if s.current.Load() == 0 {
		return 0
	}
	return s.Age()
}

// Vouched reports whether keys of the table in force may be trusted: one that
// was taken away meanwhile is known within the time that operators allow.
func (s *State) Vouched() bool {
	return s.table.Load() != nil && s.Age() <= s.maxAge
}
