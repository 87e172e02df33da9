package configsync

import (
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

// maxHeardInstances is the largest fleet in which instances tell one another of
// every instance they heard.
const maxHeardInstances = 32

// Vouch tells whether this instance knows its settings to be current: within
// FreshFor it read the store, or heard, directly or through others, from an
// instance that did, or heard from every listed instance. An instance that
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

// concludeFromAll derives freshness from having heard every listed instance:
// every commit goes through an instance, so the state was current at the oldest
// of those statements. A list without peers proves nothing, since it may just
// not be known yet.
func (s *Syncer) concludeFromAll() {
	listed := s.opts.Bus.Peers()
	if len(listed) == 0 {
		return
	}
	s.mu.Lock()
	oldest := time.Now()
	complete := len(s.inDoubt) == 0 && s.loaded.Load()
	ids := make(map[string]bool, len(listed))
	for _, peer := range listed {
		ids[peer.ID] = true
		at, ok := s.heard[peer.ID]
		complete = complete && ok
		if at.Before(oldest) {
			oldest = at
		}
	}
	for id := range s.heard {
		if !ids[id] {
			delete(s.heard, id)
		}
	}
	s.mu.Unlock()
	if complete {
		s.noteFresh(oldest)
	}
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
