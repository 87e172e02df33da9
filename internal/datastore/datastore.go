// Package datastore holds what an entry instance knows now: the settings in
// force and the state of each backend server. Decisions read an immutable
// Snapshot of it; only the in-flight counters behind it move.
package datastore

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

// Status is what is known of a backend server besides its settings. A Status
// is never changed once stored.
type Status struct {
	// Instance is the id of the server's process, new after each of its starts.
	Instance string
	// Versions are the versions the server last reported as loaded.
	Versions []settings.VersionRef
	// QueuedTokens and RunningTokens are the load it last reported.
	QueuedTokens  int64
	RunningTokens int64
	// ReportedAt is when this entry received the report; zero for never.
	ReportedAt time.Time
	// Leaving servers get no new work.
	Leaving bool
	// Down servers failed a probe or an attempt and are not yet seen well again.
	Down bool
}

// Server is one backend server. The counters and the status are safe for
// concurrent use; the rest never changes.
type Server struct {
	ID       string
	Settings settings.Server

	requests atomic.Int64
	tokens   atomic.Int64
	status   atomic.Pointer[Status]
}

// Status returns the last known status, never nil.
func (s *Server) Status() *Status { return s.status.Load() }

// InFlight returns this entry's requests and estimated tokens on the server.
func (s *Server) InFlight() (requests, tokens int64) {
	return s.requests.Load(), s.tokens.Load()
}

// Begin counts a request of an estimated cost in tokens as in flight.
func (s *Server) Begin(tokens int64) {
	s.requests.Add(1)
	s.tokens.Add(tokens)
}

// End takes back what Begin counted.
func (s *Server) End(tokens int64) {
	s.requests.Add(-1)
	s.tokens.Add(-tokens)
}

// Snapshot is the settings in force and the servers of each version and service.
type Snapshot struct {
	Settings *settings.Snapshot
	Servers  map[string]*Server

	byVersion map[settings.VersionRef][]*Server
	byService map[string][]*Server
}

// ForVersion returns the servers that reported the version as loaded. The
// slice must not be changed.
func (s *Snapshot) ForVersion(ref settings.VersionRef) []*Server { return s.byVersion[ref] }

// ForService returns the servers of a plain service. The slice must not be changed.
func (s *Snapshot) ForService(name string) []*Server { return s.byService[name] }

// Store builds Snapshots. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
}

// New makes a store with empty settings of revision zero.
func New() *Store {
	d := &Store{}
	d.current.Store(build(settings.Compile(0, settings.Tree{}), nil))
	return d
}

// Snapshot returns the current snapshot.
func (d *Store) Snapshot() *Snapshot { return d.current.Load() }

// SetSettings puts a revision in force; an older or equal one is ignored.
func (d *Store) SetSettings(s *settings.Snapshot) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.current.Load()
	if s.Revision <= current.Settings.Revision {
		return false
	}
	d.current.Store(build(s, current.Servers))
	return true
}

// SetStatus stores a server's status. Indexes are built anew only when the
// loaded versions changed.
func (d *Store) SetStatus(id string, status Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.current.Load()
	server, ok := current.Servers[id]
	if !ok {
		return
	}
	old := server.status.Swap(&status)
	if !sameVersions(old.Versions, status.Versions) {
		d.current.Store(build(current.Settings, current.Servers))
	}
}

func sameVersions(a, b []settings.VersionRef) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// build indexes the settings' servers, keeping the counters of those that stay.
func build(s *settings.Snapshot, old map[string]*Server) *Snapshot {
	snap := &Snapshot{
		Settings:  s,
		Servers:   make(map[string]*Server, len(s.Tree.Servers)),
		byVersion: make(map[settings.VersionRef][]*Server),
		byService: make(map[string][]*Server),
	}
	for id, cfg := range s.Tree.Servers {
		snap.add(reuse(old[id], id, cfg))
	}
	return snap
}

// reuse keeps a server whose settings did not change, with its counters.
func reuse(old *Server, id string, cfg settings.Server) *Server {
	if old != nil && old.Settings.Address == cfg.Address && old.Settings.Capacity == cfg.Capacity &&
		old.Settings.Service == cfg.Service && old.Settings.Traits == cfg.Traits {
		return old
	}
	server := &Server{ID: id, Settings: cfg}
	server.status.Store(&Status{})
	return server
}

func (s *Snapshot) add(server *Server) {
	s.Servers[server.ID] = server
	if server.Settings.Service != "" {
		s.byService[server.Settings.Service] = append(s.byService[server.Settings.Service], server)
		return
	}
	for _, ref := range server.Status().Versions {
		s.byVersion[ref] = append(s.byVersion[ref], server)
	}
}
