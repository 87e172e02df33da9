package rollout

import (
	"github.com/basilrail/basilrail/internal/settings"
)

// teamVersion is one team's use of one version.
type teamVersion struct {
	team string
	ref  settings.VersionRef
}

// View is the set of suspensions in effect. It is immutable; a nil *View is empty.
type View struct {
	suspended map[teamVersion]bool
}

// Suspended reports whether the version is suspended for the team.
func (v *View) Suspended(team string, ref settings.VersionRef) bool {
	return v != nil && v.suspended[teamVersion{team, ref}]
}

// NewView returns a View of the suspensions. Where they would leave a team without any
// version of a model, the stable version stays in use.
func NewView(s *settings.Snapshot, suspensions []Suspension) *View {
	v := &View{suspended: make(map[teamVersion]bool, len(suspensions))}
	for _, suspension := range suspensions {
		v.suspended[teamVersion{suspension.EvidenceKey.Team, suspension.EvidenceKey.Ref}] = true
	}
	for _, suspension := range suspensions {
		v.keepStableIfNoReplacement(s, suspension.EvidenceKey.Team, suspension.EvidenceKey.Ref.Model)
	}
	return v
}

func (v *View) keepStableIfNoReplacement(s *settings.Snapshot, team, model string) {
	if _, ok := replacementFor(s, v, team, settings.VersionRef{Model: model}); ok {
		return
	}
	stable := settings.VersionRef{Model: model, Version: s.Tree.Teams[team].Models[model].Stable}
	delete(v.suspended, teamVersion{team, stable})
}

// replacementFor returns a version that the team may use in place of another one: the
// stable version if possible, and none under test by a rollout.
func replacementFor(s *settings.Snapshot, view *View, team string, replaced settings.VersionRef) (settings.VersionRef, bool) {
	use := s.Tree.Teams[team].Models[replaced.Model]
	for _, version := range append([]string{use.Stable}, use.Allowed...) {
		ref := settings.VersionRef{Model: replaced.Model, Version: version}
		usable := s.TeamPermission(team, ref) == settings.Permitted && !view.Suspended(team, ref)
		if ref != replaced && usable && !underTest(s, team, ref) {
			return ref, true
		}
	}
	return settings.VersionRef{}, false
}
