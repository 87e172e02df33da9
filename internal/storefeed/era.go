package storefeed

import (
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/events"
)

// eraClock holds the latest era of the store that the instance has seen, in any table
// or from a peer. It is safe for concurrent use.
type eraClock struct {
	mu    sync.Mutex
	era   uint64
	since time.Time
}

// observe records an era and reports whether it is later than those seen before.
func (c *eraClock) observe(era uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era <= c.era {
		return false
	}
	c.era, c.since = era, time.Now()
	return true
}

func (c *eraClock) latest() (era uint64, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era, c.since
}

// observeEra records an era that the store or a peer announced.
func (f *Follower) observeEra(era uint64) {
	if f.era.observe(era) && f.NewEra != nil {
		f.NewEra(era)
	}
}

// Era returns the latest era of the store that the instance has seen, and how long ago
// it saw it first. Both are zero if the store does not announce eras.
func (f *Follower) Era() (era uint64, age time.Duration) {
	era, since := f.era.latest()
	if era == 0 {
		return 0, 0
	}
	return era, time.Since(since)
}

// unsettledFor returns how much longer the operator and the servers may be writing again
// what the store lost when the latest era began; zero if that is done.
func (f *Follower) unsettledFor() time.Duration {
	era, since := f.era.latest()
	if era == 0 || f.EraRecorded != nil && f.EraRecorded(era) {
		return 0
	}
	return max(0, recoveryWindow-time.Since(since))
}

// TableEra returns the era in which a table was last read completely or brought up to
// date by a peer; zero before the first.
func (f *Follower) TableEra(name string) uint64 {
	t := f.tables[name]
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.loaded {
		return 0
	}
	return t.position.Era
}

// RecoveryWindow is how long after the start of an era writers may still write again
// what the store lost.
const RecoveryWindow = recoveryWindow

// enterEra records that the table is of a later era from now on, in which so many of its
// rows are missing. The caller holds the lock.
func (t *table) enterEra(position Position, missing int) {
	t.f.observeEra(position.Era)
	t.outageEnd = time.Now()
	t.publishedNow = 0
	t.f.Log.Log(events.StoreEraChanged, events.Fields{Path: t.Name, Era: position.Era, Revision: position.Revision, Count: missing})
}
