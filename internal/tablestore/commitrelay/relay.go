// Package commitrelay divides the write rate of the table service among the
// instances. In a large fleet an instance's share is too small for transactions
// that a caller waits for. A few instances, the collectors, then commit the
// transactions of all instances, many per commit.
//
// Collectors need no coordination, since the conditions of a transaction alone
// decide whether it commits. Any instance may be a collector, and collectors
// that failed recently are skipped.
package commitrelay

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/tablestore"
)

const (
	// maxDirectInstances is the fleet size up to which each instance commits its
	// own transactions.
	maxDirectInstances = 64
	// Collectors is the number of collectors in a larger fleet.
	Collectors = 16
	// collectorsShare is the fraction of the fleet's write rate that the
	// collectors share.
	collectorsShare = 2.0 / 3
	// requestTimeout limits the commit of one transaction through a collector.
	requestTimeout = 2 * time.Second
	// failureBackoff is how long a collector is skipped after a failure.
	failureBackoff = 5 * time.Second
)

// Committer writes transactions. It is implemented by groupcommit.Committer.
type Committer interface {
	Commit(ctx context.Context, txn tablestore.Txn) tablestore.Result
}

// Relay commits transactions through the collectors, or through its local
// committer in a small fleet. It is safe for concurrent use.
type Relay struct {
	bus   peers.Bus
	local Committer
	// fleetRate is the limit of commits per second of the whole fleet.
	fleetRate float64

	mu         sync.Mutex
	instances  int
	collectors []string
	failedAt   map[string]time.Time
}

// New makes a relay for a fleet that may make fleetRate commits per second. SetLocal
// must be called before the relay is used.
func New(bus peers.Bus, fleetRate float64) *Relay {
	r := &Relay{bus: bus, fleetRate: fleetRate, instances: 1, failedAt: make(map[string]time.Time)}
	bus.Handle(peers.KindCommit, r.handleCommit)
	return r
}

// SetLocal sets the local committer. Its rate must be limited to Budget.
func (r *Relay) SetLocal(local Committer) { r.local = local }

// SetInstances sets the ids of all instances in the membership list.
func (r *Relay) SetInstances(ids []string) {
	chosen := chooseCollectors(ids, r.bus.Self())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.instances = max(1, len(ids))
	r.collectors = chosen
}

// chooseCollectors returns the collectors in this instance's order of
// preference, or none in a small fleet.
func chooseCollectors(ids []string, self string) []string {
	if len(ids) <= maxDirectInstances {
		return nil
	}
	ranked := slices.Clone(ids)
	sortByHash(ranked, "collector/")
	chosen := ranked[:Collectors]
	sortByHash(chosen, self+"/")
	return chosen
}

func sortByHash(ids []string, salt string) {
	sort.Slice(ids, func(i, j int) bool {
		return xxhash.Sum64String(salt+ids[i]) < xxhash.Sum64String(salt+ids[j])
	})
}

// Budget returns the number of commits per second that the local committer may
// make.
func (r *Relay) Budget() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.collectors) == 0 {
		return r.fleetRate / float64(r.instances)
	}
	budget := r.fleetRate * (1 - collectorsShare) / float64(r.instances)
	if slices.Contains(r.collectors, r.bus.Self()) {
		budget += r.fleetRate * collectorsShare / Collectors
	}
	return budget
}

// Commit writes a transaction through a collector or the local committer. If a
// collector's response is lost, the outcome is unknown.
func (r *Relay) Commit(ctx context.Context, txn tablestore.Txn) tablestore.Result {
	collector := r.nextCollector()
	if collector == "" || collector == r.bus.Self() {
		return r.local.Commit(ctx, txn)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var result tablestore.Result
	err := r.bus.Request(ctx, collector, peers.KindCommit, txn, &result)
	if err == nil {
		return result
	}
	r.markFailed(collector)
	if errors.Is(err, peers.ErrNotConnected) {
		return r.Commit(ctx, txn)
	}
	return tablestore.Result{Outcome: tablestore.OutcomeUnknown}
}

// nextCollector returns the first collector that did not fail within
// failureBackoff, or "" if there is none and this instance commits itself.
func (r *Relay) nextCollector() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.collectors {
		if time.Since(r.failedAt[id]) >= failureBackoff {
			return id
		}
	}
	return ""
}

func (r *Relay) markFailed(collector string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, at := range r.failedAt {
		if now.Sub(at) >= failureBackoff {
			delete(r.failedAt, id)
		}
	}
	r.failedAt[collector] = now
}

// handleCommit commits a transaction for another instance. It does not check
// that this instance is a collector, since the membership lists of two
// instances may differ temporarily.
func (r *Relay) handleCommit(ctx context.Context, msg peers.Message) (any, error) {
	var txn tablestore.Txn
	if err := cbor.Unmarshal(msg.Body, &txn); err != nil {
		return nil, errors.Wrap(err, "decode transaction")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return r.local.Commit(ctx, txn), nil
}
