package fleet

import (
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
)

// SetEvacuated sets the failure domains whose servers get no requests, and since when each is
// evacuated. It takes effect at once, also for requests that hold an earlier snapshot. The map must not change any more.
func (s *Set) SetEvacuated(domains map[string]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = domains
	for _, server := range s.servers {
		status := *server.Status()
		if _, isEvacuated := domains[server.Registration.FailureDomain]; isEvacuated != status.Evacuated {
			status.Evacuated = isEvacuated
			server.SetStatus(status)
			if !isEvacuated {
				now := time.Now()
				server.history.update(func(t *History) { t.ReturnedAt = now })
			}
		}
	}
	s.publish()
}

// IsEvacuated reports whether a failure domain is evacuated.
func (s *Snapshot) IsEvacuated(domain string) bool {
	_, isEvacuated := s.evacuated[domain]
	return isEvacuated
}

// EvacuatedDomains returns the number of failure domains that are evacuated.
func (s *Snapshot) EvacuatedDomains() int { return len(s.evacuated) }

// EvacuatedRequests returns the number of requests of this instance that still run in evacuated failure domains.
func (s *Snapshot) EvacuatedRequests() int64 {
	var n int64
	for _, server := range s.byID {
		if server.Status().Evacuated {
			n += server.OwnLoad().Requests
		}
	}
	return n
}

// IsOnlyEvacuated reports whether a service has servers that take new work, all of them in evacuated failure
// domains. An empty release means any.
func (s *Snapshot) IsOnlyEvacuated(service, release string) bool {
	if len(s.evacuated) == 0 {
		return false
	}
	isAny := false
	for _, server := range s.Candidates(service, release) {
		status := server.Status()
		switch {
		case status.Draining:
		case status.Evacuated:
			isAny = true
		default:
			return false
		}
	}
	return isAny
}

// usable returns the candidates in this instance's failure domain, or all of them if it has none, without those in evacuated
// failure domains.
func (s *Snapshot) usable(service, release string) []*datastore.Server {
	if servers := s.notEvacuated(s.SameDomain(service, release)); len(servers) > 0 {
		return servers
	}
	return s.notEvacuated(s.Candidates(service, release))
}

// notEvacuated returns the servers outside of evacuated failure domains.
func (s *Snapshot) notEvacuated(servers []*datastore.Server) []*datastore.Server {
	if len(s.evacuated) == 0 {
		return servers
	}
	var usable []*datastore.Server
	for _, server := range servers {
		if !server.Status().Evacuated {
			usable = append(usable, server)
		}
	}
	return usable
}
