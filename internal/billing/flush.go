package billing

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/tablestore"
)

const (
	// minFlushInterval is the flush interval in a small fleet.
	minFlushInterval = time.Second
	// fleetFlushesPerSecond limits the flushes of all instances together.
	fleetFlushesPerSecond = 100
	// flushTimeout limits the commit of one block.
	flushTimeout = 5 * time.Second
	// closeRetryInterval is the wait between two attempts of Close.
	closeRetryInterval = 250 * time.Millisecond
	// closeAttempts limits the attempts of Close to store records that peers
	// already hold.
	closeAttempts = 4
)

// flushInterval returns the time between two flushes of an instance in a fleet
// of the given size.
func flushInterval(instances int) time.Duration {
	return max(minFlushInterval, time.Duration(instances)*time.Second/fleetFlushesPerSecond)
}

func (l *Ledger) flushLoop(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(flushInterval(l.instances()))
		select {
		case <-timer.C:
		case <-l.flushDue:
		case <-ctx.Done():
		}
		timer.Stop()
		l.flush(ctx)
	}
}

// flush closes the open block and commits every block that is not stored. It
// commits the oldest block first and skips the others if that fails.
func (l *Ledger) flush(ctx context.Context) {
	l.flushing.Lock()
	defer l.flushing.Unlock()
	blocks := l.closeOpen()
	if len(blocks) == 0 || !l.storeBlock(ctx, blocks[0]) {
		return
	}
	var commits sync.WaitGroup
	for _, b := range blocks[1:] {
		commits.Go(func() { l.storeBlock(ctx, b) })
	}
	commits.Wait()
}

func (l *Ledger) storeBlock(ctx context.Context, b *block) bool {
	if !l.cfg.store(ctx, b.id.prefix()+ownerWriter, b.records) {
		return false
	}
	l.markStored(b)
	return true
}

// closeOpen closes the open block, whose contents never change after that, and
// returns all closed blocks that are not stored.
func (l *Ledger) closeOpen() []*block {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open != nil {
		l.closed = append(l.closed, l.open)
		l.open = nil
	}
	return append([]*block(nil), l.closed...)
}

// store inserts a row. If the key exists, the row is already stored, since the
// key identifies the writer and the contents. If the outcome of the commit is
// unknown, store reads the row back.
func (c Config) store(ctx context.Context, key string, records []Record) bool {
	payload, err := encodeRecords(records)
	if err != nil {
		return false
	}
	value, err := cbor.Marshal(rowValue{Records: payload})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	result := c.Committer.Commit(ctx, tablestore.Txn{
		Conditions: []tablestore.Condition{{Key: key}},
		Mutations:  []tablestore.Mutation{{Key: key, Value: value}},
	})
	switch result.Outcome {
	case tablestore.OutcomeCommitted, tablestore.OutcomeConflict:
		return true
	case tablestore.OutcomeUnknown:
		return c.isStored(ctx, key)
	default:
		return false
	}
}

// isStored reports whether a row exists.
func (c Config) isStored(ctx context.Context, key string) bool {
	rows, err := c.Scanner.Scan(ctx, key, "", 1)
	return err == nil && len(rows) == 1 && rows[0].Key == key
}

// markStored removes a stored block and notifies the peers that hold it.
func (l *Ledger) markStored(b *block) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.closed {
		if other == b {
			l.closed = append(l.closed[:i], l.closed[i+1:]...)
			break
		}
	}
	l.bytes -= b.bytes
	for _, stored := range b.batches {
		l.markDurableLocked(stored)
	}
	notice := flushedNotice{Incarnation: l.incarnation, Before: l.firstUnstored()}
	for peer := range b.holders {
		go l.notifyFlushed(peer, notice)
	}
}

// firstUnstored returns the number of the oldest block that is not stored, or
// the number of the next block if all are stored. The caller holds l.mu.
func (l *Ledger) firstUnstored() uint64 {
	first := l.lastBlockNumber + 1
	if l.open != nil {
		first = l.open.id.Number
	}
	for _, b := range l.closed {
		first = min(first, b.id.Number)
	}
	return first
}

// notifyFlushed sends a notice to a peer. Errors are ignored: a peer that does
// not receive the notice looks the block up in the table service.
func (l *Ledger) notifyFlushed(peer string, notice flushedNotice) {
	ctx, cancel := context.WithTimeout(context.Background(), replicationTimeout)
	defer cancel()
	_ = l.cfg.Bus.Request(ctx, peer, peers.KindBillFlushed, notice, nil)
}
