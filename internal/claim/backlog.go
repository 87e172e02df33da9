package claim

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// retryInterval is the time between two rounds of the backlog.
	retryInterval = time.Second
	// writesPerRound bounds the writes attempted in one round.
	writesPerRound = 64
	// maxBacklogWrites and maxBacklogBytes bound the delayed writes.
	maxBacklogWrites = 4096
	maxBacklogBytes  = 8 << 20
	// maxAbandoned bounds the claims that are watched for a commit that takes effect late.
	maxAbandoned = 4096
	// sweepInterval is the time between two reads of the watched claims.
	sweepInterval = 5 * time.Second
	// abandonedWatchTime is how long an abandoned claim is watched.
	abandonedWatchTime = 2 * time.Minute
)

// pendingWrite replaces an owned claim's row, or deletes it if value is nil.
type pendingWrite struct {
	rowKey    string
	revision  uint64
	value     []byte
	requestID string
	// inDoubt means that an attempt had an unknown outcome.
	inDoubt bool
}

func (w *pendingWrite) txn() tablestore.Txn {
	return tablestore.Txn{
		Conditions: []tablestore.Condition{{Key: w.rowKey, Revision: w.revision}},
		Mutations:  []tablestore.Mutation{{Key: w.rowKey, Value: w.value, Delete: w.value == nil}},
	}
}

// abandoned is a claim whose request is not going to be sent, but whose row may still
// be inserted, because the outcome of a commit is unknown.
type abandoned struct {
	rowKey  string
	writeID string
	until   time.Time
}

// backlog holds the writes that must be retried and the abandoned claims whose rows
// must be deleted.
type backlog struct {
	service *Service

	mu        sync.Mutex
	writes    []*pendingWrite
	bytes     int
	inFlight  int
	lastSweep time.Time
	abandoned []abandoned
}

func newBacklog(s *Service) *backlog { return &backlog{service: s} }

// add queues a write; false means that the backlog is full.
func (b *backlog) add(w *pendingWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.writes) >= maxBacklogWrites || b.bytes+len(w.value) > maxBacklogBytes {
		return false
	}
	b.writes = append(b.writes, w)
	b.bytes += len(w.value)
	return true
}

// abandon watches a claim whose row may still be inserted. Beyond maxAbandoned the
// oldest claim is dropped; if its row is inserted later, it stays pending.
func (b *backlog) abandon(key Key, writeID string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.abandoned) >= maxAbandoned {
		b.abandoned = b.abandoned[1:]
	}
	b.abandoned = append(b.abandoned, abandoned{rowKey(key), writeID, time.Now().Add(abandonedWatchTime)})
}

func (b *backlog) run(ctx context.Context) {
	for wait.For(ctx, retryInterval) == nil {
		b.round(ctx)
	}
}

func (b *backlog) close(ctx context.Context) int {
	for b.round(ctx); b.pending() > 0; b.round(ctx) {
		if wait.For(ctx, retryInterval/4) != nil {
			break
		}
	}
	return b.pending()
}

func (b *backlog) pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.writes) + b.inFlight
}

// round attempts the oldest writes concurrently, so that they can share a commit, and
// deletes the inserted rows of abandoned claims.
func (b *backlog) round(ctx context.Context) {
	var attempts sync.WaitGroup
	for _, w := range b.takeBatch() {
		attempts.Go(func() {
			b.retry(ctx, w)
		})
	}
	attempts.Wait()
	b.sweep(ctx)
}

// retry makes one attempt and queues the write again if it fails.
func (b *backlog) retry(ctx context.Context, w *pendingWrite) {
	if !b.service.attempt(ctx, w) && !b.add(w) {
		b.service.log.Log(events.ClaimOutcomeLost, events.Fields{RequestID: w.requestID, Reason: "backlog full"})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}

func (b *backlog) takeBatch() []*pendingWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.writes), writesPerRound)
	taken := b.writes[:n:n]
	b.writes = b.writes[n:]
	b.inFlight += n
	for _, w := range taken {
		b.bytes -= len(w.value)
	}
	return taken
}

// attempt makes one attempt at a write and reports whether no further one is needed.
func (s *Service) attempt(ctx context.Context, w *pendingWrite) bool {
	result := s.committer.Commit(ctx, w.txn())
	switch result.Outcome {
	case tablestore.OutcomeCommitted:
		return true
	case tablestore.OutcomeConflict:
		s.logUnlessApplied(w, result.Conflicts)
		return true
	case tablestore.OutcomeUnknown:
		w.inDoubt = true
	}
	return false
}

// logUnlessApplied handles a conflict: it logs a lost outcome unless the conflict stems
// from an earlier attempt of the same write.
func (s *Service) logUnlessApplied(w *pendingWrite, conflicts []tablestore.Row) {
	applied := w.value == nil || (len(conflicts) == 1 && bytes.Equal(conflicts[0].Value, w.value))
	if !w.inDoubt || !applied {
		s.log.Log(events.ClaimOutcomeLost, events.Fields{RequestID: w.requestID, Reason: "row was changed by another"})
	}
}

// sweep deletes the inserted rows of abandoned claims, and drops the claims that were
// watched for abandonedWatchTime.
func (b *backlog) sweep(ctx context.Context) {
	list := b.takeAbandoned()
	if len(list) == 0 {
		return
	}
	rows, err := b.service.reader.Get(ctx, rowKeys(list)...)
	kept := make([]abandoned, 0, len(list))
	for _, a := range list {
		if err == nil {
			b.remove(ctx, a, rows)
		}
		if time.Now().Before(a.until) {
			kept = append(kept, a)
		}
	}
	b.mu.Lock()
	b.abandoned = append(kept, b.abandoned...)
	b.mu.Unlock()
}

// takeAbandoned removes and returns the watched claims if a sweep is due.
func (b *backlog) takeAbandoned() []abandoned {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.lastSweep) < sweepInterval {
		return nil
	}
	b.lastSweep = time.Now()
	list := b.abandoned
	b.abandoned = nil
	return list
}

func rowKeys(list []abandoned) []string {
	keys := make([]string, 0, len(list))
	for _, a := range list {
		keys = append(keys, a.rowKey)
	}
	return keys
}

// remove deletes an abandoned claim's row if it exists. The claim remains watched,
// because more than one of its attempts may take effect.
func (b *backlog) remove(ctx context.Context, a abandoned, rows []tablestore.Row) {
	for _, stored := range rows {
		found, err := decodeRow(stored)
		if stored.Key == a.rowKey && err == nil && found.WriteID == a.writeID {
			w := &pendingWrite{rowKey: a.rowKey, revision: stored.Revision}
			b.service.committer.Commit(ctx, w.txn())
		}
	}
}
