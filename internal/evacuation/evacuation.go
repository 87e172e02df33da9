// Package evacuation keeps the failure domains that operators evacuate: their backend servers get no
// request until the evacuation ends.
//
// The set follows the rows that operators write to the store. It needs no message among the instances, and an
// instance that loses the store keeps what it read last.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/events"
)

// maxDomains bounds the evacuated failure domains that are kept: rows may come from another writer.
const maxDomains = 1024

// Target gets the evacuated failure domains after each change, and since when each is. It keeps the map.
type Target interface {
	SetEvacuated(domains map[string]time.Time)
}

// Change is a row of the operators.
type Change struct {
	Domain string
	// IsEnded is set if the row was deleted.
	IsEnded bool
}

// Set is the set of evacuated failure domains. It is safe for concurrent use.
type Set struct {
	target Target
	log    *events.Logger

	mu    sync.Mutex
	since map[string]time.Time
	// ending holds the timers of the evacuations whose rows are missing in a store that may have lost them.
	ending map[string]*pendingEnd
}

// pendingEnd is the end of an evacuation whose row is missing. A timer that was stopped may have fired already and wait for
// the lock, so its function checks that the end is still listed.
type pendingEnd struct {
	timer *time.Timer
}

// New returns an empty Set that applies its changes to a target.
func New(target Target, log *events.Logger) *Set {
	return &Set{target: target, log: log, since: make(map[string]time.Time), ending: make(map[string]*pendingEnd)}
}

// Apply applies changes in order. If complete is set they are all rows that the store has, so that any other evacuation has
// ended. While the store may have lost rows, for the time uncertainFor, an evacuation whose row is missing
// goes on and ends after that time unless the operators write it again.
func (s *Set) Apply(changes []Change, complete bool, uncertainFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := maps.Clone(s.since)
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.Domain] = !c.IsEnded
		if c.IsEnded {
			s.end(c.Domain, uncertainFor)
		} else {
			s.begin(c.Domain)
		}
	}
	if complete {
		for domain := range before {
			if !listed[domain] {
				s.end(domain, uncertainFor)
			}
		}
	}
	if !maps.Equal(before, s.since) {
		s.target.SetEvacuated(maps.Clone(s.since))
	}
}

// begin begins the evacuation of a failure domain. The caller holds the lock.
func (s *Set) begin(domain string) {
	s.keep(domain)
	if _, known := s.since[domain]; known {
		return
	}
	if len(s.since) >= maxDomains {
		s.log.Log(events.EvacuationIgnored, events.Fields{FailureDomain: domain, Reason: "too many failure domains are evacuated", Count: maxDomains})
		return
	}
	s.since[domain] = time.Now()
	s.log.Log(events.EvacuationBegan, events.Fields{FailureDomain: domain})
}

// keep cancels the pending end of an evacuation. The caller holds the lock.
func (s *Set) keep(domain string) {
	if pending := s.ending[domain]; pending != nil {
		pending.timer.Stop()
		delete(s.ending, domain)
	}
}

// end ends the evacuation of a failure domain, at once or after a time. The caller holds the lock.
func (s *Set) end(domain string, after time.Duration) {
	since, known := s.since[domain]
	if !known {
		return
	}
	if after <= 0 {
		s.keep(domain)
		delete(s.since, domain)
		s.log.Log(events.EvacuationEnded, events.Fields{FailureDomain: domain, Age: time.Since(since)})
		return
	}
	if s.ending[domain] == nil {
		s.log.Log(events.EvacuationUncertain, events.Fields{FailureDomain: domain, RetryAfter: after})
	}
	// The store may have been restored again since the row was first missing.
	s.keep(domain)
	pending := &pendingEnd{}
	pending.timer = time.AfterFunc(after, func() { s.endMissing(domain, pending) })
	s.ending[domain] = pending
}

// endMissing ends an evacuation whose row has stayed away.
func (s *Set) endMissing(domain string, pending *pendingEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending[domain] != pending {
		return
	}
	s.end(domain, 0)
	s.target.SetEvacuated(maps.Clone(s.since))
}

// Domains returns the evacuated failure domains in order.
func (s *Set) Domains() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.since))
}
