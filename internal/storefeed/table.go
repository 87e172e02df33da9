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
	// joinJitter is the minimum range of the random delay before an instance becomes a
	// reader; a longer Wait of the table extends it. The delay is drawn again after each
	// successful call, so that few instances join at the same time.
	joinJitter = 600 * time.Millisecond
	// initialJoinJitter replaces joinJitter after a start, when all instances may start
	// together and are not connected to each other yet.
	initialJoinJitter = 3 * time.Second
	// idlePollInterval is how often an instance that does not read checks whether it
	// should.
	idlePollInterval = 100 * time.Millisecond
	// outageThreshold is the time without confirmation by the store or a peer after
	// which entries of servers may have expired; they expire after three missed
	// heartbeats.
	outageThreshold = 2500 * time.Millisecond
	// recoveryWindow is how long after an outage such entries may still be missing; the
	// platform's servers register again within about two seconds.
	recoveryWindow = 2200 * time.Millisecond
)

// table keeps one table of the store up to date.
type table struct {
	Table
	f       *Follower
	readers *readers
	wake    chan struct{}

	mu       sync.Mutex
	revision uint64
	loaded   bool
	// current means that a feed has answered since the last full read.
	current bool
	// justJoined means that this instance has become a reader and has not announced it.
	justJoined bool
	// keys are the keys of the existing rows.
	keys map[string]bool
	// historyLostAfter is the revision after which the history was lost; zero for none.
	historyLostAfter uint64
	// behind means that a peer has a later revision.
	behind bool
	// lastContact is when the table was last confirmed, by the store or by a peer.
	lastContact time.Time
	// outageEnd is when the table was confirmed again after an outage.
	outageEnd   time.Time
	unreachable bool
	// publishedRevision and publishedNow are the latest that any instance broadcast;
	// lastPublished is when this instance last broadcast.
	publishedRevision uint64
	publishedNow      time.Duration
	lastPublished     time.Time
	// large caches rows with large values, by key.
	large map[string]largeRow
}

// run follows the table until the context ends.
func (t *table) run(ctx context.Context) {
	jitter := rand.N(max(initialJoinJitter, t.Wait))
	for ctx.Err() == nil {
		if !t.shouldCall(jitter) || !t.f.breaker.allow() {
			t.idle(ctx)
			continue
		}
		err := t.call(ctx)
		t.f.breaker.done(err != nil)
		if err != nil && ctx.Err() == nil {
			t.noteFailure(err)
			continue
		}
		jitter = rand.N(max(joinJitter, t.Wait))
	}
}

// shouldCall reports whether this instance should call the store now. The random jitter
// delays its becoming a reader and, by at most joinJitter, its read of a stale table.
func (t *table) shouldCall(jitter time.Duration) bool {
	t.mu.Lock()
	needed := !t.loaded || !t.current || t.behind
	unconfirmed := time.Since(t.lastContact)
	t.mu.Unlock()
	if needed || unconfirmed > t.StaleAfter+min(jitter, joinJitter) {
		return true
	}
	if t.f.breaker.failedRecently() {
		return false
	}
	if t.f.isolated() {
		return true
	}
	wasReading := t.readers.isReading()
	if !t.readers.decide(unconfirmed > jitter) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.justJoined = !wasReading
	return true
}

// idle waits until a peer reports a change that needs a read, or for idlePollInterval.
func (t *table) idle(ctx context.Context) {
	timer := time.NewTimer(idlePollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-t.wake:
	case <-timer.C:
	}
}

// call reads the full table or its changes from the store.
func (t *table) call(ctx context.Context) error {
	t.mu.Lock()
	loaded, after, justJoined := t.loaded, t.revision, t.justJoined
	catchingUp := !t.current || t.behind
	lastContact := t.lastContact
	isStale := loaded && time.Since(lastContact) > t.StaleAfter
	feedWait := t.Wait
	if catchingUp || justJoined || !t.readers.isReading() && !t.f.isolated() || t.f.breaker.isOpen() {
		// Ask for an immediate answer. A full read may be stale, which the first answer
		// of the feed shows. While the store is unreachable or this reader is not yet
		// announced, a long wait would make the other instances join as readers too.
		feedWait = 0
	}
	t.justJoined = false
	t.mu.Unlock()
	if !loaded {
		page, err := t.f.Source.Scan(ctx, t.Name)
		if err != nil {
			return err
		}
		return t.reload(ctx, page)
	}
	page, err := t.f.Source.Feed(ctx, t.Name, after, feedWait)
	if errors.Is(err, ErrHistoryGone) {
		t.scheduleReload(after)
		return nil
	}
	if err != nil {
		return err
	}
	t.applyPage(page)
	if isStale && !t.f.isolated() && t.readers.takeOver(lastContact) {
		justJoined = true
	}
	// An instance that only catches up has no changes that the others lack.
	if t.readers.isReading() || !catchingUp {
		t.publish(ctx, change{After: after}, page, justJoined)
	}
	// The run loop checks whether the context has ended.
	_ = wait.For(ctx, t.MinInterval)
	return nil
}

