package orders

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/settings"
)

// Action is what an order asks of a backend server.
type Action string

// The actions.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order asks one backend server to load or unload a version.
type Order struct {
	Server string
	Action Action
	Ref    settings.VersionRef
}

const (
	// leastServers is the number of servers that hold a version in use, so that
	// one may fail.
	leastServers = 2
	percent      = 100.0
)

// Plan compares what the settings call for with what the servers report, and
// returns the orders that bring the second to the first, in a fixed order. It
// is pure. Servers that are down, leaving or silent get no orders.
func Plan(s *datastore.Snapshot) []Order {
	wanted := wantedVersions(s.Settings)
	var plan []Order
	for _, ref := range slices.SortedFunc(maps.Keys(wanted), compareRefs) {
		plan = append(plan, loads(s, ref, wanted[ref])...)
	}
	return append(plan, unloads(s, wanted)...)
}

// wantedVersions returns, for each version that new work may run on, the
// fraction of its model's servers that should hold it.
func wantedVersions(s *settings.Snapshot) map[settings.VersionRef]float64 {
	wanted := make(map[settings.VersionRef]float64)
	want := func(team string, ref settings.VersionRef, fraction float64) {
		if s.TeamPermission(team, ref) == settings.Permitted {
			wanted[ref] = max(wanted[ref], fraction)
		}
	}
	for team, t := range s.Tree.Teams {
		for model, use := range t.Models {
			want(team, settings.VersionRef{Model: model, Version: use.Stable}, 1)
		}
		for _, r := range s.Tree.Rollouts[team] {
			want(team, settings.VersionRef{Model: r.Model, Version: r.To}, fractionOf(r))
		}
	}
	return wanted
}

// fractionOf is the part of the servers that a roll-out's new version needs.
func fractionOf(r settings.Rollout) float64 {
	if r.Status == settings.RolloutComplete || r.Stage >= len(r.Stages) {
		return 1
	}
	return r.Stages[r.Stage].Percent / percent
}

// loads orders a version onto servers until enough hold it.
func loads(s *datastore.Snapshot, ref settings.VersionRef, fraction float64) []Order {
	able := ableServers(s, ref.Model)
	enough := int(math.Ceil(fraction * float64(len(able))))
	enough = min(max(enough, leastServers), len(able))
	var missing []*datastore.Server
	for _, server := range able {
		if slices.Contains(server.Status().Versions, ref) {
			enough--
			continue
		}
		missing = append(missing, server)
	}
	// The order is fixed for each version, so that a repeated plan is the same.
	rank := func(server *datastore.Server) uint64 { return xxhash.Sum64String(server.ID + " " + ref.String()) }
	slices.SortFunc(missing, func(a, b *datastore.Server) int { return cmp.Compare(rank(a), rank(b)) })
	var plan []Order
	for _, server := range missing[:min(max(enough, 0), len(missing))] {
		plan = append(plan, Order{Server: server.ID, Action: ActionLoad, Ref: ref})
	}
	return plan
}

// unloads orders away the versions that no team may use any more.
func unloads(s *datastore.Snapshot, wanted map[settings.VersionRef]float64) []Order {
	var plan []Order
	for _, server := range s.Watched() {
		if !orderable(server) {
			continue
		}
		for _, ref := range server.Status().Versions {
			if _, ok := wanted[ref]; !ok && !anyTeamMayUse(s.Settings, ref) {
				plan = append(plan, Order{Server: server.ID, Action: ActionUnload, Ref: ref})
			}
		}
	}
	return plan
}

func anyTeamMayUse(s *settings.Snapshot, ref settings.VersionRef) bool {
	for team := range s.Tree.Teams {
		if s.TeamPermission(team, ref) == settings.Permitted {
			return true
		}
	}
	return false
}

// ableServers returns the servers that may load a model and take orders now.
func ableServers(s *datastore.Snapshot, model string) []*datastore.Server {
	var able []*datastore.Server
	for _, server := range s.Watched() {
		if orderable(server) && slices.Contains(server.Settings.Models, model) {
			able = append(able, server)
		}
	}
	return able
}

func orderable(server *datastore.Server) bool {
	status := server.Status()
	return server.Settings.Service == "" && !status.Down && !status.Leaving && !status.ReportedAt.IsZero()
}

func compareRefs(a, b settings.VersionRef) int { return strings.Compare(a.String(), b.String()) }
