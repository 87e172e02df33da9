package refusal

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/storefeed"
)

const (
	// minSaveDelay is how long a refusal must last before an instance that learned of it from another one writes it.
	minSaveDelay = 500 * time.Millisecond
	// saveRetry is the time after which a record that could not be written is tried again.
	saveRetry = 2 * time.Second
	// trialTolerance is the error with which instances know the time of a crash.
	trialTolerance = 2 * time.Second
	// returnedTrialDelay is the time after which a trial that reached no server may be acquired again.
	returnedTrialDelay = 5 * time.Second
	// storedTimeError is the error of a stored time, which is written in milliseconds.
	storedTimeError = 10 * time.Microsecond
	// urgentWriters is the number of instances that may write at once what they found.
	urgentWriters = 8
	// fleetWritesPerSecond and minWriteInterval bound the writes of the fleet and of one instance.
	fleetWritesPerSecond = 200
	minWriteInterval     = 50 * time.Millisecond
	// maxClockFactor bounds the times of a record, in multiples of its Terms: a restored store may have another clock.
	maxClockFactor = 2
)

// Ledger schedules and stores the refusals of one kind. The lock of its owner guards the Ledger and its Standings, except
// in Commit and Remove.
type Ledger struct {
	Terms
	// Store may be nil: then the refusals are known in memory only, and each instance makes the trials by itself.
	Store Store
	Bus   peers.Bus
	// Failed is called when a record can't be written.
	Failed func(key string, err error)
	// began is the zero of the clock without a store.
	began time.Time
}

// Crashes are what a refusal rests on.
type Crashes struct {
	// First and Last are the times of the first and the last crash.
	First, Last time.Time
	// IsFinder is set if this instance saw the last one.
	IsFinder bool
}

// Standing is a refusal in force.
type Standing struct {
	// Record is what is known of the refusal. It may be ahead of stored, the last record that the store is known to have.
	Record, stored Record
	crashes        Crashes
	// found is when this instance learned of the refusal, and saveAfter how long after that it writes the record,
	// unless another instance has.
	found     time.Time
	saveAfter time.Duration
	// isSaving is set while the record is written, and triedAt is when it was last tried.
	isSaving bool
	triedAt  time.Time
	// isLocal is set for a refusal that is not stored.
	isLocal bool
	// unused is the record of a trial that is to be given back; zero for none.
	unused Record
}

// Open begins a refusal. In a small fleet the instance that found it writes it at once, and the others only if that one
// doesn't. In a large one, where the loss of a failure domain makes many instances find refusals, few write at once.
func (l *Ledger) Open(key string, c Crashes) *Standing {
	s := &Standing{Record: Record{Key: key}, crashes: c, found: time.Now()}
	isUrgent := c.IsFinder && rand.Float64()*float64(l.fleetSize()) < urgentWriters
	if !isUrgent {
		s.saveAfter = minSaveDelay + peers.WriteDelay(l.Bus, key)
	}
	l.schedule(s)
	return s
}

// IsUrgent reports whether this instance writes the record at once.
func (s *Standing) IsUrgent() bool { return s.saveAfter == 0 }

// KeepLocal makes the refusal one that is not stored.
func (s *Standing) KeepLocal() { s.isLocal = true }

// IsStored reports whether the store is known to have a record of the refusal.
func (s *Standing) IsStored() bool { return !s.Record.Position.IsZero() }

// fleetSize is the number of instances that this one knows.
func (l *Ledger) fleetSize() int { return len(l.Bus.Peers()) + 1 }

// WriteInterval is the time between two writes of this instance, with which those of the fleet stay within its part of
// the store's rates.
func (l *Ledger) WriteInterval() time.Duration {
	return max(minWriteInterval, time.Duration(l.fleetSize())*time.Second/fleetWritesPerSecond)
}

// Now returns the time on the clock of the records.
func (l *Ledger) Now() (now time.Duration, ok bool) {
	if l.Store != nil {
		return l.Store.Now()
	}
	if l.began.IsZero() {
		l.began = time.Now()
	}
	return time.Since(l.began), true
}

