// Package groupcommit merges the small transactions of one instance into few
// commits to the table service, within the instance's share of the write rate.
//
// Transactions stay independent. If a merged commit conflicts, the transactions
// whose own conditions failed return their conflicts, and the others are
// committed again without them.
package groupcommit

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/basilrail/basilrail/internal/tablestore"
)

const (
	// maxQueued is the maximum number of queued transactions.
	maxQueued = 4096
	// maxBatch is the maximum number of transactions in one commit.
	maxBatch = 256
	// maxBatchBytes limits the keys and values of one commit. A larger
	// transaction is committed alone.
	maxBatchBytes = 1 << 20
	// outageBackoff is how long new transactions are refused after a commit was
	// not applied.
	outageBackoff = 500 * time.Millisecond
	// burst is the number of commits that may follow each other immediately.
	burst = 2
)

// Counts holds counters of a Committer.
type Counts struct {
	// Transactions counts calls of Commit. Commits counts commits sent to the
	// table service.
	Transactions int64
	Commits      int64
	// Refused counts transactions that were not queued, because the queue was
	// full, the table service was unavailable or the committer had stopped.
	Refused int64
}

// Committer merges transactions into commits. It is safe for concurrent use.
// Transactions are committed only while Run is running.
type Committer struct {
	table   tablestore.Table
	budget  func() float64
	limiter *rate.Limiter
	wake    chan struct{}

	mu          sync.Mutex
	queue       []*request
	counts      Counts
	outageUntil time.Time
	stopped     bool
}

// request is one caller's transaction.
type request struct {
	txn    tablestore.Txn
	result chan tablestore.Result
}

// New makes a committer. budget returns the number of commits per second that
// this instance may currently make.
func New(table tablestore.Table, budget func() float64) *Committer {
	return &Committer{
		table:   table,
		budget:  budget,
		limiter: rate.NewLimiter(rate.Limit(budget()), burst),
		wake:    make(chan struct{}, 1),
	}
}

// Counts returns the current counters.
func (c *Committer) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// Commit queues a transaction and waits for its result. If the context ends
// first, the outcome is OutcomeNotApplied for a transaction that is still
// queued, and OutcomeUnknown for one that is being committed.
func (c *Committer) Commit(ctx context.Context, txn tablestore.Txn) tablestore.Result {
	r := &request{txn: txn, result: make(chan tablestore.Result, 1)}
	if !c.enqueue(r) {
		return tablestore.Result{Outcome: tablestore.OutcomeNotApplied}
	}
	select {
	case result := <-r.result:
		return result
	case <-ctx.Done():
		if c.dequeue(r) {
			return tablestore.Result{Outcome: tablestore.OutcomeNotApplied}
		}
		return tablestore.Result{Outcome: tablestore.OutcomeUnknown}
	}
}

func (c *Committer) enqueue(r *request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Transactions++
	if c.stopped || len(c.queue) >= maxQueued || time.Now().Before(c.outageUntil) {
		c.counts.Refused++
		return false
	}
	c.queue = append(c.queue, r)
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return true
}

// dequeue removes a transaction from the queue and reports whether it was
// still queued.
func (c *Committer) dequeue(r *request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, queued := range c.queue {
		if queued == r {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Run commits queued transactions until the context ends. Transactions that are
// still queued then get OutcomeNotApplied.
func (c *Committer) Run(ctx context.Context) {
	defer c.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for c.queued() {
			if c.waitForBudget(ctx) != nil {
				return
			}
			c.commit(ctx, c.nextBatch())
		}
	}
}

func (c *Committer) stop() {
	c.mu.Lock()
	c.stopped = true
	remaining := c.queue
	c.queue = nil
	c.mu.Unlock()
	reply(remaining, tablestore.Result{Outcome: tablestore.OutcomeNotApplied})
}

func (c *Committer) queued() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

func (c *Committer) waitForBudget(ctx context.Context) error {
	c.limiter.SetLimit(rate.Limit(c.budget()))
	return c.limiter.Wait(ctx)
}

// nextBatch removes a batch of transactions that share no row from the queue.
// The remaining transactions keep their order.
func (c *Committer) nextBatch() []*request {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch, rest []*request
	keys := make(map[string]bool)
	bytes := 0
	for _, r := range c.queue {
		size := txnBytes(r.txn)
		full := len(batch) > 0 && (len(batch) >= maxBatch || bytes+size > maxBatchBytes)
		if full || overlaps(r.txn, keys) {
			rest = append(rest, r)
			addKeys(r.txn, keys)
			continue
		}
		addKeys(r.txn, keys)
		bytes += size
		batch = append(batch, r)
	}
	c.queue = rest
	return batch
}

func (c *Committer) commit(ctx context.Context, batch []*request) {
	for len(batch) > 0 {
		result := c.table.Commit(ctx, merge(batch))
		c.recordCommit(result)
		if result.Outcome != tablestore.OutcomeConflict {
			reply(batch, result)
			return
		}
		rest := replyConflicts(batch, result.Conflicts)
		if len(rest) == len(batch) {
			reply(batch, tablestore.Result{Outcome: tablestore.OutcomeNotApplied})
			return
		}
		batch = rest
		if len(batch) > 0 && c.waitForBudget(ctx) != nil {
			reply(batch, tablestore.Result{Outcome: tablestore.OutcomeNotApplied})
			return
		}
	}
}

// recordCommit counts a commit and starts the outage backoff if it was not applied.
func (c *Committer) recordCommit(result tablestore.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Commits++
	if result.Outcome == tablestore.OutcomeNotApplied {
		c.outageUntil = time.Now().Add(outageBackoff)
	}
}

func merge(batch []*request) tablestore.Txn {
	var txn tablestore.Txn
	for _, r := range batch {
		txn.Conditions = append(txn.Conditions, r.txn.Conditions...)
		txn.Mutations = append(txn.Mutations, r.txn.Mutations...)
	}
	return txn
}

// replyConflicts sends the conflicts to the transactions whose conditions
// failed and returns the other transactions.
func replyConflicts(batch []*request, conflicts []tablestore.Row) []*request {
	failed := make(map[string]tablestore.Row, len(conflicts))
	for _, row := range conflicts {
		failed[row.Key] = row
	}
	var rest []*request
	for _, r := range batch {
		own := ownConflicts(r.txn, failed)
		if len(own) == 0 {
			rest = append(rest, r)
			continue
		}
		r.result <- tablestore.Result{Outcome: tablestore.OutcomeConflict, Conflicts: own}
	}
	return rest
}

func ownConflicts(txn tablestore.Txn, failed map[string]tablestore.Row) []tablestore.Row {
	var own []tablestore.Row
	for _, condition := range txn.Conditions {
		if row, ok := failed[condition.Key]; ok {
			own = append(own, row)
		}
	}
	return own
}

func reply(batch []*request, result tablestore.Result) {
	for _, r := range batch {
		r.result <- result
	}
}

func overlaps(txn tablestore.Txn, keys map[string]bool) bool {
	for _, m := range txn.Mutations {
		if keys[m.Key] {
			return true
		}
	}
	for _, condition := range txn.Conditions {
		if keys[condition.Key] {
			return true
		}
	}
	return false
}

func addKeys(txn tablestore.Txn, keys map[string]bool) {
	for _, m := range txn.Mutations {
		keys[m.Key] = true
	}
	for _, condition := range txn.Conditions {
		keys[condition.Key] = true
	}
}

func txnBytes(txn tablestore.Txn) int {
	bytes := 0
	for _, m := range txn.Mutations {
		bytes += len(m.Key) + len(m.Value)
	}
	return bytes
}
