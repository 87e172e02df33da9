package upgrade

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// saveRetryInterval is the time between two attempts to write a record, plus
	// saveRetryPerPeer for each peer. The change feed reports a write sooner.
	saveRetryInterval = time.Second
	saveRetryPerPeer  = 20 * time.Millisecond
	// evidenceInterval is the mean time between two messages about good answers in the
	// whole fleet: 20 per second whatever the number of instances.
	evidenceInterval = 50 * time.Millisecond
	// trialEvidenceInterval replaces it during the load trial, which lasts for seconds.
	trialEvidenceInterval = 10 * time.Millisecond
	// minAnswers is the number of answers that the new release needs before the
	// upgrade is completed, until minAnswersUntil.
	minAnswers = 8
	// minAnswersUntil is the fraction of the duration after which fewer answers suffice.
	minAnswersUntil = 0.97
)

// ErrConflict is returned when another instance wrote the record first.
var ErrConflict = errors.New("upgrade record was changed by another instance")

// Run advances upgrades until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	epoch := uint64(time.Now().UnixNano())
	wait.Every(ctx, stepInterval, func() {
		for _, service := range c.services() {
			c.step(ctx, service, epoch)
		}
	})
}

// services returns the services that have an upgrade, also those whose upgrade has
// ended: a restored store may have lost its record.
func (c *Controller) services() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.upgrades))
}

// step sends evidence, reads the record, tests the new release and writes the
// record if it is due.
func (c *Controller) step(ctx context.Context, service string, epoch uint64) {
	c.sendEvidence(service, epoch)
	c.loadRecord(service)
	c.judge(service)
	c.saveRecord(ctx, service)
}

// sendEvidence broadcasts this instance's evidence to the peers if it is due.
func (c *Controller) sendEvidence(service string, epoch uint64) {
	if message, due := c.dueEvidence(service, epoch); due {
		c.Bus.Broadcast(peers.KindUpgradeEvidence, message)
	}
}

// dueEvidence returns the evidence to send now. Bad answers and a move are sent at the next
// step, the mark of a bad release at every step, and new pins once minPinInterval per instance
// has passed since the last message. Good answers are sent less often in a larger fleet,
// to bound the total number of messages.
func (c *Controller) dueEvidence(service string, epoch uint64) (message evidenceMessage, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upgrades[service]
	if u == nil || u.machine.Final() {
		return evidenceMessage{}, false
	}
	instances := time.Duration(len(c.Bus.Peers()) + 1)
	sinceSent := time.Since(u.evidenceSentAt)
	bad := c.evidence.badAnswers(u.upgrade)
	interval := evidenceInterval
	if u.moved {
		interval = trialEvidenceInterval
	}
	due = sinceSent >= instances*interval || bad != u.sentBad || u.moved != u.sentMoved || u.bad
	var pins []sessionPin
	if due || u.hasUnsentPins && u.recordKnown && sinceSent >= instances*minPinInterval {
		pins = c.pinsToSend(u)
	}
	if !due && len(pins) == 0 {
		return evidenceMessage{}, false
	}
	u.evidenceSentAt, u.sentBad, u.sentMoved = time.Now(), bad, u.moved
	message = c.evidence.message(u.upgrade, epoch, u.bad)
	message.Moved = u.moved
	message.Pins = pins
	message.Baseline = c.baselines.share(service, c.sharedPart())
	return message, true
}

// sharedPart returns how many latencies of a kind this instance sends at once: all instances
// together about as many as a baseline holds. The caller holds the lock.
func (c *Controller) sharedPart() int {
	instances := len(c.Bus.Peers()) + 1
	return (baselineSamples + c.rng.IntN(instances)) / instances
}

