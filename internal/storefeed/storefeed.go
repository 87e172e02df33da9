// Package storefeed replicates tables of the store to every instance while only a few
// instances read the store.
//
// The readers of a table broadcast its changes and, at short intervals, that there
// were none. Each instance decides for itself whether it is a reader: it reads while
// it knows of fewer than a fixed number of readers that rank before it by hash. An
// instance that receives nothing for too long reads the store itself. The load on the
// store therefore does not grow with the fleet, and the loss of a reader delays
// changes only briefly.
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

// ErrHistoryGone means that the store no longer has the changes after the requested
// revision, so that a feed can't continue from it.
var ErrHistoryGone = errors.New("store no longer has the history after the revision")

const (
	// peerListTime is how long after its start an instance without connected peers waits
	// before it reads the list of peers again.
	peerListTime = 600 * time.Millisecond
	// connectTime is the time after its start in which an instance connects to its peers.
	// Later, an instance without connected peers counts as isolated.
	connectTime = 1200 * time.Millisecond
)

// Row is one row of a table.
type Row struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
	// Revision is the revision of the store at the row's last change.
	Revision uint64 `cbor:"3,keyasint"`
	// Deleted marks a deleted row. Only feeds return deleted rows.
	Deleted bool `cbor:"4,keyasint,omitempty"`
	// Era is the era of the store in which the row was read. In messages it is that of
	// the message.
	Era uint64 `cbor:"-"`
}

// Position returns the row's revision with its era.
func (r Row) Position() Position { return Position{Era: r.Era, Revision: r.Revision} }

// Page is an answer of the store.
type Page struct {
	// Rows are of the era of Position.
	Rows []Row
	// Position is the latest state of the store that the rows reflect.
	Position Position
	// Now is the store's monotonic clock when it answered.
	Now time.Duration
}

// Source reads tables of the store.
type Source interface {
	// Scan reads a complete table, in one era.
	Scan(ctx context.Context, table string) (*Page, error)
	// Feed returns the changes after a revision. It waits up to the given time for a
	// first change and returns ErrHistoryGone if it can't continue from the revision.
	// The answer may be of a later era than the revision; its rows are then not the
	// changes that the caller lacks.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) (*Page, error)
}

// Table is a table to follow.
type Table struct {
	Name string
	// Wait is how long a reader's feed waits for a change. While there is none, it is
	// also the interval at which the readers broadcast that.
	Wait time.Duration
	// MinInterval is the minimum time between two feeds, during which changes are batched.
	MinInterval time.Duration
	// ListsPeers means that an instance finds its peers by the table.
	ListsPeers bool
	// StaleAfter is the time without confirmation after which an instance reads the
	// store itself.
	StaleAfter time.Duration
	// Apply applies changed rows in the order of their revisions. Complete means that
	// they are all rows of the table. For the duration uncertainFor, rows may be missing
	// because of an outage of the store, and not because they were deleted; after a
	// restore of the store they may also have an earlier content. Apply is not called
	// concurrently.
	Apply func(rows []Row, complete bool, uncertainFor time.Duration)
	// Confirmed, if set, is called when all changes up to a time of the store's clock are
	// applied, also those that a restored store had lost and that were written again.
	// Without it a full read counts as current until a peer reports a change.
	Confirmed func(at time.Duration)
}

// Options holds the dependencies of a Follower.
type Options struct {
	Bus    peers.Bus
	Source Source
	Log    *events.Logger
	// EraRecorded reports whether it is known that all that an era's restore lost has
	// been written again. If nil, or false, this counts as done recoveryWindow after the
	// instance first saw the era.
	EraRecorded func(era uint64) bool
	// NewEra, if set, is called with each later era that the instance sees.
	NewEra func(era uint64)
}

// Follower keeps tables up to date. All tables must be added before Run.
type Follower struct {
	Options
	tables  map[string]*table
	breaker breaker
	era     eraClock
	started time.Time
}

// New makes a Follower.
func New(o Options) *Follower {
	return &Follower{Options: o, tables: make(map[string]*table)}
}

// Add registers a table to follow.
func (f *Follower) Add(t Table) {
	f.tables[t.Name] = &table{
		Table:   t,
		f:       f,
		wake:    make(chan struct{}, 1),
		rows:    make(map[string]Row),
		patched: make(map[string]Row),
		readers: newReaders(t, f.Bus.Self()),
	}
}

// Run follows the tables, also by the messages of the peers, until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.started = time.Now()
	f.Bus.Handle(peers.KindTableChange, f.handleChange)
	var group sync.WaitGroup
	for _, t := range f.tables {
		group.Go(func() { t.run(ctx) })
	}
	group.Wait()
}

// isolated reports whether the instance must read the store itself because no peer is
// connected. While it connects after its start it reads only the list of peers: if all
// instances start together, each would read every table.
func (t *table) isolated() bool {
	uptime := time.Since(t.f.started)
	if uptime < peerListTime || uptime < connectTime && !t.ListsPeers {
		return false
	}
	return !slices.ContainsFunc(t.f.Bus.Peers(), func(p peers.Peer) bool { return p.Connected })
}

// TablesRead returns the number of tables that this instance reads for the others.
func (f *Follower) TablesRead() int {
	n := 0
	for _, t := range f.tables {
		if t.readers.isReading() {
			n++
		}
	}
	return n
}
