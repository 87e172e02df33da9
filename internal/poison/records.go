package poison

import (
	"context"
	"slices"
	"time"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/refusal"
)

const (
	// firstTrial is how long after the verdict one request with its parts may pass, in case
	// it is wrong. Each further trial comes trialGrowth times as long after the one before,
	// and there are maxTrials: a verdict that holds costs a server each time.
	firstTrial  = 30 * time.Second
	trialGrowth = 6
	maxTrials   = 3
	// trialTime is how long an instance that acquired a trial may let a request pass.
	trialTime = 10 * time.Second
	// liftMemory is how long a lifted verdict is remembered, so that late messages don't
	// bring it back.
	liftMemory = time.Minute
)

// newLedger returns the ledger of the verdicts.
func newLedger(o Options) *refusal.Ledger {
	return &refusal.Ledger{
		Terms: refusal.Terms{FirstTrial: firstTrial, TrialGrowth: trialGrowth, MaxTrials: maxTrials, Lifetime: lifetime},
		Store: o.Records, Bus: o.Bus,
		Failed: func(key string, err error) {
			o.Log.Log(events.PromptPartRecordFailed, events.Fields{PromptParts: key, Err: err})
		},
	}
}

// untilTrial returns how long requests are still refused by a verdict. The caller holds the
// lock.
func (t *Tracker) untilTrial(v *verdict) time.Duration {
	if t.Records == nil {
		return firstTrial
	}
	// While another instance has a trial, this one waits for its result.
	return max(t.ledger.UntilTrial(v.standing), trialTime)
}

// ApplyRecords applies stored records. With complete, they are all that are stored.
func (t *Tracker) ApplyRecords(records []refusal.Record, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		parts, err := ParseParts(r.Key)
		if err != nil {
			t.Log.Log(events.PromptPartRecordFailed, events.Fields{PromptParts: r.Key, Err: err})
			continue
		}
		t.applyRecord(newPartSet(parts), r)
	}
	if !complete {
		return
	}
	for _, v := range slices.Clone(t.verdicts) {
		isStored := slices.ContainsFunc(records, func(r refusal.Record) bool { return r.Key == v.key() })
		if !isStored && v.standing.IsStored() {
			t.forget(v)
		}
	}
}

// applyRecord applies the stored record of a verdict on parts. The caller holds the lock.
func (t *Tracker) applyRecord(parts partSet, r refusal.Record) {
	from := t.ledger.LocalTime(r.From)
	if slices.ContainsFunc(parts, func(p Part) bool { return t.evidence.soundSince(p, from) }) {
		t.removeRecord(r)
		return
	}
	v := t.refuse(parts, from, 0, "")
	if !slices.Equal(v.parts, parts) {
		t.removeRecord(r)
		return
	}
	t.ledger.Follow(v.standing, r)
	if time.Since(from) < evidenceLifetime {
		t.evidence.addRecorded(parts, from)
	}
}

// RecordRemoved lifts the verdict whose record was removed, by another instance or by an
// operator.
func (t *Tracker) RecordRemoved(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range slices.Clone(t.verdicts) {
		if v.key() == key && v.standing.IsStored() {
			t.forget(v)
		}
	}
}

// RecordsLost makes the instances write the verdicts again whose records a restored store
// has lost.
func (t *Tracker) RecordsLost(present []refusal.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.verdicts {
		if !slices.ContainsFunc(present, func(r refusal.Record) bool { return r.Key == v.key() }) {
			t.ledger.Lost(v.standing)
		}
	}
}

// forget lifts a verdict whose record is gone, and the evidence for it. The caller holds the
// lock.
func (t *Tracker) forget(v *verdict) {
	t.ledger.Lost(v.standing)
	for _, c := range t.evidence.crashes {
		if c.isExplainedBy(v.parts) {
			c.isRefuted = true
		}
	}
	t.lift(v, time.Now())
}

// dueRecord is a record to be written for a verdict.
type dueRecord struct {
	verdict *verdict
	change  refusal.Change
}

// dueRecords returns the records that are to be written, and acquires no trial while a write is
// pending. The caller holds the lock.
func (t *Tracker) dueRecords(now time.Time) []dueRecord {
	if t.Records == nil {
		return nil
	}
	if _, ok := t.Records.Now(); !ok {
		return nil
	}
	var due []dueRecord
	for _, v := range slices.Clone(t.verdicts) {
		if t.ledger.IsExpired(v.standing) {
			t.lift(v, now)
			continue
		}
		change, ok := t.ledger.DueSave(v.standing)
		if !ok && v.isWanted {
			change, ok = t.ledger.DueTrial(v.standing)
		}
		if ok {
			due = append(due, dueRecord{verdict: v, change: change})
		}
	}
	return due
}

// saveRecords writes records without holding up the caller.
func (t *Tracker) saveRecords(ctx context.Context, due []dueRecord) {
	for _, d := range due {
		go t.saveRecord(ctx, d)
	}
}

// saveRecord writes a record.
func (t *Tracker) saveRecord(ctx context.Context, d dueRecord) {
	err := t.ledger.Commit(ctx, d.change)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Committed(d.change, err)
	if v := d.verdict; err == nil && d.change.IsTrial() {
		v.isWanted, v.trialUntil = false, time.Now().Add(trialTime)
		t.Log.Log(events.PromptPartTrial, events.Fields{PromptParts: v.key(), Count: d.change.Trials()})
	}
}

// removeRecord removes the record of a lifted verdict.
func (t *Tracker) removeRecord(r refusal.Record) {
	t.ledger.Remove(r, peers.WriteDelay(t.Bus, r.Key))
}