// loadRecord applies the stored record, so that an outcome written by another
// instance takes effect here even if no peer is reachable.
func (c *Controller) loadRecord(service string) {
	r, found, loaded := c.Records.Load(service)
	now, ok := c.Records.Now()
	if !loaded || !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upgrades[service]
	switch {
	case u == nil:
	case found && r.Revision.Before(u.record.Revision):
		// The last known record is newer than the last read.
	case found && r.belongsTo(u.upgrade):
		c.applyRecord(u, r)
	case found && u.upgrade.Revision.Before(r.UpgradeRevision):
		// The record of a later upgrade, whose request has not arrived here yet.
	case u.recordKnown:
		// The store has no record of this upgrade, not yet or no longer. Save requires
		// the revision of the row that it replaces.
		u.record.Revision = r.Revision
		u.noteLost(u.stored)
	default:
		// No instance has recorded the upgrade yet.
		u.recordKnown = true
		u.record = Record{
			Service: service, To: u.upgrade.To, UpgradeRevision: u.upgrade.Revision, Started: now,
			State: statechart.UpgradeObserving, CanaryShare: c.canaryShare(u.upgrade), Revision: r.Revision,
		}
		if u.isReturn {
			u.record.CanaryShare = returnShare
		}
	}
}

// noteLost records whether the store lacks the record as it is known here.
func (u *upgradeState) noteLost(lost bool) {
	switch {
	case !lost:
		u.lostSince = time.Time{}
	case u.lostSince.IsZero():
		u.lostSince = time.Now()
	}
}

// applyRecord applies a stored record. A restored store may have an earlier one than is
// known here; a final state is never left. The caller holds the lock.
func (c *Controller) applyRecord(u *upgradeState, r Record) {
	isReset := u.machine.Final() && r.State == statechart.UpgradeObserving
	u.noteLost(isReset || r.UpgradeRevision.Before(u.upgrade.Revision))
	u.record, u.recordKnown, u.stored = r, true, true
	if r.CanaryShare == returnShare && !u.isReturn {
		// This instance has started since and does not know the settled release.
		u.isReturn, u.moved = true, true
		c.settled[r.Service] = r.To
	}
	if u.machine.Final() {
		return
	}
	switch r.State {
	case statechart.UpgradeReverted:
		c.fire(u, statechart.UpgradeReleaseBad)
	case statechart.UpgradeCompleted:
		c.fire(u, statechart.UpgradeHalfPassed)
		c.fire(u, statechart.UpgradeMoved)
		c.settled[r.Service] = r.To
	}
}

// fire applies an event to an upgrade's state machine and logs a change of state.
// The caller holds the lock.
func (c *Controller) fire(u *upgradeState, e statechart.Event) {
	before := u.machine.State()
	after, err := u.machine.Fire(e)
	if err != nil {
		c.Log.Log(events.ProcessStepRefused, events.Fields{Path: u.upgrade.Service, Err: err})
		return
	}
	if after != before {
		c.Log.Log(events.UpgradeStateChanged, events.Fields{
			Path: u.upgrade.Service, Version: u.upgrade.To, Era: u.upgrade.Revision.Era, Revision: u.upgrade.Revision.Revision,
			Outcome: string(after), Reason: string(e),
		})
	}
}

// judge judges the new release by the evidence, and starts the second half of the upgrade
// when it is due.
func (c *Controller) judge(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upgrades[service]
	if u == nil || !u.recordKnown || u.machine.Final() {
		return
	}
	counts, progress := c.evidence.byService[service].totals(), c.progress(u)
	if u.isReturn {
		if u.machine.State() == statechart.UpgradeObserving && progress >= moveStart {
			c.fire(u, statechart.UpgradeHalfPassed)
		}
		return
	}
	u.verdict.update(counts, u.machine.State() == statechart.UpgradeMoving, u.hasPacked)
	if u.verdict.reason != "" && !u.bad {
		c.markBad(u, u.verdict.reason)
	}
	if reason, isBad := counts.worst(decisiveExcess); isBad && !u.moved && !u.bad {
		c.markBad(u, reason+" in all")
	}
	if !u.bad {
		c.allowMove(u, counts, progress)
		c.concludeTrial(u, counts, progress)
	}
	if !u.bad && u.machine.State() == statechart.UpgradeObserving && progress >= moveStart {
		c.fire(u, statechart.UpgradeHalfPassed)
	}
	c.logShare(u)
}

