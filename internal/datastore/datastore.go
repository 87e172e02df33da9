// Package datastore holds the current state of an instance: the settings in
// effect and the status of each backend server. Routing decisions read an
// immutable Snapshot. Only the load counters and the status of its servers
// change.
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

// Status is the last known state of a backend server. A Status is immutable once
// stored.
type Status struct {
	// Process is the id that the server's process reports. It changes at each restart.
	Process string
	// Versions are the versions in the server's last report of loaded versions.
	Versions []settings.VersionRef
	// QueuedTokens and RunningTokens are the load in the server's last report.
	QueuedTokens  int64
	RunningTokens int64
	// ReportedAt is when this instance received the last report, or zero if it
	// has received none.
	ReportedAt time.Time
	// OwnTokensAtReport is the number of tokens that this instance had in flight on the
	// server when the report was stored. SetStatus sets it.
	OwnTokensAtReport int64
	// Draining is set when the server is about to leave. It gets no new requests.
	Draining bool
	// Evacuated is set while operators evacuate the server's failure domain. It gets no requests.
	Evacuated bool
	// Down is set while the server gets no requests because probes or attempts failed,
	// here or at a peer.
	Down bool
}

// Server is a backend server. Its counters and status are safe for concurrent
// use. The other fields never change.
type Server struct {
	ID       string
	Settings settings.Server
	// Hash is the hash of ID used for rendezvous hashing.
	Hash uint64

	requests atomic.Int64
	tokens   atomic.Int64
	// prefill is the remaining prefill time of this instance's prompts in flight,
	// in nanoseconds.
	prefill atomic.Int64
	// othersLoad is the load that other instances have in flight on the server.
	othersLoad atomic.Pointer[Load]
	status     atomic.Pointer[Status]
	// pausedUntil is the end of the time in which the server wants no requests of this
	// instance; nil for none.
	pausedUntil atomic.Pointer[time.Time]
}

// Load is the load that instances have in flight on a server.
type Load struct {
	Requests int64
	// Prefill is the prefill time of the prompts, up to their first token.
	Prefill time.Duration
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, Prefill: l.Prefill + other.Prefill}
}

// AddPrefill adds the prefill time of a prompt. A negative d removes it.
func (s *Server) AddPrefill(d time.Duration) { s.prefill.Add(int64(d)) }

// OwnLoad returns the load that this instance has in flight.
func (s *Server) OwnLoad() Load {
	return Load{Requests: s.requests.Load(), Prefill: time.Duration(s.prefill.Load())}
}

// SetOthersLoad stores the load that other instances have in flight.
func (s *Server) SetOthersLoad(l Load) { s.othersLoad.Store(&l) }

// TotalLoad returns the load that this instance has in flight plus the last
// known load of other instances.
func (s *Server) TotalLoad() Load {
	own := s.OwnLoad()
	if othersLoad := s.othersLoad.Load(); othersLoad != nil {
		return own.Add(*othersLoad)
	}
	return own
}

// Pause records that the server wants no requests of this instance until a time. It
// reports whether that is later than what was known.
func (s *Server) Pause(until time.Time) bool {
	for {
		old := s.pausedUntil.Load()
		if old != nil && !old.Before(until) {
			return false
		}
		if s.pausedUntil.CompareAndSwap(old, &until) {
			return true
		}
	}
}

// PausedUntil returns the end of the time in which the server wants no requests of this
// instance; zero for none.
func (s *Server) PausedUntil() time.Time {
	if until := s.pausedUntil.Load(); until != nil {
		return *until
	}
	return time.Time{}
}

// Status returns the last known status, never nil.
func (s *Server) Status() *Status { return s.status.Load() }

// InFlight returns the number of requests and estimated tokens that this
// instance has in flight on the server.
func (s *Server) InFlight() (requests, tokens int64) {
	return s.requests.Load(), s.tokens.Load()
}

// Begin counts a request with an estimated number of tokens as in flight.
func (s *Server) Begin(tokens int64) {
	s.requests.Add(1)
	s.tokens.Add(tokens)
}

// End removes a request that Begin counted.
func (s *Server) End(tokens int64) {
	s.requests.Add(-1)
	s.tokens.Add(-tokens)
}

// Snapshot holds the settings in effect and the servers by version and service.
type Snapshot struct {
	Settings *settings.Snapshot
	Servers  map[string]*Server

	// watched are the servers that this instance uses, ordered by CompareHashes.
	watched   []*Server
	byVersion map[settings.VersionRef][]*Server
	byService map[string][]*Server
}

// Watched returns the servers that this instance polls for status and sends
// requests to: all servers, or the instance's subset. The slice must not be
// changed.
func (s *Snapshot) Watched() []*Server { return s.watched }

