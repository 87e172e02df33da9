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
	// maxHandovers is the number of handovers under way above which a small fleet
	// gathers records; below it each leaves at once, since its caller waits.
	maxHandovers = 1
	// smallWindow is the longest that a small fleet gathers records.
	smallWindow = 5 * time.Millisecond
	// largeWindow is how long a large fleet always gathers records, to share more
	// of each message's overhead.
	largeWindow = 40 * time.Millisecond
	// handoverTimeout bounds the wait for a peer's acknowledgement.
	handoverTimeout = 250 * time.Millisecond
	// handoverRetry is the wait when no peer took a batch.
	handoverRetry = 500 * time.Millisecond
	// smallFleet is the largest fleet in which two peers hold each record; in a
	// larger one a second copy would pass the budget for control traffic.
	smallFleet = 64
)

// Copies is how many peers are asked to hold a record.
func Copies(instances int) int {
	if instances <= smallFleet {
		return 2
	}
	return 1
}

func (l *Ledger) instances() int { return len(l.cfg.Bus.Peers()) + 1 }

func (l *Ledger) handoverLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.handoverDue:
		}
		done := l.gather(ctx)
		go func() {
			defer done()
			l.deliverAll(ctx, l.takeDue())
		}()
	}
}

// gather waits until another handover may leave; done ends it.
func (l *Ledger) gather(ctx context.Context) (done func()) {
	if l.instances() > smallFleet {
		// The context's end is seen by the delivery.
		_ = wait.For(ctx, largeWindow)
		return func() {}
	}
	timer := time.NewTimer(smallWindow)
	defer timer.Stop()
	select {
	case l.handovers <- struct{}{}:
		return func() { <-l.handovers }
	case <-timer.C:
	case <-ctx.Done():
	}
	return func() {}
}

func (l *Ledger) deliverAll(ctx context.Context, batches []*batch) {
	var deliveries sync.WaitGroup
	for _, b := range batches {
		deliveries.Go(func() { l.deliver(ctx, b) })
	}
	deliveries.Wait()
}

// deliver hands a batch to peers until one acknowledges it, or its block is
// stored.
func (l *Ledger) deliver(ctx context.Context, b *batch) {
	packed, err := pack(b.records)
	if err != nil {
		return // the block's flush tries again
	}
	failed := make(map[string]bool)
	for ctx.Err() == nil && !isClosed(b.durable) {
		targets := l.targets(b.block.id, failed)
		if l.offer(ctx, b.block, packed, targets) {
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
		b.settledWithin(ctx, handoverRetry)
	}
}

func (l *Ledger) markDurable(b *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(b)
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// settledWithin waits until the batch is durable, for a time at most.
func (b *batch) settledWithin(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-b.durable:
	case <-ctx.Done():
	}
}

// offer sends a batch to all targets at once and reports whether one took it;
// a slow target does not delay the answer of the other.
func (l *Ledger) offer(ctx context.Context, b *block, packed []byte, targets []peers.Peer) bool {
	taken := make(chan bool, len(targets))
	for _, target := range targets {
		go func() { taken <- l.offerTo(ctx, b, packed, target.ID) }()
	}
	for range targets {
		if <-taken {
			return true
		}
	}
	return false
}

func (l *Ledger) offerTo(ctx context.Context, b *block, packed []byte, peer string) bool {
	l.mu.Lock()
	b.holders[peer] = true
	l.mu.Unlock()
	id := b.id
	id.Instance = ""
	return offer(ctx, l.cfg.Bus, peer, handover{Block: id, Records: packed}) == nil
}

// offer asks a peer to hold records and returns nil once it does.
func offer(ctx context.Context, bus peers.Bus, peer string, m handover) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return bus.Request(ctx, peer, peers.KindBill, m, nil)
}

// targets picks connected peers in other failure domains, different ones from
// block to block and in different failure domains where there are several.
func (l *Ledger) targets(id blockID, failed map[string]bool) []peers.Peer {
	all := l.cfg.Bus.Peers()
	candidates := elsewhere(all, l.cfg.FailureDomain, failed)
	if len(candidates) == 0 {
		return nil
	}
	start := int(id.Number % uint64(len(candidates)))
	rotated := append(candidates[start:len(candidates):len(candidates)], candidates[:start]...)
	first := rotated[0]
	sort.SliceStable(rotated[1:], func(i, j int) bool {
		return rotated[i+1].FailureDomain != first.FailureDomain && rotated[j+1].FailureDomain == first.FailureDomain
	})
	return rotated[:min(len(rotated), Copies(len(all)+1))]
}

func elsewhere(all []peers.Peer, failureDomain string, failed map[string]bool) []peers.Peer {
	var candidates []peers.Peer
	for _, p := range all {
		if p.Connected && p.FailureDomain != failureDomain && !failed[p.ID] {
			candidates = append(candidates, p)
		}
	}
	return candidates
}
