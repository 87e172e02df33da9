package billing

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// MaxOwnBytes limits the memory of this instance's records that are not yet
	// in the table service.
	MaxOwnBytes = 12 << 20
	// reservedBytes is the part of MaxOwnBytes kept free for the records of
	// requests already admitted.
	reservedBytes = 1 << 20
	// recordOverheadBytes is the memory of a record in addition to its encoded size.
	recordOverheadBytes = 256
	// notDurableLimit is how long a record may stay non-durable before new work
	// is refused.
	notDurableLimit = 2 * time.Second
)

// Errors returned by Admit.
var (
	ErrFull       = errors.New("memory for bill records is full")
	ErrNotDurable = errors.New("bill records can't be made durable")
)

// Committer writes transactions. It is implemented by tablestore.Table and
// groupcommit.Committer.
type Committer interface {
	Commit(ctx context.Context, txn tablestore.Txn) tablestore.Result
}

// Scanner reads rows by prefix. It is implemented by tablestore.Table.
type Scanner interface {
	Scan(ctx context.Context, prefix, after string, limit int) ([]tablestore.Row, error)
}

// Config holds the dependencies of a Ledger.
type Config struct {
	Bus           peers.Bus
	FailureDomain string
	Committer     Committer
	Scanner       Scanner
	Log           *events.Logger
}

// Ledger buffers bill records until they are in the table service, and
// replicates them to peers meanwhile. It is safe for concurrent use.
type Ledger struct {
	cfg            Config
	incarnation    string
	replicationDue chan struct{}
	flushDue       chan struct{}
	// replications is a semaphore with one token per replication in progress.
	replications chan struct{}
	flushing     sync.Mutex
	held         *holder

	mu              sync.Mutex
	lastBlockNumber uint64
	open            *block
	closed          []*block
	unsent          []*batch
	nonDurable      map[*batch]struct{}
	bytes           int
	refusing        bool
}

// block holds the records collected between two flushes.
type block struct {
	id      blockID
	records []Record
	bytes   int
	batches []*batch
	// holders are the peers that were sent records of the block.
	holders map[string]bool
}

// batch holds the records that are sent to peers in one request.
type batch struct {
	block     *block
	records   []Record
	createdAt time.Time
	// durable is closed when a peer or the table service has the records.
	durable chan struct{}
}

// New makes a ledger and registers its message handlers. Records become durable
// only while Run is running.
func New(cfg Config) *Ledger {
	l := &Ledger{
		cfg:            cfg,
		incarnation:    uuid.NewString()[:8],
		replicationDue: make(chan struct{}, 1),
		flushDue:       make(chan struct{}, 1),
		replications:   make(chan struct{}, maxReplications),
		nonDurable:     make(map[*batch]struct{}),
	}
	l.held = newHolder(cfg)
	cfg.Bus.Handle(peers.KindBill, l.held.handleReplicate)
	cfg.Bus.Handle(peers.KindBillFlushed, l.held.handleFlushed)
	return l
}

// Admit returns nil if new work may start, otherwise ErrFull or ErrNotDurable.
func (l *Ledger) Admit() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.admit()
	l.logAdmission(err)
	return err
}

func (l *Ledger) admit() error {
	if l.bytes > MaxOwnBytes-reservedBytes {
		return ErrFull
	}
	for b := range l.nonDurable {
		if time.Since(b.createdAt) > notDurableLimit {
			return ErrNotDurable
		}
	}
	return nil
}

// logAdmission logs each change between admitting and refusing new work.
func (l *Ledger) logAdmission(err error) {
	if (err != nil) == l.refusing {
		return
	}
	l.refusing = err != nil
	switch {
	case err == nil:
		l.cfg.Log.Log(events.BillsRestored, events.Fields{})
	case errors.Is(err, ErrFull):
		l.cfg.Log.Log(events.BillsFull, events.Fields{})
	default:
		l.cfg.Log.Log(events.BillsNotDurable, events.Fields{})
	}
}

// Record adds a bill and returns nil once it is durable: held by a peer in
// another failure domain, or stored in the table service. If the context ends
// first, Record returns an error, but the record is kept and stored later.
func (l *Ledger) Record(ctx context.Context, record Record) error {
	encoded, err := cbor.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode bill")
	}
	b := l.add(record, len(encoded)+recordOverheadBytes)
	signal(l.replicationDue)
	select {
	case <-b.durable:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "bill is not durable yet")
	}
}

func (l *Ledger) add(record Record, bytes int) *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = l.newBlock()
	}
	b := l.openBatch()
	l.open.records = append(l.open.records, record)
	l.open.bytes += bytes
	l.bytes += bytes
	b.records = append(b.records, record)
	return b
}

// openBatch returns the unsent batch of the open block, or starts one. A batch
// never spans two blocks.
func (l *Ledger) openBatch() *batch {
	if n := len(l.unsent); n > 0 && l.unsent[n-1].block == l.open {
		return l.unsent[n-1]
	}
	b := &batch{block: l.open, createdAt: time.Now(), durable: make(chan struct{})}
	l.open.batches = append(l.open.batches, b)
	l.nonDurable[b] = struct{}{}
	l.unsent = append(l.unsent, b)
	return b
}

func (l *Ledger) newBlock() *block {
	l.lastBlockNumber++
	id := blockID{
		Instance:      l.cfg.Bus.Self(),
		Incarnation:   l.incarnation,
		Number:        l.lastBlockNumber,
		StartedMillis: time.Now().UnixMilli(),
	}
	return &block{id: id, holders: make(map[string]bool)}
}

// takeUnsent removes and returns the batches that were not sent yet.
func (l *Ledger) takeUnsent() []*batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	unsent := l.unsent
	l.unsent = nil
	return unsent
}

// markDurableLocked marks a batch as durable. The caller holds l.mu.
func (l *Ledger) markDurableLocked(b *batch) {
	if _, ok := l.nonDurable[b]; ok {
		delete(l.nonDurable, b)
		close(b.durable)
	}
}

// Unstored returns the number of this instance's records that are not in the
// table service, and the number of those that are not durable.
func (l *Ledger) Unstored() (records, notDurable int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.closed {
		records += len(b.records)
	}
	if l.open != nil {
		records += len(l.open.records)
	}
	for b := range l.nonDurable {
		notDurable += len(b.records)
	}
	return records, notDurable
}

// Held returns the number of records held for other instances.
func (l *Ledger) Held() int { return l.held.count() }

// Run replicates and flushes records, and stores orphaned records of other
// instances, until the context ends.
func (l *Ledger) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { l.replicationLoop(ctx) })
	loops.Go(func() { l.flushLoop(ctx) })
	loops.Go(func() { l.held.watch(ctx) })
	loops.Wait()
}

// Close stores all records or, if that fails, waits until peers hold them. It
// also transfers the records held for other instances. It must be called while
// Run is running. It returns the number of this instance's records that are
// neither stored nor held by a peer.
func (l *Ledger) Close(ctx context.Context) (lost int) {
	l.flush(ctx)
	l.held.transferAll(ctx)
	for attempt := 1; ; attempt++ {
		records, notDurable := l.Unstored()
		replicated := notDurable == 0 && attempt > closeAttempts
		if records == 0 || replicated || wait.For(ctx, closeRetryInterval) != nil {
			return l.logLost(notDurable)
		}
		l.flush(ctx)
	}
}

func (l *Ledger) logLost(count int) int {
	if count > 0 {
		l.cfg.Log.Log(events.BillsLost, events.Fields{Count: count})
	}
	return count
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
