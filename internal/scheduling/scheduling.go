// Package scheduling picks the backend server for one attempt. Filters drop the
// servers that must not get it, a Scorer estimates the load of the rest,
// Preferences drop those for which there are better alternatives, and the first
// Picker that returns a choice decides. All of them read an immutable snapshot; the
// cost of a decision is bounded regardless of the number of servers.
package scheduling

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// maxConsidered is the number of servers up to which a decision considers
	// all of them.
	maxConsidered = 64
	// windowSize is the number of consecutive servers of the list that a decision
	// considers if there are more; it goes on only while none of them is eligible.
	windowSize = 8
)

// maxCandidates is the maximum number of candidates that a Decision lists.
const maxCandidates = 8

// Request describes the attempt for which a server is picked.
type Request struct {
	// Version is the version to run; zero for a call of a plain service.
	Version settings.VersionRef
	// Service is the plain service to call; empty for a model.
	Service string
	// Tokens is the estimated cost: input and expected output tokens.
	Tokens int64
	// PrefixHash is the hash of the prompt's prefix; zero for no affinity.
	PrefixHash uint64
	// SharedWork is the prefill time saved by a server that has the shared part
	// of the prompt in its cache.
	SharedWork time.Duration
	// Excluded lists the IDs of servers that must not get this attempt.
	Excluded []string
	// Slice is the part of each server's capacity that this instance may use.
	Slice Slice
	// Limits are the limits that servers named; nil for none.
	Limits Limits
	// Prefill is the prefill time of the prompt at the median server, and Remaining the time to the deadline. They
	// count if Speeds is set.
	Prefill   time.Duration
	Remaining time.Duration
	// Speeds are the speeds of the servers; nil if they are alike.
	Speeds Speeds
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// Now is the time of the decision, relative to which the age of load
	// reports is computed.
	Now time.Time
}

// Limits are the limits of requests that backend servers named.
type Limits interface {
	// MaySend reports whether this instance may send a request to a server now.
	MaySend(server string) bool
}

// Speeds estimates how fast servers are.
type Speeds interface {
	// Factor returns how many times as long as the median server a server takes.
	Factor(server *datastore.Server) float64
	// Generation returns how long a server would take to generate the answer, and the fastest one; zero if
	// that is unknown.
	Generation(server *datastore.Server) (here, shortest time.Duration)
}

// target returns the name of the version or service.
func (r *Request) target() string {
	if r.Service != "" {
		return "service " + r.Service
	}
	return r.Version.String()
}

// Entry is one server under consideration.
type Entry struct {
	Server *datastore.Server
	Status *datastore.Status
	// Offset is the server's relative position in the list of servers, from 0
	// to 1.
	Offset float64
	// Load is the estimated load without this request, in the unit of the
	// Scorer: tokens per unit of the server's capacity, or seconds.
	Load float64
}

// Filter drops servers that must not get the attempt.
type Filter interface {
	// Reject returns why the server is dropped, or an empty Reason to keep it.
	Reject(req *Request, e *Entry) Reason
}

// Preference drops the servers that are not preferred, unless that would drop all.
type Preference interface {
	// IsPreferred reports whether the server is preferred for the request.
	IsPreferred(req *Request, e *Entry) bool
}

// Scorer estimates the load of servers.
type Scorer interface {
	// Score sets the Load of every entry.
	Score(req *Request, entries []Entry)
}

// Picker chooses among the entries that passed the filters.
type Picker interface {
	// Pick returns the choice; ok is false to leave it to the next picker.
	// It is called with at least one entry.
	Pick(req *Request, entries []Entry, rng *rand.Rand) (choice Choice, ok bool)
}

// Choice is the result of a Picker, as indexes into the entries.
type Choice struct {
	Index  int
	Reason Reason
	// Alternative was compared with the choice and rejected; negative for none.
	Alternative       int
	AlternativeReason Reason
}

// Reason states why a server was or was not picked.
type Reason string

