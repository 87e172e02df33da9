// Package modelcommands commands backend servers to load and unload versions.
//
// One entry instance at a time issues the commands, under a lease in the table
// service, and each command carries the lease's fencing number. Servers that check
// the number refuse a command of an earlier holder. For the other servers the
// current holder reconciles periodically: it compares the versions that each server
// reports with those that the settings require, and so corrects the effect of late
// commands of a paused holder. Requests are routed only to servers that report the
// version as loaded.
package modelcommands

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// planInterval is the time between two comparisons with the servers' reports.
	planInterval = 2 * time.Second
	// repeatInterval is how long a server has to report the effect of a command before
	// the command is sent again.
	repeatInterval = 30 * time.Second
	// maxInFlight bounds the concurrent commands, to limit the load on the weight store.
	maxInFlight = 4
	// unloadAfter is how long an unload must have been in the plan before it is sent, so
	// that requests in flight on the version can complete.
	unloadAfter = 15 * time.Minute
	// fleetLeaseReadsPerSecond bounds the reads of the lease by the whole fleet.
	fleetLeaseReadsPerSecond = 20
	// maxRecorded bounds the number of commands whose last sending is recorded.
	maxRecorded = 65536
)

// Options configures a Giver.
type Options struct {
	Table  tablestore.Table
	Store  *datastore.Store
	Client *http.Client
	// Self is this instance's id.
	Self string
	// FleetSize returns the number of listed entry instances.
	FleetSize func() int
	Rand      *rand.Rand
	Logger    *events.Logger
}

// Issuer issues the commands while this instance holds the lease. It is safe for
// concurrent use.
type Issuer struct {
	store     *datastore.Store
	client    *http.Client
	logger    *events.Logger
	lease     *Lease
	fleetSize func() int
	rand      *rand.Rand
	sends     sync.WaitGroup

	mu sync.Mutex
	// sentAt is when each command was last sent.
	sentAt map[Command]time.Time
	// plannedSince is when each command of the current plan first appeared in it.
	plannedSince map[Command]time.Time
	inFlight     map[Command]bool
	holdsLease   bool
}

// New returns a Giver. Run must be called for it to issue commands.
func New(o Options) *Issuer {
	return &Issuer{
		store:        o.Store,
		client:       o.Client,
		logger:       o.Logger,
		lease:        NewLease(o.Table, o.Self, o.Rand.Uint64()),
		fleetSize:    o.FleetSize,
		rand:         o.Rand,
		sentAt:       make(map[Command]time.Time),
		plannedSince: make(map[Command]time.Time),
		inFlight:     make(map[Command]bool),
	}
}

// Run renews or acquires the lease and issues commands until ctx ends.
func (g *Issuer) Run(ctx context.Context) {
	defer g.sends.Wait()
	nextLease := time.Now()
	for {
		if !time.Now().Before(nextLease) {
			// While the store is unavailable, an own lease expires by its deadline. The next
			// step retries.
			_ = g.lease.Step(ctx)
			nextLease = time.Now().Add(g.leaseWait())
		}
		g.dispatchDue(ctx)
		if wait.For(ctx, min(planInterval, max(time.Until(nextLease), time.Millisecond))) != nil {
			return
		}
	}
}

// leaseWait returns the time until the next step of the lease. It is short for the
// holder; for the others it grows with the fleet, to bound the reads of the store.
func (g *Issuer) leaseWait() time.Duration {
	interval := leaseInterval
	if !g.Holding() {
		interval = max(interval, time.Duration(g.fleetSize())*time.Second/fleetLeaseReadsPerSecond)
	}
	return interval/2 + time.Duration(g.rand.Int64N(int64(interval)))
}

// Holding reports whether this instance holds the lease.
func (g *Issuer) Holding() bool {
	_, held := g.lease.Fencing()
	return held
}

// dispatchDue sends the due commands of the plan if this instance holds the lease.
func (g *Issuer) dispatchDue(ctx context.Context) {
	number, held := g.lease.Fencing()
	g.logLeaseChange(held)
	if !held {
		return
	}
	snapshot := g.store.Snapshot()
	plan := Plan(snapshot)
	g.recordPlan(plan)
	for _, cmd := range plan {
		server, ok := snapshot.Servers[cmd.Server]
		if !ok || !g.begin(cmd) {
			continue
		}
		g.sends.Go(func() { g.dispatch(ctx, server.Settings.Address, number, cmd) })
	}
}

// recordPlan records when each command of the plan first appeared in it.
func (g *Issuer) recordPlan(plan []Command) {
	g.mu.Lock()
	defer g.mu.Unlock()
	plannedSince := make(map[Command]time.Time, len(plan))
	for _, cmd := range plan {
		since, ok := g.plannedSince[cmd]
		if !ok {
			since = time.Now()
		}
		plannedSince[cmd] = since
	}
	g.plannedSince = plannedSince
}

// logLeaseChange logs when the lease is taken or lost. On a loss it clears the
// recorded commands.
func (g *Issuer) logLeaseChange(held bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held == g.holdsLease {
		return
	}
	g.holdsLease = held
	if held {
		g.logger.Log(events.OrderLeaseTaken, events.Fields{})
		return
	}
	clear(g.sentAt)
	clear(g.plannedSince)
	g.logger.Log(events.OrderLeaseLost, events.Fields{})
}

// begin reports whether a command may be sent now, and if so records it as in flight.
func (g *Issuer) begin(cmd Command) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cmd.Action == ActionUnload && time.Since(g.plannedSince[cmd]) < unloadAfter {
		return false
	}
	last, repeated := g.sentAt[cmd]
	if g.inFlight[cmd] || len(g.inFlight) >= maxInFlight || repeated && time.Since(last) < repeatInterval {
		return false
	}
	if repeated {
		g.logger.Log(events.OrderCorrected, events.Fields{Server: cmd.Server, Version: cmd.Ref.String(), Reason: string(cmd.Action)})
	}
	if len(g.sentAt) >= maxRecorded {
		clear(g.sentAt)
	}
	g.sentAt[cmd] = time.Now()
	g.inFlight[cmd] = true
	return true
}

// dispatch sends one command. If the server rejects its fencing number, this instance
// gives up the lease.
func (g *Issuer) dispatch(ctx context.Context, address string, number uint64, cmd Command) {
	err := send(ctx, g.client, address, number, cmd)
	g.mu.Lock()
	delete(g.inFlight, cmd)
	g.mu.Unlock()
	if errors.Is(err, ErrFenced) {
		g.lease.Drop()
		g.logger.Log(events.OrderRefused, events.Fields{Server: cmd.Server, Version: cmd.Ref.String()})
	}
}
