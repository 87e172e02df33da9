package storefeed

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readersWanted is the number of instances that read a table: one may be frozen
	// and one cut off while a third still tells of every change.
	readersWanted = 3
	// readerSilence is how long beyond the time of a feed a reader is counted after it
	// was last heard: time for a frozen instance to go on.
	readerSilence = 2500 * time.Millisecond
	// turnGap is the time that a reader leaves each one before it to tell of a
	// change. A message crosses the fleet in less.
	turnGap = 40 * time.Millisecond
	// presence is how often a reader tells of itself where others tell of all news.
	presence = 2 * time.Second
)

// readers knows who reads a table. It is safe for concurrent use.
type readers struct {
	table string
	own   uint64
	// silence is how long a reader is counted after it was last heard.
	silence time.Duration
	mu      sync.Mutex
	heard   map[string]time.Time
	reads   bool
	// rank is the number of readers that come before this one.
	rank int
}

func newReaders(t Table, self string) *readers {
	return &readers{
		table: t.Name, own: orderOf(t.Name, self), silence: max(t.Wait+t.MinGap, presence) + readerSilence,
		heard: make(map[string]time.Time),
	}
}

// orderOf ranks the instances differently for each table.
func orderOf(table, instance string) uint64 { return xxhash.Sum64String(table + "\x00" + instance) }

// hear notes that an instance reads.
func (r *readers) hear(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[instance] = time.Now()
}

// decide reports whether this instance should read now; mayJoin tells that it may
// begin to.
func (r *readers) decide(mayJoin bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := 0
	for instance, at := range r.heard {
		if time.Since(at) > r.silence {
			delete(r.heard, instance)
			continue
		}
		if orderOf(r.table, instance) < r.own {
			before++
		}
	}
	r.rank = before
	// An instance that does not read joins only if there are too few, whatever their
	// order: who comes first changes nothing for the others.
	r.reads = before < readersWanted && (r.reads || mayJoin && len(r.heard) < readersWanted)
	return r.reads
}

// isReading reports whether this instance reads for the others.
func (r *readers) isReading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// turn is how long this reader leaves those before it to tell of a change.
func (r *readers) turn() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rank) * turnGap
}