// Reasons for picking or rejecting a server.
const (
	PickedLowerLoad     Reason = "taken: lower load of two"
	PickedOnly          Reason = "taken: only candidate"
	PickedEqual         Reason = "taken: equal load, first drawn"
	PickedDomain        Reason = "taken: equal load, same failure domain"
	PickedLeastWork     Reason = "taken: least work"
	PickedPrefix        Reason = "taken: prompt prefix affinity"
	LeftLate            Reason = "taken: the target latency is threatened in the own failure domain"
	LeftUnusable        Reason = "taken: no usable server in the own failure domain"
	RejectedExcluded    Reason = "excluded by the request"
	RejectedDraining    Reason = "leaving"
	RejectedDown        Reason = "down"
	RejectedEvacuated   Reason = "in an evacuated failure domain"
	RejectedPaused      Reason = "asked for a pause"
	RejectedLimited     Reason = "named a limit of requests"
	RejectedSlice       Reason = "over this entry's share of the server"
	RejectedHigherLoad  Reason = "higher load of two"
	RejectedEqual       Reason = "equal load, drawn second"
	RejectedDomain      Reason = "equal load, other failure domain"
	RejectedPrefixBound Reason = "prompt prefix affinity, but over the load bound"
	NotCompared         Reason = "not among those compared"
)

// Eligible reports whether a server with this reason passed the filters.
func (r Reason) Eligible() bool {
	switch r {
	case RejectedExcluded, RejectedDraining, RejectedEvacuated, RejectedDown, RejectedPaused, RejectedLimited:
		return false
	}
	return true
}

// Candidate is a server that a decision considered, as shown by explain.
type Candidate struct {
	Server string
	Reason Reason `json:"Why"`
	// Load is the estimated load, as in Entry; zero for a server that a filter
	// rejected.
	Load float64
}

// Decision is the result of Pick.
type Decision struct {
	Server *datastore.Server
	// Candidates lists the chosen server first, then the one compared with it,
	// the rejected ones and the others, at most eight in all.
	Candidates []Candidate
	// Considered and Eligible are the numbers of servers that were considered
	// and that passed the filters and preferences.
	Considered int
	Eligible   int
}

// NoServerError reports that every server of a target was rejected or that it has
// none.
type NoServerError struct {
	Target     string
	Candidates []Candidate
	Considered int
}

// Error returns the target and the number of servers considered.
func (e *NoServerError) Error() string {
	return fmt.Sprintf("no eligible backend server for %s (%d considered)", e.Target, e.Considered)
}

// Profile is a set of scheduling plugins.
type Profile struct {
	Filters     []Filter
	Preferences []Preference
	Scorer      Scorer
	Pickers     []Picker
}

// Default is the profile for backend servers that are defined in the settings.
var Default = Profile{
	Filters:     []Filter{ExcludedFilter{}, DrainingFilter{}, DownFilter{}},
	Preferences: []Preference{SlicePreference{}},
	Scorer:      LoadScorer{},
	Pickers:     []Picker{PrefixPicker{}, TwoChoicesPicker{}},
}

// Fleet is the profile for backend servers that registered themselves. It has no
// DownFilter, because the caller excludes ejected and degraded servers.
var Fleet = Profile{
	Filters: []Filter{ExcludedFilter{}, DrainingFilter{}, EvacuatedFilter{}, PausedFilter{}, LimitedFilter{}},
	Scorer:  WorkScorer{},
	Pickers: []Picker{LeastWorkPicker{}},
}

// Pick chooses a server with the Default profile. The error is a *NoServerError.
func Pick(snap *datastore.Snapshot, req Request, rng *rand.Rand) (Decision, error) {
	return Default.Pick(snap, req, rng)
}

// workspace holds the buffers of one decision. Workspaces are pooled.
type workspace struct {
	req      Request
	entries  []Entry
	rejected []Candidate
}

var workspaces = sync.Pool{New: func() any {
	return &workspace{
		entries:  make([]Entry, 0, maxConsidered),
		rejected: make([]Candidate, 0, maxCandidates),
	}
}}

// Pick chooses a server. The error is a *NoServerError.
func (p *Profile) Pick(snap *datastore.Snapshot, req Request, rng *rand.Rand) (Decision, error) {
	servers := snap.ForVersion(req.Version)
	if req.Service != "" {
		servers = snap.ForService(req.Service)
	}
	return p.PickFrom(servers, req, rng)
}

// PickFrom chooses one of the servers, which must be sorted by their hashes.
// The error is a *NoServerError.
func (p *Profile) PickFrom(servers []*datastore.Server, req Request, rng *rand.Rand) (Decision, error) {
	w := workspaces.Get().(*workspace)
	defer w.free()
	w.req = req
	considered := p.filter(w, servers, rng)
	if len(w.entries) == 0 {
		rejected := append([]Candidate(nil), w.rejected...)
		return Decision{}, &NoServerError{Target: req.target(), Candidates: rejected, Considered: considered}
	}
	p.Scorer.Score(&w.req, w.entries)
	p.prefer(w)
	decision := w.decide(p.choose(w, rng))
	decision.Considered = considered
	return decision, nil
}

