// Package storefeed keeps every instance in step with tables of the store while
// only a few instances read it.
//
// The readers of a table tell the others what changed, and at short intervals
// that nothing did. Nobody appoints them: an instance reads as long as it hears
// of fewer than a fixed number of readers that come before it in an order by
// hash. One that hears nothing for too long asks the store itself. So the load on
// the store does not grow with the fleet, and the loss of any reader costs a
// moment.
package storefeed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
)

// ErrHistoryGone means that a feed can't go on from the revision.
var ErrHistoryGone = errors.New("the store no longer has the history")

// Row is one row of a table.
type Row struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Revision is the store's at the row's last change.
	Revision uint64 `cbor:"3,keyasint"`
	// Deleted rows are told of by feeds only.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// Page is an answer of the store.
type Page struct {
	Rows []Row
	// Revision is the store's newest, up to which the rows are current.
	Revision uint64
	// Now is the store's steady clock when it answered.
	Now time.Duration
}

// Source is the store.
type Source interface {
	// Scan reads a whole table.
	Scan(ctx context.Context, table string) (*Page, error)
	// Feed returns the changes after a revision as soon as there is one, at most
	// after the wait. The error is ErrHistoryGone if it can't go on from there.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (*Page, error)
}

// Table is a table to follow.
type Table struct {
	Name string
	// Wait is how long a reader's feed waits for a change, which is also how often
	// the others hear that there was none.
	Wait time.Duration
	// MinGap is the shortest time between two feeds, in which changes gather.
	MinGap time.Duration
	// StaleAfter is the silence after which an instance asks the store itself.
	StaleAfter time.Duration
	// Apply takes in changed rows, in the order of their revisions. Whole tells that
	// they are all rows of the table. For the time of unsure, rows that are gone may
	// be missing by the store's own doing. It is not called concurrently.
	Apply func(rows []Row, whole bool, unsure time.Duration)
	// Confirmed tells that everything up to a time of the store's clock is applied;
	// nil where nobody asks.
	Confirmed func(at time.Duration)
}

// Options is what a Follower works with.
type Options struct {
	Bus    peers.Bus
	Source Source
	Log    *events.Logger
}

// Follower follows tables. Add them all before Run.
type Follower struct {
	Options
	tables  map[string]*table
	breaker breaker
}

// New makes a Follower and registers its message handler.
func New(o Options) *Follower {
	f := &Follower{Options: o, tables: make(map[string]*table)}
	o.Bus.Handle(peers.KindTableChange, f.handleChange)
	return f
}

// Add adds a table.
func (f *Follower) Add(t Table) {
	f.tables[t.Name] = &table{
		Table:   t,
		f:       f,
		wake:    make(chan struct{}, 1),
		large:   make(map[string]largeRow),
		keys:    make(map[string]bool),
		readers: newReaders(t, f.Bus.Self()),
	}
}

// Run follows the tables until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, t := range f.tables {
		group.Go(func() { t.run(ctx) })
	}
	group.Wait()
}

// alone reports whether no peer can tell of the tables: at a start, before the
// first link, or behind a partition. An instance then reads for itself.
func (f *Follower) alone() bool {
	return !slices.ContainsFunc(f.Bus.Peers(), func(p peers.Peer) bool { return p.Connected })
}

// Readers is the number of tables that this instance reads for the others.
func (f *Follower) Readers() int {
	n := 0
	for _, t := range f.tables {
		if t.readers.isReading() {
			n++
		}
	}
	return n
}