// reload applies a full read. After a loss of history a reader broadcasts the changes
// that the feed could not deliver, so that the others need no full read.
func (t *table) reload(ctx context.Context, page *Page) error {
	t.mu.Lock()
	after := t.historyLostAfter
	var missed *Page
	if after > 0 && t.readers.isReading() {
		missed = t.changesSince(page, after)
	}
	t.mu.Unlock()
	if err := t.load(page); err != nil {
		return err
	}
	if missed != nil {
		t.publish(ctx, change{After: after, Gap: true}, missed, false)
	}
	return nil
}

// changesSince returns the rows of a full read that changed or were deleted after a
// revision. The caller holds the lock.
func (t *table) changesSince(page *Page, after uint64) *Page {
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

// trackKeys updates the set of existing keys. The caller holds the lock.
func (t *table) trackKeys(rows []Row) {
	for _, row := range rows {
		if row.Deleted {
			delete(t.keys, row.Key)
			continue
		}
		t.keys[row.Key] = true
	}
}

// load applies a full read. It returns an error if the read is older than the known
// revision; a later read will be newer.
func (t *table) load(page *Page) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if page.Revision < t.revision {
		return errors.Errorf("store returned revision %d after revision %d", page.Revision, t.revision)
	}
	t.noteContact()
	t.Apply(page.Rows, true, t.uncertainFor())
	t.cacheLarge(page.Rows)
	clear(t.keys)
	t.trackKeys(page.Rows)
	t.historyLostAfter = 0
	t.revision, t.loaded = page.Revision, true
	// Without a Confirmed callback no feed has to confirm the read: if it is stale, the
	// readers' next broadcast shows it.
	t.current = t.Confirmed == nil
	t.noteSuccess()
	return nil
}

// scheduleReload makes the next call a full read, because the history after a revision
// is lost.
func (t *table) scheduleReload(revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.f.Log.Log(events.StoreHistoryGone, events.Fields{Path: t.Name, Revision: revision})
	t.outageEnd = time.Now()
	t.loaded, t.historyLostAfter = false, revision
}

// applyPage applies an answer of the store's feed.
func (t *table) applyPage(page *Page) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteContact()
	t.apply(page.Rows, page.Revision)
	t.current, t.behind = true, false
	t.noteSuccess()
	t.confirm(page.Now)
}

// apply applies the rows that are newer than the known revision. The caller holds the
// lock.
func (t *table) apply(rows []Row, revision uint64) {
	var newer []Row
	for _, row := range rows {
		if row.Revision > t.revision {
			newer = append(newer, row)
		}
	}
	if len(newer) > 0 {
		t.Apply(newer, false, t.uncertainFor())
		t.cacheLarge(newer)
		t.trackKeys(newer)
	}
	t.revision = max(t.revision, revision)
}

// confirm reports that the table is current up to a time of the store's clock. The
// caller holds the lock.
func (t *table) confirm(at time.Duration) {
	if t.Confirmed != nil {
		t.Confirmed(at)
	}
}

// noteFailure logs the first failed call since the store last answered.
func (t *table) noteFailure(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.unreachable {
		t.unreachable = true
		t.f.Log.Log(events.StoreUnreachable, events.Fields{Path: t.Name, Revision: t.revision, Age: time.Since(t.lastContact), Err: err})
	}
}

// noteSuccess logs that the store answers again after a failure. The caller holds the
// lock.
func (t *table) noteSuccess() {
	if t.unreachable {
		t.unreachable = false
		t.f.Log.Log(events.StoreRestored, events.Fields{Path: t.Name, Revision: t.revision})
	}
}

// noteContact records a confirmation by the store or a peer, and the end of an outage
// if there was one. It must run before the new rows are applied. The caller holds the
// lock.
func (t *table) noteContact() {
	if !t.lastContact.IsZero() && time.Since(t.lastContact) > outageThreshold {
		t.outageEnd = time.Now()
	}
	t.lastContact = time.Now()
}

// uncertainFor returns how long rows may still be missing because of an outage of the
// store, and not because they were deleted. The caller holds the lock.
func (t *table) uncertainFor() time.Duration {
	if t.outageEnd.IsZero() {
		return 0
	}
	return max(0, recoveryWindow-time.Since(t.outageEnd))
}
