// Package refusal keeps the refusals of what crashes backend servers through restarts of all instances, and schedules
// their trials: a refusal may be wrong, so at some times one request of the whole fleet may pass.
package refusal

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/storefeed"
)

// ErrConflict means that a record was changed by another instance.
var ErrConflict = errors.New("the record was changed by another instance")

// Record is a stored refusal. Times are of the store's clock.
type Record struct {
	// Key names what is refused.
	Key string
	// From is the time of the first crash. An instance that knows of a later answer rejects the record.
	From time.Duration
	// Trials is the number of trials that instances have acquired, and Returned the number of those whose requests reached
	// no server. Both only grow, so that records can be merged.
	Trials, Returned int
	// NextTrial is when the next one may be acquired, and Expires when the refusal ends; zero while that is unknown.
	NextTrial, Expires time.Duration
	// Position is the position of the stored row; zero if there is none.
	Position storefeed.Position
}

// Store keeps the records through restarts of all instances.
type Store interface {
	// Save writes a record if the stored one is at its Position. It returns ErrConflict if it is not.
	Save(ctx context.Context, r Record) error
	// Remove removes the record if it is at its Position.
	Remove(ctx context.Context, r Record) error
	// Now returns the time on the store's clock; ok is false while it is unknown.
	Now() (now time.Duration, ok bool)
}

// Terms are the trials of a kind of refusal, and its end.
type Terms struct {
	// FirstTrial is how long after the refusal began its first trial comes. Each further one comes TrialGrowth times
	// as long after the one before, and there are MaxTrials: a refusal that is right costs a server each time.
	FirstTrial  time.Duration
	TrialGrowth int
	MaxTrials   int
	// Lifetime is how long a refusal lasts after its beginning, or its last trial.
	Lifetime time.Duration
}

// untilNext returns the time between a trial, the number of which is given, and the next one.
func (t Terms) untilNext(trial int) time.Duration {
	delay := t.FirstTrial
	for range min(trial, t.MaxTrials) {
		delay *= time.Duration(t.TrialGrowth)
	}
	return delay
}

// used returns the number of trials that may have reached a server.
func (r Record) used() int { return r.Trials - r.Returned }

// isAhead reports whether a record knows of trials that another one doesn't.
func (r Record) isAhead(other Record) bool {
	return r.Trials > other.Trials || r.Returned > other.Returned
}

// merge returns a record with what both know. The times are those of the one with more trials.
func (r Record) merge(other Record) Record {
	merged := r
	if cmp.Or(cmp.Compare(other.Trials, r.Trials), cmp.Compare(other.Returned, r.Returned)) >= 0 {
		merged = other
	}
	merged.Trials, merged.Returned = max(r.Trials, other.Trials), max(r.Returned, other.Returned)
	return merged
}

// withTrial returns the record with one trial more, which is acquired at a time of the store's clock.
func (t Terms) withTrial(r Record, clock time.Duration) Record {
	r.Trials++
	r.NextTrial, r.Expires = clock+t.untilNext(r.used()), clock+t.Lifetime
	return r
}
