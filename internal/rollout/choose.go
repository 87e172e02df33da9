// Package rollout moves sessions from one version to another in stages, and stops a
// version whose answers are bad.
//
// Choose is pure. Evidence (counts of rated answers by version) is summed over all
// instances; a sequential test on it stops a bad version after few answers and rarely
// stops a good one. There is no leader: each instance may advance or withdraw a
// rollout by a conditional settings change, and a suspension broadcast to peers takes
// effect before the change is stored.
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
	// Rollout is the name of the rollout that decided; empty if none did.
	Rollout string
	// Canary is true if the chosen version is under test by a rollout.
	Canary bool
}

// Choose returns the version of the model for the client account's session; ok is
// false if there is none. A hash of the session id decides whether the session is
// within a stage's percentage: the result is the same at every instance, and a session
// within it remains so in later stages. With canary false no version under test is
// chosen.
func Choose(s *settings.Snapshot, view *View, id settings.AccountID, session, model string, canary bool) (Choice, bool) {
	account, ok := s.Account(id)
	if !ok {
		return Choice{}, false
	}
	stable := account.Team.Models[model].Stable
	name, active, ok := activeRollout(s.Tree.Rollouts[account.TeamName], model, stable)
	if ok {
		choice, found := chooseInRollout(s, view, account, name, active, session, canary)
		if found {
			return choice, true
		}
	}
	return fallback(s, view, account, model, canary)
}

// activeRollout returns the rollout that decides for a model: one in progress, or else
// a complete one that started from the stable version. Of several, the last by name is
// used.
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
	inProgress := r.Status != settings.RolloutComplete
	if otherInProgress := active.Status != settings.RolloutComplete; inProgress != otherInProgress {
		return inProgress
	}
	return n > name
}

// chooseInRollout returns the rollout's new or old version for the session; the old
// version also if the new one may not be used.
func chooseInRollout(s *settings.Snapshot, view *View, account *settings.AccountView, name string, r settings.Rollout, session string, canary bool) (Choice, bool) {
	to := settings.VersionRef{Model: r.Model, Version: r.To}
	from := settings.VersionRef{Model: r.Model, Version: r.From}
	if assignsNew(r, name, session, canary) && usable(s, view, account, to) {
		return Choice{Ref: to, Rollout: name, Canary: r.Status == settings.RolloutRunning}, true
	}
	if usable(s, view, account, from) {
		return Choice{Ref: from, Rollout: name}, true
	}
	return Choice{}, false
}

// assignsNew reports whether the session is assigned to the new version. A paused
// rollout assigns no new sessions to it.
func assignsNew(r settings.Rollout, name, session string, canary bool) bool {
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
	// bucketCount is the number of hash buckets for 100%.
	bucketCount = 1_000_000
	percent     = 100
)

// bucket maps a session to a number in [0, 100) that is fixed for each rollout.
func bucket(rollout, session string) float64 {
	var hash xxhash.Digest
	hash.Reset()
	// Writes to a hash never fail.
	_, _ = hash.WriteString(rollout)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(session)
	return float64(hash.Sum64()%bucketCount) * percent / bucketCount
}

// fallback returns the stable version, or the first other one that may be used.
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

// lastResort returns a version under test if no other is available. It is marked as a
// canary: the caller admits only as many sessions as the allowance permits.
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

// underTest reports whether a running or paused rollout of the team tests the version.
func underTest(s *settings.Snapshot, team string, ref settings.VersionRef) bool {
	for _, r := range s.Tree.Rollouts[team] {
		inProgress := r.Status == settings.RolloutRunning || r.Status == settings.RolloutPaused
		if inProgress && r.Model == ref.Model && r.To == ref.Version {
			return true
		}
	}
	return false
}

// usable reports whether the client account may use the version and the version is not
// suspended for its team.
func usable(s *settings.Snapshot, view *View, account *settings.AccountView, ref settings.VersionRef) bool {
	return s.Permission(account.ID, ref) == settings.Permitted && !view.Suspended(account.TeamName, ref)
}
