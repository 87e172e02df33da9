package configsync

import (
	"maps"
	"slices"
	"time"

	"github.com/basilrail/basilrail/internal/events"
)

// MaxConfirmationAge is how long an instance continues to serve with its settings
// after they were last confirmed to be current.
const MaxConfirmationAge = 6 * time.Second

// unconfirmedRetryAfter is the time after which a refused caller should retry.
const unconfirmedRetryAfter = 2 * time.Second

// maxWriteDelay is the longest time from the sending of a write until it takes effect.
const maxWriteDelay = 10 * time.Second

// Confirmed reports whether the settings are confirmed to be current: within
// MaxConfirmationAge this instance read the store, learned directly or through others
// of an instance that did, or received a statement from every witness. While they are
// not confirmed, it must accept no new work; reason says why, and retryAfter is the
// time after which to retry.
func (s *Syncer) Confirmed() (ok bool, reason string, retryAfter time.Duration) {
	reason = s.unconfirmedReason()
	if reason == "" {
		return true, "", 0
	}
	return false, reason, unconfirmedRetryAfter
}

// unconfirmedReason returns why the settings are not confirmed to be current; it
// is empty if they are.
func (s *Syncer) unconfirmedReason() string {
	switch {
	case !s.loaded.Load():
		return "settings are not loaded yet"
	case s.unreadable.Load() > s.state.Load().revision:
		return "the newest settings can't be read by this program version"
	case s.age() > MaxConfirmationAge:
		return "neither the table service nor enough peers confirm the settings"
	default:
		return ""
	}
}

// unknownAge is the age of settings that were never confirmed to be current.
const unknownAge = time.Duration(1<<63 - 1)

// age returns the time since the settings were last confirmed to be current.
func (s *Syncer) age() time.Duration {
	at := s.confirmedAt.Load()
	if at == nil {
		return unknownAge
	}
	return time.Since(*at)
}

// noteConfirmed records that the state in effect was current at a time; an earlier
// time than the recorded one is ignored.
func (s *Syncer) noteConfirmed(at time.Time) {
	for {
		old := s.confirmedAt.Load()
		if old != nil && !at.After(*old) {
			return
		}
		if s.confirmedAt.CompareAndSwap(old, &at) {
			return
		}
	}
}

// noteStatement records that an instance stated at a time that it knows no later
// revision than the one in effect here and has no commit in doubt.
func (s *Syncer) noteStatement(id string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.statements[id]) {
		s.statements[id] = at
	}
}

// countRecentStatements returns the number of peers with a statement within
// MaxConfirmationAge. The caller holds mu.
func (s *Syncer) countRecentStatements() int {
	count := 0
	for _, at := range s.statements {
		if time.Since(at) <= MaxConfirmationAge {
			count++
		}
	}
	return count
}

// confirmFromWitnesses confirms the settings by the statements of all witnesses.
// Each witness knows of its own commits and of those announced to it, so the
// state was current at the time of the oldest statement. A list without peers
// confirms nothing, because the peers may not be known yet.
func (s *Syncer) confirmFromWitnesses() {
	chosen := s.currentWitnesses()
	if len(chosen) <= 1 {
		return
	}
	if at, ok := s.oldestStatement(chosen); ok {
		s.noteConfirmed(at)
	}
}

// removeUnlisted removes the statements of instances that are no longer listed.
func (s *Syncer) removeUnlisted(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.statements, func(id string, _ time.Time) bool { return !slices.Contains(ids, id) })
}

// oldestStatement returns the time of the oldest of the witnesses' latest
// statements; ok is false if a witness made none, if a commit is in doubt here, or
// if the settings are not loaded.
func (s *Syncer) oldestStatement(chosen []witness) (oldest time.Time, ok bool) {
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
		at, stated := s.statements[w.id]
		if !stated {
			return time.Time{}, false
		}
		if at.Before(oldest) {
			oldest = at
		}
	}
	return oldest, true
}

// logConfirmation logs when the settings become confirmed or unconfirmed.
func (s *Syncer) logConfirmation() {
	reason := s.unconfirmedReason()
	s.mu.Lock()
	changed := s.confirmed != (reason == "")
	s.confirmed = reason == ""
	s.mu.Unlock()
	fields := events.Fields{Revision: s.state.Load().revision, Reason: reason}
	switch {
	case !changed:
	case reason == "":
		s.opts.Log.Log(events.SettingsConfirmed, fields)
	default:
		s.opts.Log.Log(events.SettingsUnconfirmed, fields)
	}
}
