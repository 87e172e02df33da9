package storefeed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// joinPause is the least of the time, drawn anew each time, that an instance
	// waits before it begins to read, so that few do at once.
	joinPause = 600 * time.Millisecond
	// firstJoinPause is the same after a start, when all instances may start at once
	// and do not hear each other yet.
	firstJoinPause = 3 * time.Second
	// idlePause is how often an instance that does not read looks whether it should.
	idlePause = 100 * time.Millisecond
	// outageGap is the time without any confirmation, by the store or by a peer, from
	// which entries of servers may have lapsed in it; they lapse after three of their
	// heartbeats.
	outageGap = 2500 * time.Millisecond
	// returnWithin is how long after an outage such entries may still be missing; the
	// platform's servers are back within about two seconds.
	returnWithin = 2200 * time.Millisecond
)

// table follows one table.
type table struct {
	Table
	f       *Follower
	readers *readers
	wake    chan struct{}

	mu       sync.Mutex
	revision uint64
	loaded   bool
	// current tells that a feed has answered since the table was read whole.
	current bool
	// joined tells that this instance began to read and has told nobody yet.
	joined bool
	// keys are the keys of the rows that there are.
	keys map[string]bool
	// gapAfter is the revision after which the history was lost; zero for none.
	gapAfter uint64
	// behind tells that a peer knows a later revision.
	behind bool
	// heard is when the table was last confirmed, by the store or by a peer.
	heard time.Time
	// outageEnd is when the table was confirmed again after an outage.
	outageEnd time.Time
	lost      bool
	// toldRevision and toldNow are the newest that any instance told of, told when
	// this one told something.
	toldRevision uint64
	toldNow      time.Duration
	told         time.Time
	// large are the rows whose values are kept.
	large map[string]largeRow
}

// run follows the table until the context ends.
func (t *table) run(ctx context.Context) {
	jitter := rand.N(max(firstJoinPause, t.Wait))
	for ctx.Err() == nil {
		if !t.mustCall(jitter) || !t.f.breaker.allow() {
			t.idle(ctx)
			continue
		}
		err := t.call(ctx)
		t.f.breaker.done(err != nil)
		if err != nil && ctx.Err() == nil {
			t.failed(err)
			continue
		}
		jitter = rand.N(max(joinPause, t.Wait))
	}
}

// mustCall reports whether the store is to be asked now.
func (t *table) mustCall(jitter time.Duration) bool {
	t.mu.Lock()
	needed := !t.loaded || !t.current || t.behind
	silence := time.Since(t.heard)
	t.mu.Unlock()
	if needed || silence > t.StaleAfter+min(jitter, joinPause) {
		return true
	}
	if t.f.breaker.failedLately() {
		return false
	}
	if t.f.alone() {
		return true
	}
	wasReading := t.readers.isReading()
	if !t.readers.decide(silence > jitter) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.joined = !wasReading
	return true
}

// idle waits for a peer's news.
func (t *table) idle(ctx context.Context) {
	timer := time.NewTimer(idlePause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-t.wake:
	case <-timer.C:
	}
}

// call asks the store for the whole table or for what changed.
func (t *table) call(ctx context.Context) error {
	t.mu.Lock()
	loaded, after, joined := t.loaded, t.revision, t.joined
	catchingUp := !t.current || t.behind
	longest := t.Wait
	if catchingUp || joined || !t.readers.isReading() && !t.f.alone() || t.f.breaker.isOpen() {
		// A read of the whole table may be old; the feed's first answer tells. A call
		// that tries a lost store must not keep the others waiting, nor one after which
		// they hear of a new reader: else all of them join.
		longest = 0
	}
	t.joined = false
	t.mu.Unlock()
	if !loaded {
		page, err := t.f.Source.Scan(ctx, t.Name)
		if err != nil {
			return err
		}
		return t.reload(ctx, page)
	}
	page, err := t.f.Source.Feed(ctx, t.Name, after, longest)
	if errors.Is(err, ErrHistoryGone) {
		t.forget(after)
		return nil
	}
	if err != nil {
		return err
	}
	t.take(page)
	// Those that only catch up would tell what the others know.
	if t.readers.isReading() || !catchingUp {
		t.pass(ctx, change{After: after}, page, joined)
	}
	// A context that ends is seen by the loop.
	_ = wait.For(ctx, t.MinGap)
	return nil
}

