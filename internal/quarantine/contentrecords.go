package quarantine

import (
	"context"
	"time"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/refusal"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// recordInterval is the interval at which records that could not be written are tried again, and expired ones are
	// removed.
	recordInterval = 500 * time.Millisecond
	// liftBackup is how long after an answer the instances that did not see it remove the record, in case the one that
	// did has not.
	liftBackup = 2 * time.Second
	// maxFollowed bounds the stored refusals that are applied. Instances that find many at the same time store more than
	// maxRefused together.
	maxFollowed = 4 * maxRefused
)

// newContentLedger returns the ledger of the refused contents.
func newContentLedger(o DisconnectOptions) *refusal.Ledger {
	return &refusal.Ledger{
		Terms: refusal.Terms{FirstTrial: firstTrial, TrialGrowth: trialGrowth, MaxTrials: maxTrials, Lifetime: refusalLifetime},
		Store: o.Records, Bus: o.Bus,
		Failed: func(key string, err error) {
			o.Log.Log(events.ContentRecordFailed, events.Fields{Reason: key, Err: err})
		},
	}
}

// refuse begins the refusal of a content. If as many are stored as may be, and all began lately or are still asked for,
// this one is not stored. The caller holds the lock.
func (d *DisconnectTracker) refuse(fp Fingerprint, state *contentState, isFinder bool) {
	state.askedAt = time.Now()
	d.lifted.Remove(fp)
	crashes := refusal.Crashes{First: state.first, Last: state.last, IsFinder: isFinder}
	state.standing = d.ledger.Open(fp.String(), crashes)
	if len(d.refused) >= maxRefused && !d.evict() {
		d.keepLocal(fp, state)
		return
	}
	d.moveToRefused(fp, state)
	d.signal()
}

// keepLocal refuses a content without storing that. The caller holds the lock.
func (d *DisconnectTracker) keepLocal(fp Fingerprint, state *contentState) {
	state.standing.KeepLocal()
	delete(d.refused, fp)
	d.contents.Add(fp, state)
	d.log.Log(events.ContentNotStored, events.Fields{Reason: fp.String(), Count: maxRefused})
}

// moveToRefused keeps a content out of the bounded set of contents that are not refused. The caller holds the lock.
func (d *DisconnectTracker) moveToRefused(fp Fingerprint, state *contentState) {
	d.refused[fp] = state
	d.contents.Remove(fp)
}

// evict lifts the refusal that no request has asked for the longest, unless that is shorter than evictAfter ago. The caller
// holds the lock.
func (d *DisconnectTracker) evict() bool {
	var oldest *contentState
	var content Fingerprint
	for fp, state := range d.refused {
		if oldest == nil || state.askedAt.Before(oldest.askedAt) {
			oldest, content = state, fp
		}
	}
	if oldest == nil || time.Since(oldest.askedAt) < evictAfter {
		return false
	}
	d.lift(content, oldest, peers.WriteDelay(d.bus, content.String()))
	return true
}

// wasLiftedSince reports whether a content was answered, or its record removed, at a time or later. The caller holds the
// lock.
func (d *DisconnectTracker) wasLiftedSince(fp Fingerprint, at time.Time) bool {
	liftedAt, ok := d.lifted.Peek(fp)
	return ok && time.Since(liftedAt) < liftMemory && !at.After(liftedAt)
}

// lift stops tracking a content. The record of its refusal is removed after a delay. The caller holds the lock.
func (d *DisconnectTracker) lift(fp Fingerprint, state *contentState, delay time.Duration) {
	d.contents.Remove(fp)
	delete(d.refused, fp)
	delete(d.unreported, fp)
	d.lifted.Add(fp, time.Now())
	if state.standing != nil {
		d.log.Log(events.ContentAllowed, events.Fields{Reason: fp.String()})
		d.ledger.Remove(state.standing.Record, delay)
	}
}

// Admit returns how long a content is still refused; zero if a request with it may be sent now. With isTrial it may be
// sent to one server, as the only request of all instances: the trial is acquired when Admit returns.
func (d *DisconnectTracker) Admit(ctx context.Context, fp Fingerprint) (refusedFor time.Duration, isTrial bool) {
	change, refusedFor, isDue := d.dueTrial(fp)
	if !isDue {
		return refusedFor, false
	}
	ctx, cancel := context.WithTimeout(ctx, trialWait)
	defer cancel()
	err := d.ledger.Commit(ctx, change)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledger.Committed(change, err)
	if err != nil {
		return trialRetryAfter, false
	}
	d.log.Log(events.ContentTrial, events.Fields{Reason: fp.String(), Count: change.Trials()})
	return 0, true
}

// ReturnTrial gives back the trial of a content whose request reached no server.
func (d *DisconnectTracker) ReturnTrial(fp Fingerprint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if state := d.peek(fp); state != nil && state.standing != nil {
		d.ledger.ReturnTrial(state.standing)
		d.signal()
	}
}

