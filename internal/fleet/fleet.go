// Package fleet holds the backend servers that registered themselves, whether they
// are draining, and the results of this instance's attempts at each.
//
// A server is identified by its id and its start time. A server that restarts under
// the same id starts with zero load and an empty health record.
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

// Registration is the description that a backend server publishes of itself.
type Registration struct {
	ID string
	// Started is the Unix time of the server's start in milliseconds; zero if the
	// server does not report it.
	Started       int64
	Service       string
	Address       string
	FailureDomain string
	// Release is the version of the server's software.
	Release string
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Draining is true while the server takes no new work.
	Draining bool
	// ColdRemaining is how much longer the server is cold: it bears few requests a second.
	ColdRemaining time.Duration
	// Models are the loaded models; empty for a plain service.
	Models []string
	// Era is the era of the store in which the registration was read. A store that was
	// restored from a copy may hold earlier registrations in a later era.
	Era uint64
}

// Process identifies a server process. A server that restarts under the same id is
// another process.
type Process struct {
	ID string
	// Started is as in Registration.
	Started int64
}

// IsSame reports whether two identities may be those of one process: the start of either may be
// unknown.
func (p Process) IsSame(o Process) bool {
	return p.ID == o.ID && (p.Started == o.Started || p.Started == 0 || o.Started == 0)
}

// Process returns the server process that the registration describes.
func (r *Registration) Process() Process { return Process{ID: r.ID, Started: r.Started} }

// Server is a backend server with one id and start time.
type Server struct {
	*datastore.Server
	// Registration is the server's latest registration.
	Registration Registration
	health       *health
	history      *history
}

// byRelease lists servers by the release that they run; the empty key lists all
// servers.
type byRelease map[string][]*datastore.Server

func (b byRelease) add(s *Server) {
	b[""] = append(b[""], s.Server)
	if release := s.Registration.Release; release != "" {
		b[release] = append(b[release], s.Server)
	}
}

// serviceIndex lists the servers of one service, ordered by hash.
type serviceIndex struct {
	all        []*Server
	candidates byRelease
	// sameDomain are the candidates in the instance's failure domain.
	sameDomain byRelease
}

// Snapshot is the set of servers known at one time. It is immutable except for the
// counters and the status of its servers.
type Snapshot struct {
	byID      map[string]*Server
	byService map[string]*serviceIndex
	// services are the keys of byService in order.
	services []string
	// evacuated holds the evacuated failure domains, and since when each is.
	evacuated map[string]time.Time
}

// Server returns the server with the given id; ok is false if there is none.
func (s *Snapshot) Server(id string) (*Server, bool) {
	server, ok := s.byID[id]
	return server, ok
}

// Servers returns the servers of a service, draining ones included.
func (s *Snapshot) Servers(service string) []*Server {
	if index := s.byService[service]; index != nil {
		return index.all
	}
	return nil
}

// Services returns the services that have servers, in order.
func (s *Snapshot) Services() []string { return s.services }

// Len returns the number of servers of all services.
func (s *Snapshot) Len() int { return len(s.byID) }

// Addresses returns the set of all servers' addresses.
func (s *Snapshot) Addresses() map[string]bool {
	used := make(map[string]bool, len(s.byID))
	for _, server := range s.byID {
		used[server.Registration.Address] = true
	}
	return used
}

// Candidates returns the servers of a service that run a release; an empty release
// means any. Draining servers are included; the scheduling filters drop them.
func (s *Snapshot) Candidates(service, release string) []*datastore.Server {
	if index := s.byService[service]; index != nil {
		return index.candidates[release]
	}
	return nil
}

// Each calls f for every server.
func (s *Snapshot) Each(f func(*Server)) {
	for _, server := range s.byID {
		f(server)
	}
}

// SameDomain returns the Candidates in this instance's failure domain.
func (s *Snapshot) SameDomain(service, release string) []*datastore.Server {
	if index := s.byService[service]; index != nil {
		return index.sameDomain[release]
	}
	return nil
}

// prefillAtFull is the outstanding prefill time at which a server counts as fully
// utilized: most callers expect a first token within a second.
const prefillAtFull = 800 * time.Millisecond

// Utilization returns the utilization of the servers in this instance's failure
// domain, or of all servers if it has none: the fraction of slots in use, or the mean
// outstanding prefill relative to prefillAtFull if that is larger. Above 1, requests
// wait.
func (s *Snapshot) Utilization(service, release string) float64 {
	servers := s.usable(service, release)
	var requests, slots int64
	var prefill time.Duration
	for _, server := range servers {
		load := server.TotalLoad()
		requests += load.Requests
		prefill += load.Prefill
		slots += int64(server.Settings.Capacity)
	}
	if slots == 0 {
		return 0
	}
	mean := prefill / time.Duration(len(servers))
	return max(float64(requests)/float64(slots), float64(mean)/float64(prefillAtFull))
}

