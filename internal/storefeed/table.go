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
	// together. It is counted from connectTime on: before, they are not connected to each
	// other yet.
	initialJoinJitter = 2 * time.Second
	// idlePollInterval is the mean interval at which an instance that does not read checks
	// whether it should.
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

	mu sync.Mutex
	// position is the state of the store that the rows reflect.
	position Position
	// loaded means that the rows are complete up to position, from where a feed can
	// continue.
	loaded bool
	// current means that a feed has answered since the last full read.
	current bool
	// justJoined means that this instance has become a reader and has not announced it.
	justJoined bool
	// rows are the existing rows by key. patched holds the previous content of large
	// rows, from which patches are made; only readers keep it.
	rows    map[string]Row
	patched map[string]Row
	// gapAfter is the position after which changes are missing until the next full read:
	// the history is gone or a new era began. Zero for none.
	gapAfter Position
	// behind means that a peer has a later revision.
	behind bool
	// ahead is the latest position of a peer's change that overtook others, awaited is set
	// while these are awaited.
	ahead   Position
	awaited bool
	// lastContact is when the table was last confirmed, by the store or by a peer.
	lastContact time.Time
	// outageEnd is when the table was confirmed again after an outage.
	outageEnd   time.Time
	unreachable bool
	// published and publishedNow are the latest that any instance broadcast;
	// publishedSettled is set if that confirmed the table. lastPublished is when this
	// instance last broadcast.
	published        Position
	publishedNow     time.Duration
	publishedSettled bool
	lastPublished    time.Time
}

// run follows the table until the context ends.
func (t *table) run(ctx context.Context) {
	starting, jitter := true, connectTime+rand.N(initialJoinJitter)
	for ctx.Err() == nil {
		if starting && t.confirmedSinceStart() {
			starting, jitter = false, rand.N(max(joinJitter, t.Wait))
		}
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
		if !starting {
			jitter = rand.N(max(joinJitter, t.Wait))
		}
	}
}

// confirmedSinceStart reports whether the table was confirmed after the time in which
// the instance connects to its peers.
func (t *table) confirmedSinceStart() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastContact.Sub(t.f.started) > connectTime
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
	wasReading := t.readers.isReading()
	if t.f.breaker.failedRecently() && (!wasReading || t.f.breaker.failingLong()) {
		return false
	}
	if t.isolated() {
		return true
	}
	if !t.readers.decide(unconfirmed > jitter) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.justJoined = !wasReading
	return true
}

// idle waits until a peer reports a change that needs a read, or for about
// idlePollInterval. The interval is random, so that instances that started together do not
// check, and join, at the same instants.
func (t *table) idle(ctx context.Context) {
	timer := time.NewTimer(idlePollInterval/2 + rand.N(idlePollInterval))
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
	loaded, after, justJoined := t.loaded, t.position, t.justJoined
	catchingUp := !t.current || t.behind
	lastContact := t.lastContact
	isStale := loaded && time.Since(lastContact) > t.StaleAfter
	feedWait := t.Wait
	if catchingUp || justJoined || !t.readers.isReading() && !t.isolated() || t.f.breaker.isOpen() {
		// Ask for an immediate answer. A full read may be stale, which the first answer
		// of the feed shows. While the store is unreachable or this reader is not yet
		// announced, a long wait would make the other instances join as readers too.
		feedWait = 0
	}
	if rest := t.f.unsettledFor(); t.Confirmed != nil && rest > 0 {
		// An answer confirms the table only once this time has passed.
		feedWait = min(feedWait, rest+idlePollInterval)
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
	page, err := t.f.Source.Feed(ctx, t.Name, after.Revision, feedWait)
	if errors.Is(err, ErrHistoryGone) {
		t.f.Log.Log(events.StoreHistoryGone, events.Fields{Path: t.Name, Revision: after.Revision, Era: after.Era})
		t.scheduleReload(after)
		return nil
	}
	if err != nil {
		return err
	}
	if !t.applyPage(page, after) {
		return nil
	}
	if isStale && !t.isolated() && t.readers.takeOver(lastContact) {
		justJoined = true
	}
	// An instance that only catches up has no changes that the others lack.
	if t.readers.isReading() || !catchingUp {
		t.publish(ctx, change{Base: after}, page, justJoined)
	}
	// The run loop checks whether the context has ended.
	_ = wait.For(ctx, t.MinInterval)
	return nil
}

// reload applies a full read. After a gap a reader broadcasts the changes that the feed
// could not deliver, so that the others need no full read.
func (t *table) reload(ctx context.Context, page *Page) error {
	t.mu.Lock()
	base := t.gapAfter
	var missed *Page
	if !base.IsZero() && t.readers.isReading() {
		missed = t.changesSince(page, base)
	}
	t.mu.Unlock()
	if err := t.load(page); err != nil {
		return err
	}
	if missed != nil {
		t.publish(ctx, change{Base: base, Gap: true}, missed, false)
	}
	return nil
}

// load applies a full read. It returns an error if the read is older than the known
// position; a later read will be newer.
func (t *table) load(page *Page) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if page.Position.Before(t.position) {
		return errors.Errorf("store returned position %d/%d after position %d/%d",
			page.Position.Era, page.Position.Revision, t.position.Era, t.position.Revision)
	}
	t.noteContact()
	switch {
	case t.position.IsZero():
		t.f.observeEra(page.Position.Era)
	case page.Position.Era > t.position.Era:
		t.enterEra(page.Position, t.countMissing(page.Rows))
	}
	t.Apply(page.Rows, true, t.uncertainFor())
	t.replaceRows(page.Rows)
	t.gapAfter = Position{}
	t.position, t.loaded = page.Position, true
	// Without a Confirmed callback no feed has to confirm the read: if it is stale, the
	// readers' next broadcast shows it.
	t.current = t.Confirmed == nil
	t.noteSuccess()
	return nil
}