// dueTrial returns the record that acquires a trial of a content if one is due, and otherwise how long the content is
// refused.
func (d *DisconnectTracker) dueTrial(fp Fingerprint) (change refusal.Change, refusedFor time.Duration, isDue bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.peek(fp)
	if state == nil || state.standing == nil || d.ledger.IsExpired(state.standing) {
		return change, 0, false
	}
	state.askedAt = time.Now()
	if until := d.ledger.UntilTrial(state.standing); until > 0 {
		return change, until, false
	}
	change, isDue = d.ledger.DueTrial(state.standing)
	return change, trialRetryAfter, isDue
}

// signal wakes keepRecords. The caller holds the lock.
func (d *DisconnectTracker) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// keepRecords writes the records of refused contents, one after another, until the context ends.
func (d *DisconnectTracker) keepRecords(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-ticker.C:
		}
		for {
			change, ok := d.nextSave()
			if !ok {
				break
			}
			err := d.ledger.Commit(ctx, change)
			d.mu.Lock()
			d.ledger.Committed(change, err)
			d.mu.Unlock()
			if wait.For(ctx, d.ledger.WriteInterval()) != nil {
				return
			}
		}
	}
}

// nextSave returns a record that is to be written, first one that was just found. It lifts refusals that have ended, and
// stores no more of them than maxRefused.
func (d *DisconnectTracker) nextSave() (change refusal.Change, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stored := 0
	for _, state := range d.refused {
		if state.standing.IsStored() {
			stored++
		}
	}
	var next *refusal.Standing
	for fp, state := range d.refused {
		switch {
		case d.ledger.IsExpired(state.standing):
			d.lift(fp, state, peers.WriteDelay(d.bus, fp.String()))
		case stored >= maxRefused && !state.standing.IsStored():
			d.keepLocal(fp, state)
		case d.ledger.IsSaveDue(state.standing) && (next == nil || state.standing.IsUrgent()):
			next = state.standing
		}
	}
	if next == nil {
		return change, false
	}
	return d.ledger.DueSave(next)
}

// ApplyRecords applies stored records. With complete, they are all that are stored.
func (d *DisconnectTracker) ApplyRecords(records []refusal.Record, complete bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := make(map[Fingerprint]bool, len(records))
	for _, r := range records {
		fp, err := ParseFingerprint(r.Key)
		if err != nil {
			d.log.Log(events.ContentRecordFailed, events.Fields{Reason: r.Key, Err: err})
			continue
		}
		present[fp] = true
		d.applyRecord(fp, r)
	}
	if !complete {
		return
	}
	for fp, state := range d.refused {
		if !present[fp] && state.standing.IsStored() {
			d.forget(fp, state)
		}
	}
}

// applyRecord applies the stored record of a content. The caller holds the lock.
func (d *DisconnectTracker) applyRecord(fp Fingerprint, r refusal.Record) {
	from := d.ledger.LocalTime(r.From)
	if d.wasLiftedSince(fp, from) {
		d.ledger.Remove(r, peers.WriteDelay(d.bus, r.Key))
		return
	}
	if d.refused[fp] == nil && len(d.refused) >= maxFollowed {
		d.log.Log(events.ContentNotStored, events.Fields{Reason: r.Key, Count: maxFollowed})
		return
	}
	state := d.getOrAdd(fp)
	if state.standing == nil {
		state.first, state.askedAt = from, time.Now()
		state.standing = d.ledger.Open(r.Key, refusal.Crashes{First: from, Last: time.Now()})
	}
	d.ledger.Follow(state.standing, r)
	d.moveToRefused(fp, state)
}

// RecordRemoved lifts the refusal whose record was removed, by another instance or by an operator.
func (d *DisconnectTracker) RecordRemoved(key string) {
	fp, err := ParseFingerprint(key)
	if err != nil {
		d.log.Log(events.ContentRecordFailed, events.Fields{Reason: key, Err: err})
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if state := d.refused[fp]; state != nil && state.standing.IsStored() {
		d.forget(fp, state)
	}
}

// RecordsLost makes the instances write the refusals again that are not among those that a restored store holds.
func (d *DisconnectTracker) RecordsLost(present []refusal.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	isPresent := make(map[string]bool, len(present))
	for _, r := range present {
		isPresent[r.Key] = true
	}
	for fp, state := range d.refused {
		if !isPresent[fp.String()] {
			d.ledger.Lost(state.standing)
		}
	}
}

// forget lifts a refusal whose record is gone. The caller holds the lock.
func (d *DisconnectTracker) forget(fp Fingerprint, state *contentState) {
	d.ledger.Lost(state.standing)
	d.lift(fp, state, 0)
}
