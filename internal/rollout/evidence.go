package rollout

import (
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

// Trial names what evidence is about: a team's use of a version, and the
// roll-out that brings it, empty for a version in steady use. A new roll-out of
// the same version begins with no evidence.
type Trial struct {
	Team    string              `cbor:"1,keyasint"`
	Ref     settings.VersionRef `cbor:"2,keyasint"`
	Rollout string              `cbor:"3,keyasint"`
}

// trialOf finds the trial that an answer of a version to a team belongs to.
func trialOf(s *settings.Snapshot, team string, ref settings.VersionRef) Trial {
	trial := Trial{Team: team, Ref: ref}
	for name, r := range s.Tree.Rollouts[team] {
		if r.Model == ref.Model && r.To == ref.Version && r.Status != settings.RolloutWithdrawn && name > trial.Rollout {
			trial.Rollout = name
		}
	}
	return trial
}

// known reports whether the settings have what the trial names; evidence of
// anything else is not kept.
func (t Trial) known(s *settings.Snapshot) bool {
	if _, ok := s.Tree.Teams[t.Team].Models[t.Ref.Model]; !ok {
		return false
	}
	if _, ok := s.Version(t.Ref); !ok {
		return false
	}
	if t.Rollout == "" {
		return true
	}
	r, ok := s.Tree.Rollouts[t.Team][t.Rollout]
	return ok && r.Model == t.Ref.Model && r.To == t.Ref.Version
}

// source is one run of one entry instance.
type source struct {
	entry string
	epoch uint64
}

const (
	// sourceTTL is how long an entry instance's counters are kept after its last message.
	sourceTTL = time.Hour
	// maxSources bounds the entry instances kept for each trial.
	maxSources = 4096
)

// counter is the last that a source told of a trial.
type counter struct {
	counts Counts
	seenAt time.Time
}

// pool adds up evidence. Sources send totals that only grow, so that a message
// heard twice, late or by two ways counts once. It is not safe for concurrent use.
type pool struct {
	sources map[Trial]map[source]counter
	totals  map[Trial]Counts
}

func newPool() *pool {
	return &pool{sources: make(map[Trial]map[source]counter), totals: make(map[Trial]Counts)}
}

// set takes in a source's totals and returns what they add.
func (p *pool) set(t Trial, from source, counts Counts, now time.Time) Counts {
	sources, ok := p.sources[t]
	if !ok {
		sources = make(map[source]counter)
		p.sources[t] = sources
	}
	old, ok := sources[from]
	if !ok && len(sources) >= maxSources {
		return Counts{}
	}
	counts = Counts{Good: max(counts.Good, old.counts.Good), Bad: max(counts.Bad, old.counts.Bad)}
	sources[from] = counter{counts: counts, seenAt: now}
	added := counts.minus(old.counts)
	total := p.totals[t]
	p.totals[t] = Counts{Good: total.Good + added.Good, Bad: total.Bad + added.Bad}
	return added
}

// expire forgets trials that the settings no longer have, and sources that are
// gone; what the latter counted stays in the totals.
func (p *pool) expire(s *settings.Snapshot, now time.Time) {
	for trial, sources := range p.sources {
		if !trial.known(s) {
			delete(p.sources, trial)
			delete(p.totals, trial)
			continue
		}
		for from, c := range sources {
			if now.Sub(c.seenAt) > sourceTTL {
				delete(sources, from)
			}
		}
	}
}