// LocalTime converts a time of the store's clock, which may be in the future by an error of the clock.
func (l *Ledger) LocalTime(at time.Duration) time.Time {
	now, ok := l.Now()
	if !ok {
		return time.Now()
	}
	return time.Now().Add(min(at-now, 0))
}

// schedule sets the times of a record that has none yet, and bounds the others, if the store's clock is known.
func (l *Ledger) schedule(s *Standing) {
	now, ok := l.Now()
	if !ok {
		return
	}
	r := &s.Record
	untilNext := l.untilNext(r.used())
	if r.Expires == 0 {
		last := now - time.Since(s.crashes.Last)
		r.From, r.NextTrial, r.Expires = now-time.Since(s.crashes.First), last+untilNext, last+l.Lifetime
	}
	r.NextTrial = min(r.NextTrial, now+maxClockFactor*untilNext)
	r.Expires = min(r.Expires, now+maxClockFactor*l.Lifetime)
}

// UntilTrial returns how long the refusal lasts before a trial is due, or it ends; zero if one is due. While the store's
// clock is unknown it lasts FirstTrial.
func (l *Ledger) UntilTrial(s *Standing) time.Duration {
	l.schedule(s)
	now, ok := l.Now()
	if !ok || s.Record.Expires == 0 {
		return l.FirstTrial
	}
	until := s.Record.Expires
	if s.Record.used() < l.MaxTrials {
		until = min(until, s.Record.NextTrial)
	}
	return max(until-now, 0)
}

// IsExpired reports whether the refusal has ended.
func (l *Ledger) IsExpired(s *Standing) bool {
	l.schedule(s)
	now, ok := l.Now()
	return ok && s.Record.Expires != 0 && now >= s.Record.Expires
}

// IsTrialDue reports whether a trial may be acquired now.
func (l *Ledger) IsTrialDue(s *Standing) bool {
	return !l.IsExpired(s) && s.Record.used() < l.MaxTrials && l.UntilTrial(s) == 0
}

// Crashed records a further crash. If a trial was due then, it was one, acquired by an instance that stores no records.
func (l *Ledger) Crashed(s *Standing, at time.Time) {
	l.schedule(s)
	now, ok := l.Now()
	crashedAt := now - time.Since(at)
	if ok && s.Record.Expires != 0 && s.Record.used() < l.MaxTrials && crashedAt >= s.Record.NextTrial-trialTolerance {
		s.Record = l.withTrial(s.Record, crashedAt)
	}
}

// ReturnTrial gives the last trial back: its request reached no server. It may soon be acquired again.
func (l *Ledger) ReturnTrial(s *Standing) {
	if l.Store == nil || s.isLocal {
		s.Record = l.withReturn(s.Record)
		return
	}
	s.unused = s.Record
}

// withReturn returns the record with one trial given back.
func (l *Ledger) withReturn(r Record) Record {
	// Without a clock no trial was acquired.
	now, _ := l.Now()
	r.Returned, r.NextTrial = min(r.Returned+1, r.Trials), now+returnedTrialDelay
	return r
}

// Follow takes over a stored record. A restored store may bring back a record that knows of fewer trials; it is then
// written again.
func (l *Ledger) Follow(s *Standing, r Record) {
	s.isLocal = false
	if s.IsStored() && r.Position == s.Record.Position {
		return
	}
	r.Trials = max(r.Trials, 0)
	r.Returned = min(max(r.Returned, 0), r.Trials)
	s.stored, s.Record = r, s.Record.merge(r)
	s.Record.Position = r.Position
}

// Lost records that the store has no row of the refusal any more, and that nobody removed it.
func (l *Ledger) Lost(s *Standing) { s.Record.Position, s.stored = storefeed.Position{}, Record{} }

