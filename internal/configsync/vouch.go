package configsync

import (
	"maps"
	"slices"
	"time"

	"github.com/basilrail/basilrail/internal/events"
)

// FreshFor is how long after the last proof that they were current an instance
// goes on serving by its settings.
const FreshFor = 6 * time.Second

// vouchRetryAfter is when a refused caller should come back.
const vouchRetryAfter = 2 * time.Second

// writeSettleDelay is how long after it was sent a write may still take effect.
const writeSettleDelay = 10 * time.Second

// Vouch tells whether this instance knows its settings to be current: within
// FreshFor it read the store, or heard, directly or through others, from an
// instance that did, or heard every witness. An instance that
// can't vouch must take no new work; retryAfter is when to come back.
func (s *Syncer) Vouch() (ok bool, reason string, retryAfter time.Duration) {
	reason = s.doubt()
	if reason == "" {
		return true, "", 0
	}
	return false, reason, vouchRetryAfter
}

// doubt says why the settings can't be vouched for; empty if they can.
func (s *Syncer) doubt() string {
	switch {
	case !s.loaded.Load():
		return "settings are not loaded yet"
	case s.unreadable.Load() > s.state.Load().revision:
		return "the newest settings can't be read by this program version"
	case s.age() > FreshFor:
		return "neither the table service nor enough peers confirm the settings"
	default:
		return ""
	}
}

// unknownAge is the age of settings that were never known to be current.
const unknownAge = time.Duration(1<<63 - 1)

// age is the time since the settings were last surely current.
func (s *Syncer) age() time.Duration {
	at := s.fresh.Load()
	if at == nil {
		return unknownAge
	}
	return time.Since(*at)
}

// noteFresh records that the state in force was current at an instant.
func (s *Syncer) noteFresh(at time.Time) {
	for {
		old := s.fresh.Load()
		if old != nil && !at.After(*old) {
			return
		}
		if s.fresh.CompareAndSwap(old, &at) {
			return
		}
	}
}

// noteHeard records that an instance stated, at an instant, that it knows no
// later revision than the one in force here and has no commit in doubt.
func (s *Syncer) noteHeard(id string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.heard[id]) {
		s.heard[id] = at
	}
}

// countHeard is the number of peers heard within FreshFor. The caller holds mu.
func (s *Syncer) countHeard() int {
	count := 0
	for _, at := range s.heard {
		if time.Since(at) <= FreshFor {
			count++
		}
	}
	return count
}

// concludeFromWitnesses derives freshness from having heard every witness: each
// knows of its own commits and of those announced to it, so the state was
// current at the oldest of their statements. A list without peers proves
// nothing, since it may just not be known yet.
func (s *Syncer) concludeFromWitnesses() {
	chosen := s.heardChoice()
	if len(chosen) <= 1 {
		return
	}
	if at, ok := s.oldestHeard(chosen); ok {
		s.noteFresh(at)
	}
}

// forgetUnlisted drops what was heard of instances that are no longer listed.
func (s *Syncer) forgetUnlisted(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.heard, func(id string, _ time.Time) bool { return !slices.Contains(ids, id) })
}

// oldestHeard is when the witness was heard that was heard longest ago; ok is
// false if one was never heard, or if a commit is in doubt here.
func (s *Syncer) oldestHeard(chosen []witness) (oldest time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inDoubt) > 0 || !s.loaded.Load() {
		return time.Time{}, false
	}
	oldest = time.Now()
	for _, w := range chosen {
		if w.id == s.opts.Bus.Self() {
			continue
		}
		at, heard := s.heard[w.id]
		if !heard {
			return time.Time{}, false
		}
		if at.Before(oldest) {
			oldest = at
		}
	}
	return oldest, true
}

// noteVouching logs when vouching ends or returns.
func (s *Syncer) noteVouching() {
	reason := s.doubt()
	s.mu.Lock()
	changed := s.vouched != (reason == "")
	s.vouched = reason == ""
	s.mu.Unlock()
	fields := events.Fields{Revision: s.state.Load().revision, Reason: reason}
	switch {
	case !changed:
	case reason == "":
		s.opts.Log.Log(events.SettingsVouched, fields)
	default:
		s.opts.Log.Log(events.SettingsNotVouched, fields)
	}
}