// free clears all references and returns the workspace to the pool.
func (w *workspace) free() {
	clear(w.entries[:cap(w.entries)])
	clear(w.rejected)
	w.req = Request{}
	w.entries = w.entries[:0]
	w.rejected = w.rejected[:0]
	workspaces.Put(w)
}

// filter collects the eligible servers from a window of the list and returns the
// number of servers considered. If the whole window is rejected, it goes on until
// it finds an eligible server.
func (p *Profile) filter(w *workspace, servers []*datastore.Server, rng *rand.Rand) int {
	n := len(servers)
	if n == 0 {
		return 0
	}
	start, size := window(w.req.PrefixHash, servers, rng)
	for i := range n {
		if i >= size && len(w.entries) > 0 {
			return i
		}
		at := (start + i) % n
		p.consider(w, Entry{Server: servers[at], Status: servers[at].Status(), Offset: offsetOf(at, n)})
	}
	return n
}

// window returns the part of the list to consider. For the same prefix it starts
// at the same server in every instance, so that affinity holds across instances;
// without a prefix the start is random. The list is sorted by the servers' hashes,
// so that adding or removing a server moves few prefixes.
func window(prefix uint64, servers []*datastore.Server, rng *rand.Rand) (start, size int) {
	n := len(servers)
	if n <= maxConsidered {
		return 0, n
	}
	if prefix == 0 {
		return rng.IntN(n), windowSize
	}
	start, _ = slices.BinarySearchFunc(servers, datastore.MixHash(prefix), func(s *datastore.Server, hash uint64) int {
		return cmp.Compare(s.Hash, hash)
	})
	return start % n, windowSize
}

// consider adds a server to the entries unless a filter rejects it or there are
// maxConsidered already.
func (p *Profile) consider(w *workspace, e Entry) {
	if len(w.entries) == maxConsidered {
		return
	}
	w.entries = append(w.entries, e)
	last := len(w.entries) - 1
	for _, f := range p.Filters {
		if reason := f.Reject(&w.req, &w.entries[last]); reason != "" {
			w.entries = w.entries[:last]
			w.reject(Candidate{Server: e.Server.ID, Reason: reason})
			return
		}
	}
}

// prefer keeps the preferred entries and drops the others, unless none would
// remain.
func (p *Profile) prefer(w *workspace) {
	for _, preference := range p.Preferences {
		kept := 0
		for i := range w.entries {
			if preference.IsPreferred(&w.req, &w.entries[i]) {
				w.entries[kept], w.entries[i] = w.entries[i], w.entries[kept]
				kept++
			}
		}
		if kept == 0 {
			continue
		}
		for i := kept; i < len(w.entries); i++ {
			w.reject(w.candidate(i, RejectedSlice))
		}
		w.entries = w.entries[:kept]
	}
}

func (w *workspace) reject(c Candidate) {
	if len(w.rejected) < maxCandidates {
		w.rejected = append(w.rejected, c)
	}
}

func (p *Profile) choose(w *workspace, rng *rand.Rand) Choice {
	for _, picker := range p.Pickers {
		if choice, ok := picker.Pick(&w.req, w.entries, rng); ok {
			return choice
		}
	}
	return Choice{Index: 0, Reason: PickedOnly, Alternative: -1}
}

func (w *workspace) decide(choice Choice) Decision {
	candidates := make([]Candidate, 0, maxCandidates)
	candidates = append(candidates, w.candidate(choice.Index, choice.Reason))
	if choice.Alternative >= 0 {
		candidates = append(candidates, w.candidate(choice.Alternative, choice.AlternativeReason))
	}
	room := min(len(w.rejected), maxCandidates-len(candidates))
	candidates = append(candidates, w.rejected[:room]...)
	for i := range w.entries {
		if len(candidates) == maxCandidates {
			break
		}
		if i != choice.Index && i != choice.Alternative {
			candidates = append(candidates, w.candidate(i, NotCompared))
		}
	}
	return Decision{
		Server:     w.entries[choice.Index].Server,
		Candidates: candidates,
		Eligible:   len(w.entries),
	}
}

func (w *workspace) candidate(i int, reason Reason) Candidate {
	return Candidate{Server: w.entries[i].Server.ID, Reason: reason, Load: w.entries[i].Load}
}