// Change is a write of a record. It is taken together with the decision to write it, so that it fails if another
// instance has changed the record since.
type Change struct {
	standing *Standing
	record   Record
	// isTrial is set if the change acquires a trial, isReturn if it gives one back.
	isTrial, isReturn bool
	isStored          bool
}

// IsSaveDue reports whether the record is to be written now.
func (l *Ledger) IsSaveDue(s *Standing) bool {
	if l.Store == nil || s.isLocal || s.isSaving || time.Since(s.triedAt) < saveRetry {
		return false
	}
	l.schedule(s)
	if !s.IsStored() {
		return s.Record.Expires != 0 && time.Since(s.found) >= s.saveAfter
	}
	return s.Record.isAhead(s.stored) || s.isTrialUnused()
}

// isTrialUnused reports whether the last trial is the one to be given back. One that another instance has acquired has
// another time.
func (s *Standing) isTrialUnused() bool {
	return s.unused.Trials > 0 && s.Record.Trials == s.unused.Trials &&
		(s.Record.NextTrial-s.unused.NextTrial).Abs() < storedTimeError
}

// DueSave returns the record if it is to be written now. Commit must follow.
func (l *Ledger) DueSave(s *Standing) (c Change, ok bool) {
	if !l.IsSaveDue(s) {
		return c, false
	}
	s.isSaving, s.triedAt = true, time.Now()
	c = Change{standing: s, record: s.Record, isStored: true}
	if s.IsStored() && s.isTrialUnused() {
		c.record, c.isReturn = l.withReturn(s.Record), true
	}
	return c, true
}

// DueTrial returns the record with one trial more if a trial may be acquired now. Commit must follow: the trial is
// acquired once it succeeds.
func (l *Ledger) DueTrial(s *Standing) (c Change, ok bool) {
	isStored := l.Store != nil && !s.isLocal
	if isStored && (s.isSaving || !s.IsStored() || time.Since(s.triedAt) < saveRetry) || !l.IsTrialDue(s) {
		return c, false
	}
	// IsTrialDue has read the clock.
	now, _ := l.Now()
	c = Change{standing: s, record: l.withTrial(s.Record, now), isTrial: true, isStored: isStored}
	if isStored {
		s.isSaving, s.triedAt = true, time.Now()
		return c, true
	}
	s.Record = c.record
	return c, true
}

// IsTrial reports whether the change acquires a trial.
func (c Change) IsTrial() bool { return c.isTrial }

// Trials returns the number of trials with the change.
func (c Change) Trials() int { return c.record.Trials }

// Commit writes a change, without the owner's lock; Committed must follow.
func (l *Ledger) Commit(ctx context.Context, c Change) error {
	if !c.isStored {
		return nil
	}
	return l.Store.Save(ctx, c.record)
}

// Committed records the result of Commit. The position of a written row is known once the feed of the table brings it.
func (l *Ledger) Committed(c Change, err error) {
	s := c.standing
	s.isSaving = false
	switch {
	case errors.Is(err, ErrConflict):
		// Another instance wrote it; the feed of the table brings its row.
	case err != nil:
		l.Failed(s.Record.Key, err)
		if c.isTrial {
			// The write may have taken effect, or do so later; its request is refused.
			s.unused = c.record
		}
	case c.isReturn:
		s.unused = Record{}
		s.takeOver(c.record)
	case c.isTrial:
		s.takeOver(c.record)
	}
}

// takeOver takes over a record that was written, but for its position.
func (s *Standing) takeOver(written Record) {
	position := s.Record.Position
	s.stored, s.Record = s.stored.merge(written), s.Record.merge(written)
	s.Record.Position = position
}

// Remove removes the record of a refusal that was lifted, after a delay. It may be called with or without the owner's
// lock.
func (l *Ledger) Remove(r Record, delay time.Duration) {
	if l.Store == nil || r.Position.IsZero() {
		return
	}
	time.AfterFunc(delay, func() {
		err := l.Store.Remove(context.Background(), r)
		if err != nil && !errors.Is(err, ErrConflict) {
			l.Failed(r.Key, err)
		}
	})
}
