package upgrade

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// saveAgain is the pause before a write is tried again, for each instance of the
	// fleet saveGap longer: what a write changed is heard of sooner.
	saveAgain = time.Second
	saveGap   = 20 * time.Millisecond
	// shareGap is the time between two instances' messages of good answers: twenty a
	// second in any fleet.
	shareGap = 50 * time.Millisecond
	// turnGap is the time that each instance leaves those before it to write.
	turnGap = 400 * time.Millisecond
	// maxTurns bounds the wait for others in a large fleet.
	maxTurns = 5
	// leastAnswers is the number of answers of a new release without which it is
	// moved on only when the time is nearly over.
	leastAnswers = 8
	// lastCall is the part of the time after which few answers must do.
	lastCall = 0.9
)

// ErrConflict means that another instance wrote a record first.
var ErrConflict = errors.New("the record was changed meanwhile")

// Run works until the context ends.
func (c *Controller) Run(ctx context.Context) {
	epoch := uint64(time.Now().UnixNano())
	wait.Every(ctx, stepEvery, func() {
		for _, service := range c.inProgress() {
			c.step(ctx, service, epoch)
		}
	})
}

func (c *Controller) inProgress() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for service, m := range c.moves {
		if !m.machine.Final() {
			list = append(list, service)
		}
	}
	return list
}

// step shares evidence, judges and records.
func (c *Controller) step(ctx context.Context, service string, epoch uint64) {
	c.share(service, epoch)
	c.look(service)
	c.judge(service)
	c.record(ctx, service)
}

// share tells the peers of this instance's evidence, if it is time to.
func (c *Controller) share(service string, epoch uint64) {
	if message, due := c.dueEvidence(service, epoch); due {
		c.Bus.Broadcast(peers.KindUpgradeEvidence, message)
	}
}

// dueEvidence is the evidence to tell now: of bad answers and of sessions that stay
// on the old release at once, of good answers less often in a larger fleet, whose
// messages add up.
func (c *Controller) dueEvidence(service string, epoch uint64) (message evidenceMessage, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moves[service]
	if m == nil {
		return evidenceMessage{}, false
	}
	instances := time.Duration(len(c.Bus.Peers()) + 1)
	silence := time.Since(m.sharedAt)
	bad := c.pool.badAnswers(m.order)
	due = silence >= instances*shareGap || bad != m.sharedBad || m.bad
	var kept []toldSession
	if due || m.hasUntold && m.known && silence >= instances*untoldGap {
		kept = c.toldSessions(m)
	}
	if !due && len(kept) == 0 {
		return evidenceMessage{}, false
	}
	m.sharedAt, m.sharedBad = time.Now(), bad
	message = c.pool.message(m.order, epoch, m.bad)
	message.Kept = kept
	return message, true
}

// look takes in the record as the store tells it, so that what another instance
// wrote is known also where no peer can tell.
func (c *Controller) look(service string) {
	r, found, loaded := c.Ledger.Load(service)
	now, ok := c.Ledger.Now()
	if !loaded || !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moves[service]
	switch {
	case m == nil || (found && r.Revision < m.record.Revision):
	case found && r.Order == m.order.Revision:
		c.adopt(m, r)
	case m.known:
		m.record.Revision = r.Revision
	default:
		// Nobody has recorded the order yet: it is new.
		m.known = true
		m.record = Record{
			Service: service, To: m.order.To, Order: m.order.Revision, Started: now,
			State: statechart.UpgradeObserving, TrialShare: c.trialShare(service), Revision: r.Revision,
		}
	}
}

// adopt takes in a stored record. The caller holds the lock.
func (c *Controller) adopt(m *move, r Record) {
	m.record, m.known, m.stored = r, true, true
	switch r.State {
	case statechart.UpgradeReverted:
		c.fire(m, statechart.UpgradeReleaseBad)
	case statechart.UpgradeCompleted:
		c.fire(m, statechart.UpgradeHalfPassed)
		c.fire(m, statechart.UpgradeMoved)
		c.settled[r.Service] = r.To
	}
}