// ForVersion returns the watched servers that reported the version as loaded,
// ordered by CompareHashes. The slice must not be changed.
func (s *Snapshot) ForVersion(ref settings.VersionRef) []*Server { return s.byVersion[ref] }

// ForService returns the watched servers of a plain service, ordered by
// CompareHashes. The slice must not be changed.
func (s *Snapshot) ForService(name string) []*Server { return s.byService[name] }

// Store holds the current Snapshot and replaces it when settings or loaded
// versions change. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	subset  subset
}

// Option configures a Store.
type Option func(*Store)

// WithSubset makes the instance watch at most size servers of each model and of
// each plain service, selected by the instance's id.
func WithSubset(instanceID string, size int) Option {
	return func(d *Store) { d.subset = subset{seed: xxhash.Sum64String(instanceID), size: size} }
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

// SetSettings applies a settings revision and reports whether it did. A revision
// that is not newer than the current one is ignored.
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

// SetStatus stores a server's status. If its versions changed, only the lists
// of the old and new versions are rebuilt.
func (d *Store) SetStatus(id string, status Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.current.Load()
	server, ok := current.Servers[id]
	if !ok {
		return
	}
	status.OwnTokensAtReport = server.tokens.Load()
	old := server.status.Swap(&status)
	if slices.Equal(old.Versions, status.Versions) || !current.isWatched(server) {
		return
	}
	d.current.Store(current.withVersions(server, old.Versions, status.Versions))
}

// build makes a snapshot of the servers in the settings. Servers whose settings
// did not change keep their counters and status.
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
		snap.index(server)
	}
	return snap
}

// reuse returns the old server if its settings did not change, otherwise a new
// one.
func reuse(old *Server, id string, cfg settings.Server) *Server {
	if old != nil && sameSettings(old.Settings, cfg) {
		return old
	}
	return NewServer(id, cfg)
}

// NewServer makes a server with an empty status.
func NewServer(id string, cfg settings.Server) *Server {
	server := &Server{ID: id, Settings: cfg, Hash: xxhash.Sum64String(id)}
	server.status.Store(&Status{})
	return server
}

// SetStatus stores the status of a server that is not in a Store.
func (s *Server) SetStatus(status Status) {
	status.OwnTokensAtReport = s.tokens.Load()
	s.status.Store(&status)
}

func sameSettings(a, b settings.Server) bool {
	return a.Address == b.Address && a.FailureDomain == b.FailureDomain &&
		a.Capacity == b.Capacity && a.Service == b.Service &&
		a.Traits == b.Traits && slices.Equal(a.Models, b.Models)
}

func (s *Snapshot) index(server *Server) {
	if server.Settings.Service != "" {
		s.byService[server.Settings.Service] = append(s.byService[server.Settings.Service], server)
		return
	}
	for _, ref := range server.Status().Versions {
		list := s.byVersion[ref]
		// A report may list a version twice.
		if len(list) == 0 || list[len(list)-1] != server {
			s.byVersion[ref] = append(list, server)
		}
	}
}

// withVersions returns a copy of the snapshot in which the server is listed
// under the versions in after instead of those in before.
func (s *Snapshot) withVersions(server *Server, before, after []settings.VersionRef) *Snapshot {
	snap := *s
	snap.byVersion = maps.Clone(s.byVersion)
	for _, ref := range before {
		snap.byVersion[ref] = withoutServer(snap.byVersion[ref], server)
	}
	for _, ref := range after {
		snap.byVersion[ref] = withServer(snap.byVersion[ref], server)
	}
	return &snap
}

func (s *Snapshot) isWatched(server *Server) bool {
	_, found := position(s.watched, server)
	return found
}

// CompareHashes orders servers by hash and then by id. All lists of servers in
// a Snapshot have this order.
func CompareHashes(a, b *Server) int {
	return cmp.Or(cmp.Compare(a.Hash, b.Hash), cmp.Compare(a.ID, b.ID))
}

// position finds a server in a list ordered by CompareHashes.
func position(list []*Server, server *Server) (int, bool) {
	return slices.BinarySearchFunc(list, server, CompareHashes)
}

// withServer returns the list with the server added. It does not change the
// argument.
func withServer(list []*Server, server *Server) []*Server {
	at, found := position(list, server)
	if found {
		return list
	}
	return slices.Insert(slices.Clone(list), at, server)
}

// withoutServer returns the list with the server removed. It does not change
// the argument.
func withoutServer(list []*Server, server *Server) []*Server {
	at, found := position(list, server)
	if !found {
		return list
	}
	return slices.Delete(slices.Clone(list), at, at+1)
}
