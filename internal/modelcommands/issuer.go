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
	"github.com/basilrail/basilrail/internal/httpanswer"
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
	// maxRecorded bounds the number of commands whose last send time is recorded.
	maxRecorded = 65536
)

// Options configures an Issuer.
type Options struct {
	Table  tablestore.Table
	Store  *datastore.Store
	Client *http.Client
	// Self is this instance's id.
	Self string
	// FleetSize returns the number of listed instances.
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

// New returns an Issuer. Run must be called for it to issue commands.
func New(o Options) *Issuer {
	return &Issuer{
		store:        o.Store,
		client:       httpanswer.NewClient(o.Client),
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
func (i *Issuer) Run(ctx context.Context) {
	defer i.sends.Wait()
	nextLease := time.Now()
	for {
		if !time.Now().Before(nextLease) {
			// While the store is unavailable, an own lease expires by its deadline. The next
			// step retries.
			_ = i.lease.Step(ctx)
			nextLease = time.Now().Add(i.leaseWait())
		}
		i.dispatchDue(ctx)
		if wait.For(ctx, min(planInterval, max(time.Until(nextLease), time.Millisecond))) != nil {
			return
		}
	}
}

// leaseWait returns the time until the next step of the lease. It is short for the
// holder; for the others it grows with the fleet, to bound the reads of the store.
func (i *Issuer) leaseWait() time.Duration {
	interval := leaseInterval
	if !i.HoldsLease() {
		interval = max(interval, time.Duration(i.fleetSize())*time.Second/fleetLeaseReadsPerSecond)
	}
	return interval/2 + time.Duration(i.rand.Int64N(int64(interval)))
}

// HoldsLease reports whether this instance holds the lease.
func (i *Issuer) HoldsLease() bool {
	_, held := i.lease.Fencing()
	return held
}

// dispatchDue sends the due commands of the plan if this instance holds the lease.
func (i *Issuer) dispatchDue(ctx context.Context) {
	number, held := i.lease.Fencing()
	i.logLeaseChange(held)
	if !held {
		return
	}
	snapshot := i.store.Snapshot()
	plan := Plan(snapshot)
	i.recordPlan(plan)
	for _, cmd := range plan {
		server, ok := snapshot.Servers[cmd.Server]
		if !ok || !i.begin(cmd) {
			continue
		}
		i.sends.Go(func() { i.dispatch(ctx, server.Settings.Address, number, cmd) })
	}
}

// recordPlan records when each command of the plan first appeared in it.
func (i *Issuer) recordPlan(plan []Command) {
	i.mu.Lock()
	defer i.mu.Unlock()
	plannedSince := make(map[Command]time.Time, len(plan))
	for _, cmd := range plan {
		since, ok := i.plannedSince[cmd]
		if !ok {
			since = time.Now()
		}
		plannedSince[cmd] = since
	}
	i.plannedSince = plannedSince
}

// logLeaseChange logs when the lease is taken or lost. On a loss it clears the
// recorded commands.
func (i *Issuer) logLeaseChange(held bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if held == i.holdsLease {
		return
	}
	i.holdsLease = held
	if held {
		i.logger.Log(events.CommandLeaseAcquired, events.Fields{})
		return
	}
	clear(i.sentAt)
	clear(i.plannedSince)
	i.logger.Log(events.CommandLeaseLost, events.Fields{})
}

// begin reports whether a command may be sent now, and if so records it as in flight.
func (i *Issuer) begin(cmd Command) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if cmd.Action == ActionUnload && time.Since(i.plannedSince[cmd]) < unloadAfter {
		return false
	}
	last, repeated := i.sentAt[cmd]
	if i.inFlight[cmd] || len(i.inFlight) >= maxInFlight || repeated && time.Since(last) < repeatInterval {
		return false
	}
	if repeated {
		i.logger.Log(events.CommandRepeated, events.Fields{Server: cmd.Server, Version: cmd.Ref.String(), Reason: string(cmd.Action)})
	}
	if len(i.sentAt) >= maxRecorded {
		clear(i.sentAt)
	}
	i.sentAt[cmd] = time.Now()
	i.inFlight[cmd] = true
	return true
}

// dispatch sends one command, unless it still waits for a connection when this instance no
// longer holds the lease. If the server rejects its fencing number, this instance gives up the
// lease.
func (i *Issuer) dispatch(ctx context.Context, address string, number uint64, cmd Command) {
	ctx, stop := i.lease.untilSent(ctx, number)
	defer stop()
	err := send(ctx, i.client, address, number, cmd)
	i.mu.Lock()
	delete(i.inFlight, cmd)
	i.mu.Unlock()
	if errors.Is(err, ErrFenced) {
		i.lease.Drop()
		i.logger.Log(events.CommandRefused, events.Fields{Server: cmd.Server, Version: cmd.Ref.String()})
	}
}
