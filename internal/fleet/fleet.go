// Package fleet knows the backend servers that registered themselves: which
// there are, which are leaving, and how well each served this instance.
//
// A server's identity is its id together with the time of its start. One that
// starts again under its old id begins without load and without a record.
package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/settings"
)

// Registration is what a backend server says of itself.
type Registration struct {
	ID string
	// Started is the Unix time of the server's start in milliseconds, zero where
	// it does not tell.
	Started       int64
	Service       string
	Address       string
	FailureDomain string
	// Release is the version of the server's software.
	Release string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining servers take no new work.
	Draining bool
	// Models are the models that it has loaded; empty for a plain service.
	Models []string
}

// Server is a backend server under one identity.
type Server struct {
	*datastore.Server
	// Entry is what the server said last.
	Entry  Registration
	health *health
}

// byRelease lists servers by the release that they run, and all of them under the
// empty one.
type byRelease map[string][]*datastore.Server

func (b byRelease) add(s *Server) {
	b[""] = append(b[""], s.Server)
	if release := s.Entry.Release; release != "" {
		b[release] = append(b[release], s.Server)
	}
}

// serviceIndex lists the servers of one service, in the order of their hashes.
type serviceIndex struct {
	all        []*Server
	candidates byRelease
	// near are those of the own failure domain.
	near byRelease
}

// Snapshot is the servers known at one moment. It never changes, but for what
// its servers count.
type Snapshot struct {
	byID      map[string]*Server
	byService map[string]*serviceIndex
}

// Server returns a server by its id.
func (s *Snapshot) Server(id string) (*Server, bool) {
	server, ok := s.byID[id]
	return server, ok
}

// Servers lists the servers of a service.
func (s *Snapshot) Servers(service string) []*Server {
	if index := s.byService[service]; index != nil {
		return index.all
	}
	return nil
}

// Len is the number of servers of all services.
func (s *Snapshot) Len() int { return len(s.byID) }

// Addresses is the set of all servers' addresses.
func (s *Snapshot) Addresses() map[string]bool {
	used := make(map[string]bool, len(s.byID))
	for _, server := range s.byID {
		used[server.Entry.Address] = true
	}
	return used
}

// Candidates lists the servers of a service that run a release, or of any
// release where it is empty.
func (s *Snapshot) Candidates(service, release string) []*datastore.Server {
	if index := s.byService[service]; index != nil {
		return index.candidates[release]
	}
	return nil
}

// Each calls a function for every server.
func (s *Snapshot) Each(f func(*Server)) {
	for _, server := range s.byID {
		f(server)
	}
}

// Near lists those of Candidates that are in the own failure domain.
func (s *Snapshot) Near(service, release string) []*datastore.Server {
	if index := s.byService[service]; index != nil {
		return index.near[release]
	}
	return nil
}

// readingAtFull is the time that the prompts at a server take to read when it is as
// busy as with all places taken: most callers expect a first token within a second.
const readingAtFull = 800 * time.Millisecond

// Utilization is how busy the servers of the own failure domain are, or all where
// it has none: the share of places taken, or of what they may have to read if that
// is more. Above one requests wait.
func (s *Snapshot) Utilization(service, release string) float64 {
	servers := s.Near(service, release)
	if len(servers) == 0 {
		servers = s.Candidates(service, release)
	}
	var requests, places int64
	var reading time.Duration
	for _, server := range servers {
		load := server.TotalLoad()
		requests += load.Requests
		reading += load.Prefill
		places += int64(server.Settings.Capacity)
	}
	if places == 0 {
		return 0
	}
	mean := reading / time.Duration(len(servers))
	return max(float64(requests)/float64(places), float64(mean)/float64(readingAtFull))
}

// Releases lists the releases of which a service has servers that take work.
func (s *Snapshot) Releases(service string) []string {
	var list []string
	for _, server := range s.Servers(service) {
		if !server.Entry.Draining && !slices.Contains(list, server.Entry.Release) {
			list = append(list, server.Entry.Release)
		}
	}
	return list
}

// Set keeps the servers up to date. It is safe for concurrent use.
type Set struct {
	log    *events.Logger
	domain string

	mu      sync.Mutex
	servers map[string]*Server
	// missing are servers whose entry is gone while their absence proves nothing.
	missing map[string]*time.Timer
	current atomic.Pointer[Snapshot]
}

// NewSet makes an empty set for an instance in a failure domain.
func NewSet(domain string, log *events.Logger) *Set {
	s := &Set{log: log, domain: domain, servers: make(map[string]*Server), missing: make(map[string]*time.Timer)}
	s.publish()
	return s
}

