package modelcommands

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

// Action is what a command makes a backend server do.
type Action string

// Actions of commands.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Command makes one backend server load or unload a version.
type Command struct {
	Server string
	Action Action
	Ref    settings.VersionRef
}

const (
	// minServers is the minimum number of servers that hold a version in use, so that
	// one may fail.
	minServers = 2
	percent    = 100.0
)

// Plan returns the commands that bring the versions that the servers report to those
// that the settings require, in a deterministic order. It has no side effects.
// Servers that are down, draining or have not reported get no commands.
func Plan(s *datastore.Snapshot) []Command {
	wanted := wantedVersions(s.Settings)
	var plan []Command
	for _, ref := range slices.SortedFunc(maps.Keys(wanted), compareRefs) {
		plan = append(plan, loadCommands(s, ref, wanted[ref])...)
	}
	return append(plan, unloadCommands(s, wanted)...)
}

// wantedVersions returns, for each version that new work may use, the fraction of its
// model's servers that should hold it.
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

// fractionOf returns the fraction of the servers that should hold the new version of a
// rollout.
func fractionOf(r settings.Rollout) float64 {
	if r.Status == settings.RolloutComplete || r.Stage >= len(r.Stages) {
		return 1
	}
	return r.Stages[r.Stage].Percent / percent
}

// loadCommands returns the commands that make enough servers load a version.
func loadCommands(s *datastore.Snapshot, ref settings.VersionRef, fraction float64) []Command {
	eligible := eligibleServers(s, ref.Model)
	needed := int(math.Ceil(fraction * float64(len(eligible))))
	needed = min(max(needed, minServers), len(eligible))
	var missing []*datastore.Server
	for _, server := range eligible {
		if slices.Contains(server.Status().Versions, ref) {
			needed--
			continue
		}
		missing = append(missing, server)
	}
	// The ranking is fixed for each version, so that repeated plans choose the same
	// servers.
	rank := func(server *datastore.Server) uint64 { return xxhash.Sum64String(server.ID + " " + ref.String()) }
	slices.SortFunc(missing, func(a, b *datastore.Server) int { return cmp.Compare(rank(a), rank(b)) })
	var plan []Command
	for _, server := range missing[:min(max(needed, 0), len(missing))] {
		plan = append(plan, Command{Server: server.ID, Action: ActionLoad, Ref: ref})
	}
	return plan
}

// unloadCommands returns the commands that unload versions that no team may use.
func unloadCommands(s *datastore.Snapshot, wanted map[settings.VersionRef]float64) []Command {
	var plan []Command
	for _, server := range s.Watched() {
		if !acceptsCommands(server) {
			continue
		}
		for _, ref := range server.Status().Versions {
			if _, ok := wanted[ref]; !ok && !anyTeamMayUse(s.Settings, ref) {
				plan = append(plan, Command{Server: server.ID, Action: ActionUnload, Ref: ref})
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

// eligibleServers returns the servers that may load a model and accept commands now.
func eligibleServers(s *datastore.Snapshot, model string) []*datastore.Server {
	var eligible []*datastore.Server
	for _, server := range s.Watched() {
		if acceptsCommands(server) && slices.Contains(server.Settings.Models, model) {
			eligible = append(eligible, server)
		}
	}
	return eligible
}

func acceptsCommands(server *datastore.Server) bool {
	status := server.Status()
	return server.Settings.Service == "" && !status.Down && !status.Draining && !status.ReportedAt.IsZero()
}

func compareRefs(a, b settings.VersionRef) int { return strings.Compare(a.String(), b.String()) }
