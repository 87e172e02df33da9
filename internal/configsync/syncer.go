package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore"
)

// Options configures a Syncer. Table, Bus and Rand are required.
type Options struct {
	Table tablestore.Table
	Bus   peers.Bus
	// FailureDomain is the failure domain of this instance, reported by Status.
	FailureDomain string
	// Rand jitters polls and picks peers; the Syncer owns it.
	Rand *rand.Rand
	Log  *events.Logger
	// OnChange is called with each new revision, in order and never
	// concurrently. It must not block.
	OnChange func(*settings.Snapshot)
}

// Syncer keeps the settings in effect on this instance. It is safe for
// concurrent use.
type Syncer struct {
	opts  Options
	state atomic.Pointer[state]
	// parsed caches parsed documents, so that a change costs only what it changes.
	parsed settings.Cache
	// confirmedAt is the latest instant at which the settings were known to be current.
	confirmedAt atomic.Pointer[time.Time]
	// loaded is whether the settings were loaded from the store or from a loaded peer.
	loaded atomic.Bool
	// unreadable is a committed revision that this program version can't read; zero for none.
	unreadable atomic.Uint64
	// witnesses are the witnesses by the list of instances at the last exchange.
	witnesses atomic.Pointer[[]witness]
	// transferring is whether all documents are being fetched from a peer.
	transferring atomic.Bool

	mu      sync.Mutex
	rng     *rand.Rand
	history history
	// storeDown is whether the last read of the store failed.
	storeDown bool
	// inDoubt holds the commits of unknown outcome, by change id, with the time
	// at which each was announced or sent.
	inDoubt map[string]time.Time
	// statements holds, by instance, the time of its last statement that it knows
	// no later revision and has no commit in doubt.
	statements map[string]time.Time
	// confirmed is whether the settings were confirmed when last logged.
	confirmed bool

	// applying admits one Apply at a time, so that changes through one instance
	// don't compete for the head row.
	applying chan struct{}
	hints    chan receivedHint
	changed  chan struct{}
	pollNow  chan struct{}
}

// receivedHint is a hint and the peer that sent it.
type receivedHint struct {
	peer     string
	revision uint64
}

// maxQueuedHints bounds the queue of hints; the next exchange makes up for hints
// that did not fit.
const maxQueuedHints = 64

// New creates a Syncer and registers its message handlers, so it must be called
// before the bus is started.
func New(opts Options) *Syncer {
	s := &Syncer{
		opts:       opts,
		rng:        opts.Rand,
		inDoubt:    make(map[string]time.Time),
		statements: make(map[string]time.Time),
		applying:   make(chan struct{}, 1),
		hints:      make(chan receivedHint, maxQueuedHints),
		changed:    make(chan struct{}, 1),
		pollNow:    make(chan struct{}, 1),
	}
	s.state.Store(emptyState())
	opts.Bus.Handle(peers.KindSettingsHint, s.handleHint)
	opts.Bus.Handle(peers.KindSettingsFetch, s.handleFetch)
	opts.Bus.Handle(peers.KindSettingsIntent, s.handleIntent)
	return s
}

// Run keeps the settings current until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { s.pollLoop(ctx) })
	loops.Go(func() { s.exchangeLoop(ctx) })
	loops.Go(func() { s.hintLoop(ctx) })
	loops.Wait()
}

// Snapshot returns the settings in effect.
func (s *Syncer) Snapshot() *settings.Snapshot { return s.state.Load().snapshot }

// Document returns the document in effect at a path.
func (s *Syncer) Document(path string) (doc settings.Document, ok bool) {
	doc, ok = s.state.Load().docs[path]
	return doc, ok
}

// Documents returns the documents in effect at or below a subtree, sorted by
// path, and their revision.
func (s *Syncer) Documents(subtree string) ([]settings.Document, uint64) {
	current := s.state.Load()
	var docs []settings.Document
	for _, doc := range sorted(current.docs) {
		if settings.Covers(subtree, doc.Path) {
			docs = append(docs, doc)
		}
	}
	return docs, current.revision
}

// install applies a state of a later revision; any other is ignored. It reports
// whether the state was applied.
func (s *Syncer) install(next *state, entries []logEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.revision <= s.state.Load().revision {
		return false
	}
	s.state.Store(next)
	s.history.add(next.revision, entries)
	for _, entry := range entries {
		delete(s.inDoubt, entry.ChangeID)
	}
	if s.opts.OnChange != nil {
		s.opts.OnChange(next.snapshot)
	}
	s.opts.Log.Log(events.SettingsInEffect, events.Fields{Revision: next.revision})
	signal(s.changed)
	return true
}

// errGap means that log entries are missing after the state in effect.
var errGap = errors.New("the settings log has a gap")

// errUnreadable means that this program version can't read a committed revision.
var errUnreadable = errors.New("the settings revision can't be read by this program version")

// advance installs the entries that follow the state in effect. It returns
// errGap if entries are missing in between, and errUnreadable if the resulting
// settings are invalid for this program version.
func (s *Syncer) advance(entries []logEntry) error {
	current := s.state.Load()
	next, ok := following(current.revision, entries)
	if !ok {
		return errGap
	}
	if len(next) == 0 {
		return nil
	}
	docs := current.docs
	for _, entry := range next {
		docs = merge(docs, entry.Documents)
	}
	return s.installDocs(next[len(next)-1].Revision, docs, next)
}

// installDocs compiles and installs all documents of a revision.
func (s *Syncer) installDocs(revision uint64, docs map[string]settings.Document, entries []logEntry) error {
	compiled, list := newState(&s.parsed, revision, docs)
	if err := list.Err(); err != nil {
		s.markUnreadable(revision, err)
		return errors.Wrapf(errUnreadable, "revision %d", revision)
	}
	s.install(compiled, entries)
	return nil
}

// markUnreadable records that a revision can't be read, and logs it once.
func (s *Syncer) markUnreadable(revision uint64, err error) {
	if s.unreadable.Swap(revision) != revision {
		s.opts.Log.Log(events.SettingsUnreadable, events.Fields{Revision: revision, Err: err})
	}
}

// signal wakes the loop that waits on a channel of capacity one; it never blocks.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
