package rollout

import (
	"github.com/basilrail/basilrail/internal/settings"
)

// teamVersion is one team's use of one version.
type teamVersion struct {
	team string
	ref  settings.VersionRef
}

// View is the suspensions in force now. It never changes; a nil *View has none.
type View struct {
	suspended map[teamVersion]bool
}

// Suspended reports whether the team may not use the version for now.
func (v *View) Suspended(team string, ref settings.VersionRef) bool {
	return v != nil && v.suspended[teamVersion{team, ref}]
}

// NewView puts suspensions in force, but for those that would leave a team
// without any version of the model: there the stable version stays.
func NewView(s *settings.Snapshot, suspensions []Suspension) *View {
	v := &View{suspended: make(map[teamVersion]bool, len(suspensions))}
	for _, suspension := range suspensions {
		v.suspended[teamVersion{suspension.Trial.Team, suspension.Trial.Ref}] = true
	}
	for _, suspension := range suspensions {
		v.keepOne(s, suspension.Trial.Team, suspension.Trial.Ref.Model)
	}
	return v
}

func (v *View) keepOne(s *settings.Snapshot, team, model string) {
	if _, ok := alternative(s, v, team, settings.VersionRef{Model: model}); ok {
		return
	}
	stable := settings.VersionRef{Model: model, Version: s.Tree.Teams[team].Models[model].Stable}
	delete(v.suspended, teamVersion{team, stable})
}

// alternative finds a version that the team may use in place of another one,
// the stable version first and none that a roll-out still tests.
func alternative(s *settings.Snapshot, view *View, team string, instead settings.VersionRef) (settings.VersionRef, bool) {
	use := s.Tree.Teams[team].Models[instead.Model]
	for _, version := range append([]string{use.Stable}, use.Allowed...) {
		ref := settings.VersionRef{Model: instead.Model, Version: version}
		usable := s.TeamPermission(team, ref) == settings.Permitted && !view.Suspended(team, ref)
		if ref != instead && usable && !underTest(s, team, ref) {
			return ref, true
		}
	}
	return settings.VersionRef{}, false
}