// reload takes in the whole table. A reader that lost the history tells the others
// what changed meanwhile, so that they need not read it whole too.
func (t *table) reload(ctx context.Context, page *Page) error {
	t.mu.Lock()
	after := t.gapAfter
	var missed *Page
	if after > 0 && t.readers.isReading() {
		missed = t.missed(page, after)
	}
	t.mu.Unlock()
	if err := t.load(page); err != nil {
		return err
	}
	if missed != nil {
		t.pass(ctx, change{After: after, Gap: true}, missed, false)
	}
	return nil
}

// missed are the rows of a whole table that changed or went after a revision. The
// caller holds the lock.
func (t *table) missed(page *Page, after uint64) *Page {
	missed := &Page{Revision: page.Revision, Now: page.Now}
	present := make(map[string]bool, len(page.Rows))
	for _, row := range page.Rows {
		present[row.Key] = true
		if row.Revision > after {
			missed.Rows = append(missed.Rows, row)
		}
	}
	for key := range t.keys {
		if !present[key] {
			missed.Rows = append(missed.Rows, Row{Key: key, Revision: page.Revision, Deleted: true})
		}
	}
	return missed
}

// noteKeys keeps which rows there are. The caller holds the lock.
func (t *table) noteKeys(rows []Row) {
	for _, row := range rows {
		if row.Deleted {
			delete(t.keys, row.Key)
			continue
		}
		t.keys[row.Key] = true
	}
}

// load takes in the whole table. One that is older than what is known is dropped;
// the next read is newer.
func (t *table) load(page *Page) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if page.Revision < t.revision {
		return errors.Errorf("the store answered with revision %d after %d", page.Revision, t.revision)
	}
	t.noteOutage()
	t.Apply(page.Rows, true, t.unsure())
	t.keepLarge(page.Rows)
	clear(t.keys)
	t.noteKeys(page.Rows)
	t.gapAfter = 0
	t.revision, t.loaded = page.Revision, true
	// Where nobody vouches for the table, the readers' next news tells whether the
	// read was old.
	t.current = t.Confirmed == nil
	t.restored()
	return nil
}

// forget has the table read whole again.
func (t *table) forget(revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f.Log.Log(events.StoreHistoryGone, events.Fields{Path: t.Name, Revision: revision})
	t.outageEnd = time.Now()
	t.loaded, t.gapAfter = false, revision
}

// take applies what the store answered.
func (t *table) take(page *Page) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteOutage()
	t.apply(page.Rows, page.Revision)
	t.current, t.behind = true, false
	t.restored()
	t.confirm(page.Now)
}

// apply takes in the rows that are news. The caller holds the lock.
func (t *table) apply(rows []Row, revision uint64) {
	var news []Row
	for _, row := range rows {
		if row.Revision > t.revision {
			news = append(news, row)
		}
	}
	if len(news) > 0 {
		t.Apply(news, false, t.unsure())
		t.keepLarge(news)
		t.noteKeys(news)
	}
	t.revision = max(t.revision, revision)
}

// confirm notes that the table is current. The caller holds the lock.
func (t *table) confirm(at time.Duration) {
	if t.Confirmed != nil {
		t.Confirmed(at)
	}
}

// failed notes a call without an answer.
func (t *table) failed(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lost {
		t.lost = true
		t.f.Log.Log(events.StoreLost, events.Fields{Path: t.Name, Revision: t.revision, Age: time.Since(t.heard), Err: err})
	}
}

// restored notes that the store answers. The caller holds the lock.
func (t *table) restored() {
	if t.lost {
		t.lost = false
		t.f.Log.Log(events.StoreRestored, events.Fields{Path: t.Name, Revision: t.revision})
	}
}

// noteOutage notes the end of an outage, before news of the store are applied. The
// caller holds the lock.
func (t *table) noteOutage() {
	if !t.heard.IsZero() && time.Since(t.heard) > outageGap {
		t.outageEnd = time.Now()
	}
	t.heard = time.Now()
}

// unsure is how long rows that are gone may still be missing by the store's own
// doing. The caller holds the lock.
func (t *table) unsure() time.Duration {
	if t.outageEnd.IsZero() {
		return 0
	}
	return max(0, returnWithin-time.Since(t.outageEnd))
}