// fire moves an order on. The caller holds the lock.
func (c *Controller) fire(m *move, e statechart.Event) {
	before := m.machine.State()
	after, err := m.machine.Fire(e)
	if err != nil {
		c.Log.Log(events.ProcessStepRefused, events.Fields{Path: m.order.Service, Err: err})
		return
	}
	if after != before {
		c.Log.Log(events.UpgradeStateChanged, events.Fields{
			Path: m.order.Service, Version: m.order.To, Revision: m.order.Revision, Outcome: string(after), Reason: string(e),
		})
	}
}

// judge follows the clock and the evidence.
func (c *Controller) judge(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moves[service]
	if m == nil || !m.known || m.machine.Final() {
		return
	}
	t := c.pool.tallies[service]
	if reason, bad := t.isBad(); bad && !m.bad {
		c.foundBad(m, reason)
	}
	if !m.bad && m.machine.State() == statechart.UpgradeObserving && c.progress(m) >= firstMoveStart {
		c.fire(m, statechart.UpgradeHalfPassed)
	}
}

// foundBad takes the release out of use. The caller holds the lock.
func (c *Controller) foundBad(m *move, reason string) {
	m.bad, m.badSince = true, time.Now()
	counts := uint64(0)
	if t := c.pool.tallies[m.order.Service]; t != nil {
		counts = t.answers()
	}
	c.Log.Log(events.UpgradeReleaseBad, events.Fields{
		Path: m.order.Service, Version: m.order.To, Revision: m.order.Revision, Reason: reason, Count: int(counts),
	})
}

// record writes what is due: that the order is in progress, or its outcome.
func (c *Controller) record(ctx context.Context, service string) {
	r, due := c.dueRecord(service)
	if !due || !c.beginSave(service) {
		return
	}
	err := c.Ledger.Save(ctx, r)
	if err != nil && !errors.Is(err, ErrConflict) {
		c.Log.Log(events.UpgradeRecordFailed, events.Fields{Path: service, Reason: string(r.State), Err: err})
	}
}

// beginSave reports whether a write may be tried now.
func (c *Controller) beginSave(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moves[service]
	pause := saveAgain + time.Duration(len(c.Bus.Peers()))*saveGap
	if m == nil || time.Since(m.savedAt) < pause {
		return false
	}
	m.savedAt = time.Now()
	return true
}

// dueRecord is the record that this instance should write now.
func (c *Controller) dueRecord(service string) (Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.moves[service]
	now, ok := c.Ledger.Now()
	if m == nil || !m.known || !ok || m.machine.Final() {
		return Record{}, false
	}
	r := m.record
	since := now - r.Started
	switch {
	case m.bad:
		r.State = statechart.UpgradeReverted
		return r, time.Since(m.badSince) >= c.turn(service)
	case c.isMoved(m):
		r.State = statechart.UpgradeCompleted
		due := time.Duration(completeStart * float64(m.order.Duration))
		return r, since-due >= c.turn(service)
	case !m.stored:
		return r, since >= c.turn(service)
	}
	return Record{}, false
}

// isMoved reports whether all sessions have moved and the evidence is good.
func (c *Controller) isMoved(m *move) bool {
	progress := c.progress(m)
	if m.machine.State() != statechart.UpgradeMoving || progress < completeStart {
		return false
	}
	return c.pool.tallies[m.order.Service].answers() >= leastAnswers || progress >= lastCall
}

// turn is how long this instance leaves the others to write first.
func (c *Controller) turn(service string) time.Duration {
	own := xxhash.Sum64String(service + "\x00" + c.Bus.Self())
	before := 0
	for _, peer := range c.Bus.Peers() {
		if peer.Connected && xxhash.Sum64String(service+"\x00"+peer.ID) < own {
			before++
		}
	}
	return time.Duration(min(before, maxTurns)) * turnGap
}
