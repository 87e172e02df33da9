package storefeed

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// targetReaders is the number of instances that read a table: with one frozen and
	// one partitioned, a third still broadcasts every change.
	targetReaders = 3
	// readerTimeout is how long, beyond the duration of a feed, a reader that sends
	// nothing is still counted, so that a frozen instance can resume.
	readerTimeout = 2500 * time.Millisecond
	// publishStagger is how long a reader waits, for each reader of a lower rank, before
	// it broadcasts a change itself. A message reaches the whole fleet in less.
	publishStagger = 40 * time.Millisecond
	// announceInterval is how often a reader broadcasts even if others have already
	// broadcast every change.
	announceInterval = 2 * time.Second
)

// readers tracks which instances read a table. It is safe for concurrent use.
type readers struct {
	table   string
	ownHash uint64
	// timeout is how long a reader is counted after its last message.
	timeout  time.Duration
	mu       sync.Mutex
	lastSeen map[string]time.Time
	reading  bool
	// rank is the number of readers with a lower hash.
	rank int
}

func newReaders(t Table, self string) *readers {
	return &readers{
		table: t.Name, ownHash: rankHash(t.Name, self), timeout: max(t.Wait+t.MinInterval, announceInterval) + readerTimeout,
		lastSeen: make(map[string]time.Time),
	}
}

// rankHash returns the hash by which instances are ranked, differently for each table.
func rankHash(table, instance string) uint64 { return xxhash.Sum64String(table + "\x00" + instance) }

// observe records that an instance reads the table.
func (r *readers) observe(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSeen[instance] = time.Now()
}

// decide reports whether this instance should read now; mayJoin allows it to become a
// reader.
func (r *readers) decide(mayJoin bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	lower := 0
	for instance, at := range r.lastSeen {
		if time.Since(at) > r.timeout {
			delete(r.lastSeen, instance)
			continue
		}
		if rankHash(r.table, instance) < r.ownHash {
			lower++
		}
	}
	r.rank = lower
	// An instance that does not read joins only if there are too few readers, whatever
	// their rank: replacing a reader by one of a lower rank gains nothing.
	r.reading = lower < targetReaders && (r.reading || mayJoin && len(r.lastSeen) < targetReaders)
	return r.reading
}

// takeOver makes this instance a reader at once if too few readers have sent anything
// after the given time, and reports whether it did. It is called after a read of a stale
// table: the instances that did not read it wait for a reader.
func (r *readers) takeOver(after time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading {
		return false
	}
	heard := 0
	for _, at := range r.lastSeen {
		if at.After(after) {
			heard++
		}
	}
	r.reading = heard < targetReaders
	return r.reading
}

// isReading reports whether this instance reads for the others.
func (r *readers) isReading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reading
}

// publishDelay returns how long this reader waits for readers of a lower rank to
// broadcast a change.
func (r *readers) publishDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rank) * publishStagger
}