// scheduleReload makes the next call a full read, because the changes after a position
// can't be had.
func (t *table) scheduleReload(after Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outageEnd = time.Now()
	t.needReload(after)
}

// needReload makes the next call a full read. The caller holds the lock.
func (t *table) needReload(after Position) {
	if t.gapAfter.IsZero() {
		t.gapAfter = after
	}
	t.loaded = false
}

// applyPage applies an answer of the store's feed after a position. It reports false if
// the answer is of another era than that position: its rows are then not the changes
// that this instance lacks.
func (t *table) applyPage(page *Page, after Position) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if page.Position.Era != after.Era || page.Position.Era != t.position.Era {
		if page.Position.Era > t.position.Era {
			t.needReload(t.position)
		}
		return false
	}
	t.noteContact()
	t.apply(page.Rows, page.Position)
	t.current, t.behind = true, false
	t.noteSuccess()
	t.confirm(page.Now)
	return true
}

// apply applies the rows that are newer than the known position, which must be of the
// same era. The caller holds the lock.
func (t *table) apply(rows []Row, position Position) {
	var newer []Row
	for _, row := range rows {
		if row.Revision > t.position.Revision {
			newer = append(newer, row)
		}
	}
	t.applyRows(newer)
	t.position.Revision = max(t.position.Revision, position.Revision)
}

// applyRows applies rows. The caller holds the lock.
func (t *table) applyRows(rows []Row) {
	if len(rows) > 0 {
		t.Apply(rows, false, t.uncertainFor())
		t.keepRows(rows)
	}
}

// confirm reports that the table is current up to a time of the store's clock, unless
// rows that a restored store lost may still be missing. The caller holds the lock.
func (t *table) confirm(at time.Duration) {
	if t.Confirmed != nil && t.f.unsettledFor() == 0 {
		t.Confirmed(at)
	}
}

// noteFailure logs the first failed call since the store last answered.
func (t *table) noteFailure(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.unreachable {
		t.unreachable = true
		t.f.Log.Log(events.StoreUnreachable, events.Fields{Path: t.Name, Revision: t.position.Revision, Age: time.Since(t.lastContact), Err: err})
	}
}

// noteSuccess logs that the store answers again after a failure. The caller holds the
// lock.
func (t *table) noteSuccess() {
	if t.unreachable {
		t.unreachable = false
		t.f.Log.Log(events.StoreRestored, events.Fields{Path: t.Name, Revision: t.position.Revision})
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
// store, and not because they were deleted, or missing or outdated because the store was
// restored. The caller holds the lock.
func (t *table) uncertainFor() time.Duration {
	rest := t.f.unsettledFor()
	if !t.outageEnd.IsZero() {
		rest = max(rest, recoveryWindow-time.Since(t.outageEnd))
	}
	return rest
}
