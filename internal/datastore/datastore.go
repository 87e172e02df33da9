// Package datastore holds what an entry instance knows now: the settings in
// force and the state of each backend server. Decisions read an immutable
// Snapshot of it; only the in-flight counters behind it move.
package datastore

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// OwnTokens is this entry's part of the load when the report came in;
	// SetStatus fills it.
	OwnTokens int64
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
	// Hash is the hash of ID, for rendezvous hashing.
	Hash uint64

	requests atomic.Int64
	tokens   atomic.Int64
	// prefill is the time that prompts in flight still take until their first token.
	prefill atomic.Int64
	// others is what other instances have in flight there.
	others atomic.Pointer[Load]
	status atomic.Pointer[Status]
}

// Load is what instances have in flight at a server.
type Load struct {
	Requests int64
	// Prefill is the time that the prompts take until their first token.
	Prefill time.Duration
}

// Plus adds two loads.
func (l Load) Plus(o Load) Load {
	return Load{Requests: l.Requests + o.Requests, Prefill: l.Prefill + o.Prefill}
}

// AddPrefill counts a prompt that the server has still to read, or takes it back.
func (s *Server) AddPrefill(d time.Duration) { s.prefill.Add(int64(d)) }

// OwnLoad is what this instance has in flight.
func (s *Server) OwnLoad() Load {
	return Load{Requests: s.requests.Load(), Prefill: time.Duration(s.prefill.Load())}
}

// SetOthersLoad stores what other instances have in flight.
func (s *Server) SetOthersLoad(l Load) { s.others.Store(&l) }

// TotalLoad is what this and, as last heard, other instances have in flight.
func (s *Server) TotalLoad() Load {
	own := s.OwnLoad()
	if others := s.others.Load(); others != nil {
		return own.Plus(*others)
	}
	return own
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

	// watched are the servers this entry uses, in the order of their hashes.
	watched   []*Server
	byVersion map[settings.VersionRef][]*Server
	byService map[string][]*Server
}

// Watched returns the servers this entry asks for their state and sends work
// to: all of them, or the entry's subset. The slice must not be changed.
func (s *Snapshot) Watched() []*Server { return s.watched }

// ForVersion returns the watched servers that reported the version as loaded,
// in the order of their hashes. The slice must not be changed.
func (s *Snapshot) ForVersion(ref settings.VersionRef) []*Server { return s.byVersion[ref] }

// ForService returns the watched servers of a plain service, in the order of
// their hashes. The slice must not be changed.
func (s *Snapshot) ForService(name string) []*Server { return s.byService[name] }

// Store builds Snapshots. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	subset  subset
}

// Option changes how a Store is made.
type Option func(*Store)

// WithSubset makes the entry watch at most size servers of each model and of
// each plain service, chosen by the entry's id.
func WithSubset(entryID string, size int) Option {
	return func(d *Store) { d.subset = subset{seed: xxhash.Sum64String(entryID), size: size} }
}

// New makes a store with empty settings of revision zero.
func New(options ...Option) *Store {
	d := &Store{}
	for _, option := range options {
		option(d)
	}
	d.current.Store(d.build(settings.Compile(0, settings.Tree{}), nil))
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
	d.current.Store(d.build(s, current.Servers))
	return true
}

// SetStatus stores a server's status. Only the indexes of versions that the
// server newly reports, or no longer reports, are built anew.
func (d *Store) SetStatus(id string, status Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.current.Load()
	server, ok := current.Servers[id]
	if !ok {
		return
	}
	status.OwnTokens = server.tokens.Load()
	old := server.status.Swap(&status)
	if slices.Equal(old.Versions, status.Versions) || !current.isWatched(server) {
		return
	}
	d.current.Store(current.moved(server, old.Versions, status.Versions))
}

// build indexes the settings' servers, keeping the counters of those that stay.
func (d *Store) build(s *settings.Snapshot, old map[string]*Server) *Snapshot {
	servers := make(map[string]*Server, len(s.Tree.Servers))
	all := make([]*Server, 0, len(s.Tree.Servers))
	for id, cfg := range s.Tree.Servers {
		server := reuse(old[id], id, cfg)
		servers[id] = server
		all = append(all, server)
	}
	slices.SortFunc(all, CompareHashes)
	snap := &Snapshot{
		Settings:  s,
		Servers:   servers,
		watched:   d.subset.choose(all),
		byVersion: make(map[settings.VersionRef][]*Server),
		byService: make(map[string][]*Server),
	}
	for _, server := range snap.watched {
		snap.add(server)
	}
	return snap
}

// reuse keeps a server whose settings did not change, with its counters.
func reuse(old *Server, id string, cfg settings.Server) *Server {
	if old != nil && sameSettings(old.Settings, cfg) {
		return old
	}
	return NewServer(id, cfg)
}

// NewServer makes a server of which nothing but its settings is known.
func NewServer(id string, cfg settings.Server) *Server {
	server := &Server{ID: id, Settings: cfg, Hash: xxhash.Sum64String(id)}
	server.status.Store(&Status{})
	return server
}

// SetStatus stores what is known of a server that is in no Store.
func (s *Server) SetStatus(status Status) {
	status.OwnTokens = s.tokens.Load()
	s.status.Store(&status)
}

func sameSettings(a, b settings.Server) bool {
	return a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Capacity == b.Capacity && a.Service == b.Service &&
		a.Traits == b.Traits && slices.Equal(a.Models, b.Models)
}

func (s *Snapshot) add(server *Server) {
	if server.Settings.Service != "" {
		s.byService[server.Settings.Service] = append(s.byService[server.Settings.Service], server)
		return
	}
	for _, ref := range server.Status().Versions {
		list := s.byVersion[ref]
		// A report may name a version twice.
		if len(list) == 0 || list[len(list)-1] != server {
			s.byVersion[ref] = append(list, server)
		}
	}
}

// moved returns a copy in which the server has the new versions.
func (s *Snapshot) moved(server *Server, before, after []settings.VersionRef) *Snapshot {
	snap := *s
	snap.byVersion = maps.Clone(s.byVersion)
	for _, ref := range before {
		snap.byVersion[ref] = without(snap.byVersion[ref], server)
	}
	for _, ref := range after {
		snap.byVersion[ref] = with(snap.byVersion[ref], server)
	}
	return &snap
}

func (s *Snapshot) isWatched(server *Server) bool {
	_, found := position(s.watched, server)
	return found
}

// CompareHashes orders servers by their hashes, as decisions expect them.
func CompareHashes(a, b *Server) int {
	return cmp.Or(cmp.Compare(a.Hash, b.Hash), cmp.Compare(a.ID, b.ID))
}

// position finds a server in a list ordered by hash.
func position(list []*Server, server *Server) (int, bool) {
	return slices.BinarySearchFunc(list, server, CompareHashes)
}

// with returns a copy of the list that holds the server.
func with(list []*Server, server *Server) []*Server {
	at, found := position(list, server)
	if found {
		return list
	}
	return slices.Insert(slices.Clone(list), at, server)
}

// without returns a copy of the list that does not hold the server.
func without(list []*Server, server *Server) []*Server {
	at, found := position(list, server)
	if !found {
		return list
	}
	return slices.Delete(slices.Clone(list), at, at+1)
}
