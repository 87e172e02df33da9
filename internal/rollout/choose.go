// Package rollout moves sessions from version to version in stages, and stops a
// version whose answers are bad.
//
// Choose is pure. Evidence, rated answers counted by version, is pooled over
// all entry instances; a sequential test on it stops a bad version after few
// answers and seldom a good one. No instance leads: each may advance or withdraw
// a roll-out by a conditional settings change, and a suspension passed from
// peer to peer takes effect before the change is stored.
package rollout

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/basilrail/basilrail/internal/settings"
)

// Choice is the version for a new session or for a request without one.
type Choice struct {
	Ref settings.VersionRef
	// Rollout is the roll-out that decided; empty for the stable version.
	Rollout string
	// Canary means that the roll-out's new version was chosen while under test.
	Canary bool
}

// Choose returns the version of the model that the client account's session
// gets; ok is false when there is none. The session id decides which side of a
// stage's percentage it falls on, the same at every entry instance and in every
// later stage. With canary false no version under test is chosen.
func Choose(s *settings.Snapshot, view *View, id settings.AccountID, session, model string, canary bool) (Choice, bool) {
	account, ok := s.Account(id)
	if !ok {
		return Choice{}, false
	}
	stable := account.Team.Models[model].Stable
	name, active, ok := activeRollout(s.Tree.Rollouts[account.TeamName], model, stable)
	if ok {
		choice, found := inRollout(s, view, account, name, active, session, canary)
		if found {
			return choice, true
		}
	}
	return fallback(s, view, account, model, canary)
}

// activeRollout finds the roll-out that decides for a model: the one under way,
// or the last complete one, in the order of names, that started from the stable version.
func activeRollout(rollouts map[string]settings.Rollout, model, stable string) (string, settings.Rollout, bool) {
	var name string
	var active settings.Rollout
	for n, r := range rollouts {
		if r.Model != model || r.Status == settings.RolloutWithdrawn {
			continue
		}
		if r.Status == settings.RolloutComplete && r.From != stable {
			continue
		}
		if name == "" || outranks(n, r, name, active) {
			name, active = n, r
		}
	}
	return name, active, name != ""
}

func outranks(n string, r settings.Rollout, name string, active settings.Rollout) bool {
	under := r.Status != settings.RolloutComplete
	if other := active.Status != settings.RolloutComplete; under != other {
		return under
	}
	return n > name
}

// inRollout picks the side of the roll-out, and the other if that may not be used.
func inRollout(s *settings.Snapshot, view *View, account *settings.AccountView, name string, r settings.Rollout, session string, canary bool) (Choice, bool) {
	to := settings.VersionRef{Model: r.Model, Version: r.To}
	from := settings.VersionRef{Model: r.Model, Version: r.From}
	if takesNew(r, name, session, canary) && usable(s, view, account, to) {
		return Choice{Ref: to, Rollout: name, Canary: r.Status == settings.RolloutRunning}, true
	}
	if usable(s, view, account, from) {
		return Choice{Ref: from, Rollout: name}, true
	}
	return Choice{}, false
}

// takesNew reports whether the session falls on the new version's side. A paused
// roll-out puts no new session there.
func takesNew(r settings.Rollout, name, session string, canary bool) bool {
	switch r.Status {
	case settings.RolloutComplete:
		return true
	case settings.RolloutRunning:
		return canary && r.Stage < len(r.Stages) && bucket(name, session) < r.Stages[r.Stage].Percent
	default:
		return false
	}
}

const (
	// bucketCount is the number of parts a hundred per cent is divided into.
	bucketCount = 1_000_000
	percent     = 100
)

// bucket maps a session to a fixed number from 0 up to 100 for each roll-out.
func bucket(rollout, session string) float64 {
	var hash xxhash.Digest
	hash.Reset()
	// Writes to a hash never fail.
	_, _ = hash.WriteString(rollout)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(session)
	return float64(hash.Sum64()%bucketCount) * percent / bucketCount
}

// fallback is the stable version, or the first other one that may be used.
func fallback(s *settings.Snapshot, view *View, account *settings.AccountView, model string, canary bool) (Choice, bool) {
	use := account.Team.Models[model]
	stable := settings.VersionRef{Model: model, Version: use.Stable}
	if usable(s, view, account, stable) {
		return Choice{Ref: stable}, true
	}
	for _, version := range use.Allowed {
		ref := settings.VersionRef{Model: model, Version: version}
		if usable(s, view, account, ref) && !underTest(s, account.TeamName, ref) {
			return Choice{Ref: ref}, true
		}
	}
	if canary {
		return lastResort(s, view, account, model)
	}
	return Choice{}, false
}

// lastResort is a version under test where no other is left. It is a canary:
// the caller admits only as many sessions as its evidence allows.
func lastResort(s *settings.Snapshot, view *View, account *settings.AccountView, model string) (Choice, bool) {
	for _, name := range slices.Sorted(maps.Keys(s.Tree.Rollouts[account.TeamName])) {
		r := s.Tree.Rollouts[account.TeamName][name]
		to := settings.VersionRef{Model: model, Version: r.To}
		if r.Model == model && r.Status == settings.RolloutRunning && usable(s, view, account, to) {
			return Choice{Ref: to, Rollout: name, Canary: true}, true
		}
	}
	return Choice{}, false
}

// underTest reports whether a roll-out of the team still tests the version.
func underTest(s *settings.Snapshot, team string, ref settings.VersionRef) bool {
	for _, r := range s.Tree.Rollouts[team] {
		under := r.Status == settings.RolloutRunning || r.Status == settings.RolloutPaused
		if under && r.Model == ref.Model && r.To == ref.Version {
			return true
		}
	}
	return false
}

func usable(s *settings.Snapshot, view *View, account *settings.AccountView, ref settings.VersionRef) bool {
	return s.Permission(account.ID, ref) == settings.Permitted && !view.Suspended(account.TeamName, ref)
}
