package rollout

import (
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

// EvidenceKey identifies what evidence is about: a team's use of a version, and the
// rollout that introduces it, empty for a version in steady use. A new rollout of the
// same version begins with no evidence.
type EvidenceKey struct {
	Team    string              `cbor:"1,keyasint"`
	Ref     settings.VersionRef `cbor:"2,keyasint"`
	Rollout string              `cbor:"3,keyasint"`
}

// evidenceKeyFor returns the key for an answer of a version to a team.
func evidenceKeyFor(s *settings.Snapshot, team string, ref settings.VersionRef) EvidenceKey {
	key := EvidenceKey{Team: team, Ref: ref}
	for name, r := range s.Tree.Rollouts[team] {
		if r.Model == ref.Model && r.To == ref.Version && r.Status != settings.RolloutWithdrawn && name > key.Rollout {
			key.Rollout = name
		}
	}
	return key
}

// existsIn reports whether the settings contain what the key names; evidence about
// anything else is not kept.
func (k EvidenceKey) existsIn(s *settings.Snapshot) bool {
	if _, ok := s.Tree.Teams[k.Team].Models[k.Ref.Model]; !ok {
		return false
	}
	if _, ok := s.Version(k.Ref); !ok {
		return false
	}
	if k.Rollout == "" {
		return true
	}
	r, ok := s.Tree.Rollouts[k.Team][k.Rollout]
	return ok && r.Model == k.Ref.Model && r.To == k.Ref.Version
}

// source is one run of one instance.
type source struct {
	instance string
	epoch    uint64
}

const (
	// sourceTTL is how long a source's counts are kept after its last message.
	sourceTTL = time.Hour
	// maxSources is the maximum number of sources kept for each key.
	maxSources = 4096
)

// sourceCounts are the latest totals of a source for a key.
type sourceCounts struct {
	counts Counts
	seenAt time.Time
}

// evidenceStore sums up evidence. Sources send totals that only increase, so that a
// message that is duplicated, delayed or received by two paths counts once. It is not
// safe for concurrent use.
type evidenceStore struct {
	sources map[EvidenceKey]map[source]sourceCounts
	totals  map[EvidenceKey]Counts
}

func newEvidenceStore() *evidenceStore {
	return &evidenceStore{sources: make(map[EvidenceKey]map[source]sourceCounts), totals: make(map[EvidenceKey]Counts)}
}

// update merges a source's totals and returns the increase.
func (e *evidenceStore) update(k EvidenceKey, from source, counts Counts, now time.Time) Counts {
	sources, ok := e.sources[k]
	if !ok {
		sources = make(map[source]sourceCounts)
		e.sources[k] = sources
	}
	old, ok := sources[from]
	if !ok && len(sources) >= maxSources {
		return Counts{}
	}
	counts = Counts{Good: max(counts.Good, old.counts.Good), Bad: max(counts.Bad, old.counts.Bad)}
	sources[from] = sourceCounts{counts: counts, seenAt: now}
	added := counts.minus(old.counts)
	total := e.totals[k]
	e.totals[k] = Counts{Good: total.Good + added.Good, Bad: total.Bad + added.Bad}
	return added
}

// expire deletes keys that the settings no longer contain, and sources that sent
// nothing for sourceTTL; the counts of expired sources stay in the totals.
func (e *evidenceStore) expire(s *settings.Snapshot, now time.Time) {
	for key, sources := range e.sources {
		if !key.existsIn(s) {
			delete(e.sources, key)
			delete(e.totals, key)
			continue
		}
		for from, c := range sources {
			if now.Sub(c.seenAt) > sourceTTL {
				delete(sources, from)
			}
		}
	}
}