// Releases returns the releases of a service that have servers taking new work.
func (s *Snapshot) Releases(service string) []string {
	var list []string
	for _, server := range s.Servers(service) {
		if !server.Registration.Draining && !slices.Contains(list, server.Registration.Release) {
			list = append(list, server.Registration.Release)
		}
	}
	return list
}

// Set is the current set of registered servers. It is safe for concurrent use.
type Set struct {
	log    *events.Logger
	domain string

	mu sync.Mutex
	// era is the latest era of the registrations.
	era     uint64
	servers map[string]*Server
	// missing holds the delayed removals of servers whose registration disappeared
	// although they may still run.
	missing map[string]*delayedChange
	// held holds the delayed registrations that may be those of departed servers.
	held       map[string]*delayedChange
	departures *departures
	// evacuated holds the evacuated failure domains, and since when each is.
	evacuated map[string]time.Time
	// isListed is set once the servers were listed that this instance found at its start.
	isListed bool
	current  atomic.Pointer[Snapshot]
}

// NewSet returns an empty set for an instance in the given failure domain.
func NewSet(domain string, log *events.Logger) *Set {
	s := &Set{
		log: log, domain: domain, servers: make(map[string]*Server),
		missing: make(map[string]*delayedChange), held: make(map[string]*delayedChange), departures: newDepartures(),
	}
	s.publish()
	return s
}

// Snapshot returns the current servers.
func (s *Set) Snapshot() *Snapshot { return s.current.Load() }

// Put adds or updates registrations.
func (s *Set) Put(list ...Registration) { s.PutUncertain(0, list...) }

// PutUncertain adds or updates registrations, some of which may be outdated for the
// given time because the store was restored: a server that departed in an earlier era
// returns only if its registration is still there after departedHold.
func (s *Set) PutUncertain(uncertainFor time.Duration, list ...Registration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, r := range list {
		s.era = max(s.era, r.Era)
		cancel(s.held, r.ID)
		if uncertainFor > 0 && s.servers[r.ID] == nil && s.departures.hasDeparted(r) {
			s.hold(r)
			continue
		}
		changed = s.put(r) || changed
	}
	s.isListed = true
	if changed {
		s.publish()
	}
}

// put adds or updates one registration and reports whether anything changed. The
// caller holds the lock.
func (s *Set) put(r Registration) bool {
	cancel(s.missing, r.ID)
	old := s.servers[r.ID]
	r.Draining = s.departures.isDraining(r)
	now := time.Now()
	if old != nil && old.same(r) {
		old.history.read(&r, now)
		return false
	}
	_, isEvacuated := s.evacuated[r.FailureDomain]
	server := newServer(old, r, isEvacuated)
	s.servers[r.ID] = server
	if server.history == nil {
		server.history = newHistory()
		// The registration may be older than the cold time that it names.
		if s.isListed || r.ColdRemaining > 0 {
			server.history.update(func(t *History) { t.RegisteredAt = now })
		}
		server.health.history = server.history
	}
	server.history.read(&r, now)
	if r.ColdRemaining > 0 && (old == nil || old.Registration.ColdRemaining == 0) {
		s.log.Log(events.ServerCold, events.Fields{Server: r.ID, Path: r.Service, FailureDomain: r.FailureDomain, Duration: r.ColdRemaining})
	}
	s.logChange(old, r)
	return true
}

func (s *Set) logChange(old *Server, r Registration) {
	switch {
	case old == nil:
		s.log.Log(events.ServerRegistered, events.Fields{Server: r.ID, Version: r.Release, Path: r.Service, Address: r.Address})
	case r.Draining && !old.Registration.Draining:
		s.log.Log(events.ServerDraining, events.Fields{Server: r.ID, Version: r.Release, Path: r.Service})
	case r.Started != old.Registration.Started:
		s.log.Log(events.ServerRestarted, events.Fields{Server: r.ID, Version: r.Release, Path: r.Service, Address: r.Address})
	}
}

func (s *Server) same(r Registration) bool {
	have := s.Registration
	return have.ID == r.ID && have.Started == r.Started && have.Service == r.Service && have.Address == r.Address &&
		have.FailureDomain == r.FailureDomain && have.Release == r.Release && have.Slots == r.Slots &&
		have.Draining == r.Draining && (have.ColdRemaining > 0) == (r.ColdRemaining > 0) && slices.Equal(have.Models, r.Models)
}

// newServer returns the server of a registration. Counters, health record and history are kept
// unless the server restarted or its address, service or slots changed.
func newServer(old *Server, r Registration, isEvacuated bool) *Server {
	unchanged := old != nil && old.Registration.Started == r.Started && old.Registration.Address == r.Address &&
		old.Registration.Service == r.Service && old.Registration.Slots == r.Slots
	server := &Server{Registration: r}
	if unchanged {
		server.Server, server.health, server.history = old.Server, old.health, old.history
	} else {
		server.health = &health{}
		server.Server = datastore.NewServer(r.ID, settings.Server{
			Address:       r.Address,
			FailureDomain: r.FailureDomain,
			Capacity:      max(1, r.Slots),
			Service:       r.Service,
		})
		if old != nil && old.Registration.Started == r.Started {
			server.Server.Pause(old.PausedUntil())
		}
	}
	status := *server.Status()
	status.Draining, status.Evacuated = r.Draining, isEvacuated
	server.SetStatus(status)
	return server
}