// Snapshot returns the servers known now.
func (s *Set) Snapshot() *Snapshot { return s.current.Load() }

// Put takes in registrations.
func (s *Set) Put(list ...Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, r := range list {
		changed = s.put(r) || changed
	}
	if changed {
		s.publish()
	}
}

// put takes in one registration and reports whether anything changed. The
// caller holds the lock.
func (s *Set) put(r Registration) bool {
	if timer := s.missing[r.ID]; timer != nil {
		timer.Stop()
		delete(s.missing, r.ID)
	}
	old := s.servers[r.ID]
	if old != nil && old.same(r) {
		return false
	}
	s.servers[r.ID] = renewed(old, r)
	s.logChange(old, r)
	return true
}

func (s *Set) logChange(old *Server, r Registration) {
	switch {
	case old == nil:
		s.log.Log(events.ServerRegistered, events.Fields{Server: r.ID, Version: r.Release, Path: r.Service, Address: r.Address})
	case r.Draining && !old.Entry.Draining:
		s.log.Log(events.ServerDraining, events.Fields{Server: r.ID, Version: r.Release, Path: r.Service})
	case r.Started != old.Entry.Started:
		s.log.Log(events.ServerRestarted, events.Fields{Server: r.ID, Version: r.Release, Path: r.Service, Address: r.Address})
	}
}

func (s *Server) same(r Registration) bool {
	have := s.Entry
	return have.ID == r.ID && have.Started == r.Started && have.Service == r.Service && have.Address == r.Address &&
		have.FailureDomain == r.FailureDomain && have.Release == r.Release && have.Slots == r.Slots &&
		have.Draining == r.Draining && slices.Equal(have.Models, r.Models)
}

// renewed makes the server of a registration. One that neither restarted nor
// moved keeps its counters and its record.
func renewed(old *Server, r Registration) *Server {
	keeps := old != nil && old.Entry.Started == r.Started && old.Entry.Address == r.Address &&
		old.Entry.Service == r.Service && old.Entry.Slots == r.Slots
	server := &Server{Entry: r}
	if keeps {
		server.Server, server.health = old.Server, old.health
	} else {
		server.health = &health{}
		server.Server = datastore.NewServer(r.ID, settings.Server{
			Address:       r.Address,
			FailureDomain: r.FailureDomain,
			Capacity:      max(1, r.Slots),
			Service:       r.Service,
		})
	}
	status := *server.Status()
	status.Leaving = r.Draining
	server.SetStatus(status)
	return server
}

// Remove takes out a server that left.
func (s *Set) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.servers[id]; known {
		s.remove(id)
		s.publish()
	}
}

// remove takes out one server. The caller holds the lock and publishes.
func (s *Set) remove(id string) {
	server := s.servers[id]
	delete(s.servers, id)
	if timer := s.missing[id]; timer != nil {
		timer.Stop()
		delete(s.missing, id)
	}
	// Requests that hold the server from an earlier snapshot must not begin there.
	status := *server.Status()
	status.Leaving = true
	server.SetStatus(status)
	s.log.Log(events.ServerGone, events.Fields{Server: id, Version: server.Entry.Release, Path: server.Entry.Service})
}

// Missing notes that a server's entry is gone while that may be the store's
// doing. Unless it comes back within the time, the server counts as gone.
func (s *Set) Missing(id string, within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.servers[id] == nil || s.missing[id] != nil {
		return
	}
	s.missing[id] = time.AfterFunc(within, func() { s.Remove(id) })
}

// IDs lists the ids of all servers, also those that are missing.
func (s *Set) IDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, 0, len(s.servers))
	for id := range s.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// publish builds the snapshot. The caller holds the lock.
func (s *Set) publish() {
	snap := &Snapshot{byID: make(map[string]*Server, len(s.servers)), byService: make(map[string]*serviceIndex)}
	servers := slices.SortedFunc(maps.Values(s.servers), func(a, b *Server) int { return datastore.CompareHashes(a.Server, b.Server) })
	for _, server := range servers {
		snap.byID[server.ID] = server
		index := snap.byService[server.Entry.Service]
		if index == nil {
			index = &serviceIndex{candidates: make(byRelease), near: make(byRelease)}
			snap.byService[server.Entry.Service] = index
		}
		index.all = append(index.all, server)
		index.candidates.add(server)
		if server.Entry.FailureDomain == s.domain {
			index.near.add(server)
		}
	}
	s.current.Store(snap)
}