// logShare logs a change of the share of requests that may run on the new release, with
// the answers on which it depends. The caller holds the lock.
func (c *Controller) logShare(u *upgradeState) {
	share := 0.0
	if !u.bad && u.stored && c.isCanaryDue(u) {
		share = u.share()
	}
	if share == u.loggedShare {
		return
	}
	u.loggedShare = share
	counts := c.evidence.byService[u.upgrade.Service].totals()
	answers := counts[evidenceKey{Variant: variantNew}]
	c.Log.Log(events.UpgradeShareChanged, events.Fields{
		Path: u.upgrade.Service, Version: u.upgrade.To, Share: share, Count: int(answers.Answers), Bad: int(answers.bad()),
		Reason: counts.summary(),
	})
}

// markBad takes the new release out of use at this instance. The caller holds the
// lock.
func (c *Controller) markBad(u *upgradeState, reason string) {
	u.bad, u.badSince = true, time.Now()
	answers := c.evidence.byService[u.upgrade.Service].newAnswers()
	c.Log.Log(events.UpgradeReleaseBad, events.Fields{
		Path: u.upgrade.Service, Version: u.upgrade.To, Era: u.upgrade.Revision.Era, Revision: u.upgrade.Revision.Revision,
		Reason: reason, Count: int(answers.Answers), Bad: int(answers.bad()),
	})
}

// saveRecord writes the record if it is due: that the upgrade is in progress, or
// its outcome.
func (c *Controller) saveRecord(ctx context.Context, service string) {
	r, due := c.dueRecord(service)
	if !due || !c.beginSave(service) {
		return
	}
	err := c.Records.Save(ctx, r)
	if err != nil && !errors.Is(err, ErrConflict) {
		c.Log.Log(events.UpgradeRecordFailed, events.Fields{Path: service, Reason: string(r.State), Err: err})
	}
}

// beginSave reports whether a write may be attempted now, and records the attempt.
func (c *Controller) beginSave(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upgrades[service]
	pause := saveRetryInterval + time.Duration(len(c.Bus.Peers()))*saveRetryPerPeer
	if u == nil || time.Since(u.savedAt) < pause {
		return false
	}
	u.savedAt = time.Now()
	return true
}

// dueRecord returns the record that this instance should write now, also again if a
// restored store lost it; false if none.
func (c *Controller) dueRecord(service string) (Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upgrades[service]
	now, ok := c.Records.Now()
	if u == nil || !u.recordKnown || !ok {
		return Record{}, false
	}
	r := u.record
	r.UpgradeRevision = u.upgrade.Revision
	since := now - r.Started
	switch {
	case u.machine.Final():
		r.State = u.machine.State()
		return r, u.hasLost(peers.WriteDelay(c.Bus, service))
	case u.bad:
		r.State = statechart.UpgradeReverted
		return r, time.Since(u.badSince) >= peers.WriteDelay(c.Bus, service)
	case c.mayComplete(u):
		r.State = statechart.UpgradeCompleted
		due := time.Duration(trialDue * float64(u.upgrade.Duration))
		return r, since-due >= peers.WriteDelay(c.Bus, service)
	case !u.stored:
		return r, since >= peers.WriteDelay(c.Bus, service)+u.extraDelay
	}
	return r, u.hasLost(peers.WriteDelay(c.Bus, service) + restoredRecordDelay)
}

// hasLost reports whether the store has lacked the record for a time.
func (u *upgradeState) hasLost(d time.Duration) bool {
	return !u.lostSince.IsZero() && time.Since(u.lostSince) >= d
}

// mayComplete reports whether the upgrade may be completed: all requests run on the new
// release for long enough, it has servers, it has minAnswers answers or minAnswersUntil has passed,
// and its answers under load are sound. The old servers end once it is completed, so a release in
// doubt stays on trial beyond the duration.
func (c *Controller) mayComplete(u *upgradeState) bool {
	progress := c.progress(u)
	if u.machine.State() != statechart.UpgradeMoving || progress < trialDue || !u.moved || progress < u.movedAt+minMoved {
		return false
	}
	if u.isReturn {
		return c.serves(u.upgrade.Service, u.upgrade.To)
	}
	if !c.serves(u.upgrade.Service, u.upgrade.To) || !c.hasPassedTrial(u, progress) {
		return false
	}
	return c.evidence.byService[u.upgrade.Service].newAnswers().Answers >= minAnswers || progress >= minAnswersUntil
}