// hold puts a registration after departedHold, unless the server registers or
// deregisters before. The caller holds the lock.
func (s *Set) hold(r Registration) {
	s.log.Log(events.ServerHeld, events.Fields{Server: r.ID, Version: r.Release, Path: r.Service, Era: r.Era})
	change := &delayedChange{}
	change.timer = time.AfterFunc(departedHold, func() { s.putHeld(r, change) })
	s.held[r.ID] = change
}

// putHeld puts a held registration unless that was cancelled.
func (s *Set) putHeld(r Registration, change *delayedChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[r.ID] != change {
		return
	}
	delete(s.held, r.ID)
	if s.put(r) {
		s.publish()
	}
}

// delayedChange is a change of a server that takes place later unless it is cancelled
// before. A timer that was stopped may have fired already and wait for the lock, so its
// function checks that the change is still listed.
type delayedChange struct {
	timer *time.Timer
}

// cancel cancels the delayed change of a server, if there is one. The caller holds the
// lock.
func cancel(changes map[string]*delayedChange, id string) {
	if change := changes[id]; change != nil {
		change.timer.Stop()
		delete(changes, id)
	}
}

// MarkLeaving records that a server process announced that it is leaving, in an answer or
// to a peer, and reports whether that is new. The process gets no new work any more,
// whatever its registration says. It may be unknown here so far.
func (s *Set) MarkLeaving(id string, started int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	server := s.servers[id]
	isCurrent := server != nil && server.Registration.Started == started
	if !s.departures.markLeaving(Process{ID: id, Started: started}) {
		return false
	}
	if isCurrent && !server.Registration.Draining {
		s.put(server.Registration)
		s.publish()
	}
	return true
}

// Pause records that a server asked this instance to send it nothing for a time.
func (s *Set) Pause(server *Server, d time.Duration) {
	if server.Server.Pause(time.Now().Add(d)) {
		s.log.Log(events.ServerPaused, events.Fields{Server: server.ID, Path: server.Registration.Service, RetryAfter: d})
	}
}

// Remove removes a server that deregistered.
func (s *Set) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancel(s.held, id)
	if _, known := s.servers[id]; known {
		s.remove(id)
		s.publish()
	}
}

// remove removes one server. The caller holds the lock and publishes.
func (s *Set) remove(id string) {
	server := s.servers[id]
	delete(s.servers, id)
	s.departures.add(server.Registration, s.era)
	cancel(s.missing, id)
	// Requests that hold the server from an earlier snapshot must not start there.
	status := *server.Status()
	status.Draining = true
	server.SetStatus(status)
	s.log.Log(events.ServerDeregistered, events.Fields{Server: id, Version: server.Registration.Release, Path: server.Registration.Service})
}

// MarkMissing records that a server's registration disappeared, possibly only because of
// a fault of the store. The server is removed unless it registers again within the
// given time.
func (s *Set) MarkMissing(id string, within time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancel(s.held, id)
	if s.servers[id] == nil || s.missing[id] != nil {
		return
	}
	change := &delayedChange{}
	change.timer = time.AfterFunc(within, func() { s.removeMissing(id, change) })
	s.missing[id] = change
}

// removeMissing removes a missing server unless that was cancelled.
func (s *Set) removeMissing(id string, change *delayedChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missing[id] == change {
		s.remove(id)
		s.publish()
	}
}

// IDs returns the ids of all servers in order, also of missing servers and of those whose
// registration is held.
func (s *Set) IDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.AppendSeq(slices.Collect(maps.Keys(s.servers)), maps.Keys(s.held))
	slices.Sort(ids)
	return ids
}

// publish builds and stores a new snapshot. The caller holds the lock.
func (s *Set) publish() {
	snap := &Snapshot{byID: make(map[string]*Server, len(s.servers)), byService: make(map[string]*serviceIndex), evacuated: s.evacuated}
	servers := slices.SortedFunc(maps.Values(s.servers), func(a, b *Server) int { return datastore.CompareHashes(a.Server, b.Server) })
	for _, server := range servers {
		snap.byID[server.ID] = server
		index := snap.byService[server.Registration.Service]
		if index == nil {
			index = &serviceIndex{candidates: make(byRelease), sameDomain: make(byRelease)}
			snap.byService[server.Registration.Service] = index
		}
		index.all = append(index.all, server)
		index.candidates.add(server)
		if server.Registration.FailureDomain == s.domain {
			index.sameDomain.add(server)
		}
	}
	snap.services = slices.Sorted(maps.Keys(snap.byService))
	s.current.Store(snap)
}
