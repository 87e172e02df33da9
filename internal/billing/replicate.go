package billing

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// maxReplications is the number of concurrent replications in a small fleet
	// above which records are batched. Below it, records are sent at once, since
	// callers wait for them.
	maxReplications = 1
	// smallFleetWindow is the maximum batching delay in a small fleet.
	smallFleetWindow = 5 * time.Millisecond
	// largeFleetWindow is the fixed batching delay in a large fleet. It spreads
	// the overhead of a message over more records.
	largeFleetWindow = 40 * time.Millisecond
	// replicationTimeout limits the wait for a peer's acknowledgement.
	replicationTimeout = 250 * time.Millisecond
	// replicationRetryInterval is the wait after no peer accepted a batch.
	replicationRetryInterval = 500 * time.Millisecond
	// maxSmallFleet is the number of instances up to which two peers hold each
	// record. In a larger fleet a second copy would exceed the budget for
	// control traffic.
	maxSmallFleet = 64
)

// ReplicaCount returns the number of peers that are asked to hold a record.
func ReplicaCount(instances int) int {
	if instances <= maxSmallFleet {
		return 2
	}
	return 1
}

func (l *Ledger) instances() int { return len(l.cfg.Bus.Peers()) + 1 }

func (l *Ledger) replicationLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.replicationDue:
		}
		done := l.waitForWindow(ctx)
		go func() {
			defer done()
			l.replicateAll(ctx, l.takeUnsent())
		}()
	}
}

// waitForWindow delays a replication so that more records join its batch: by
// largeFleetWindow in a large fleet, otherwise until one of maxReplications is
// free or smallFleetWindow has passed. The caller calls done after the
// replication.
func (l *Ledger) waitForWindow(ctx context.Context) (done func()) {
	if l.instances() > maxSmallFleet {
		// replicate checks whether the context has ended.
		_ = wait.For(ctx, largeFleetWindow)
		return func() {}
	}
	timer := time.NewTimer(smallFleetWindow)
	defer timer.Stop()
	select {
	case l.replications <- struct{}{}:
		return func() { <-l.replications }
	case <-timer.C:
	case <-ctx.Done():
	}
	return func() {}
}

func (l *Ledger) replicateAll(ctx context.Context, batches []*batch) {
	var replications sync.WaitGroup
	for _, b := range batches {
		replications.Go(func() { l.replicate(ctx, b) })
	}
	replications.Wait()
}

// replicate sends a batch to peers until one acknowledges it or its block is
// stored.
func (l *Ledger) replicate(ctx context.Context, b *batch) {
	payload, err := encodeRecords(b.records)
	if err != nil {
		return // the flush of the block encodes the records again
	}
	failed := make(map[string]bool)
	for ctx.Err() == nil && !isClosed(b.durable) {
		targets := l.targets(b.block.id, failed)
		if l.replicateToAny(ctx, b.block, payload, targets) {
			l.markDurable(b)
			return
		}
		for _, target := range targets {
			failed[target.ID] = true
		}
		if len(targets) > 0 {
			continue
		}
		clear(failed)
		signal(l.flushDue)
		b.waitDurable(ctx, replicationRetryInterval)
	}
}

func (l *Ledger) markDurable(b *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markDurableLocked(b)
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// waitDurable waits until the batch is durable, d has passed or the context ends.
func (b *batch) waitDurable(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-b.durable:
	case <-ctx.Done():
	}
}

// replicateToAny sends a batch to all targets in parallel and reports whether
// one accepted it. It returns at the first acceptance, without waiting for
// slower targets.
func (l *Ledger) replicateToAny(ctx context.Context, b *block, payload []byte, targets []peers.Peer) bool {
	accepted := make(chan bool, len(targets))
	for _, target := range targets {
		go func() { accepted <- l.replicateTo(ctx, b, payload, target.ID) }()
	}
	for range targets {
		if <-accepted {
			return true
		}
	}
	return false
}

func (l *Ledger) replicateTo(ctx context.Context, b *block, payload []byte, peer string) bool {
	l.mu.Lock()
	b.holders[peer] = true
	l.mu.Unlock()
	id := b.id
	id.Instance = ""
	return requestReplica(ctx, l.cfg.Bus, peer, replicateRequest{Block: id, Records: payload}) == nil
}

// requestReplica asks a peer to hold records and returns nil once the peer
// acknowledges them.
func requestReplica(ctx context.Context, bus peers.Bus, peer string, m replicateRequest) error {
	ctx, cancel := context.WithTimeout(ctx, replicationTimeout)
	defer cancel()
	return bus.Request(ctx, peer, peers.KindBill, m, nil)
}

// targets selects connected peers in other failure domains. The selection
// rotates with the block number and prefers peers in different failure domains.
func (l *Ledger) targets(id blockID, failed map[string]bool) []peers.Peer {
	all := l.cfg.Bus.Peers()
	candidates := inOtherDomains(all, l.cfg.FailureDomain, failed)
	if len(candidates) == 0 {
		return nil
	}
	start := int(id.Number % uint64(len(candidates)))
	rotated := append(candidates[start:len(candidates):len(candidates)], candidates[:start]...)
	first := rotated[0]
	sort.SliceStable(rotated[1:], func(i, j int) bool {
		return rotated[i+1].FailureDomain != first.FailureDomain && rotated[j+1].FailureDomain == first.FailureDomain
	})
	return rotated[:min(len(rotated), ReplicaCount(len(all)+1))]
}

func inOtherDomains(all []peers.Peer, failureDomain string, failed map[string]bool) []peers.Peer {
	var candidates []peers.Peer
	for _, p := range all {
		if p.Connected && p.FailureDomain != failureDomain && !failed[p.ID] {
			candidates = append(candidates, p)
		}
	}
	return candidates
}
