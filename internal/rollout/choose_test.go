package rollout

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	account = settings.AccountID("shops/lekki")
	model   = "writer"
)

func ref(version string) settings.VersionRef {
	return settings.VersionRef{Model: model, Version: version}
}

// tree returns settings with one team that may use versions 1, 2 and 3, of which 1 is
// the stable one.
func tree(rollouts map[string]settings.Rollout) settings.Tree {
	return settings.Tree{
		Models: map[string]settings.Model{model: {Versions: map[string]settings.Version{"1": {}, "2": {}, "3": {}}}},
		Teams: map[string]settings.Team{"shops": {
			Models: map[string]settings.TeamModel{model: {Stable: "1", Allowed: []string{"1", "2", "3"}}},
		}},
		Accounts: map[string]map[string]settings.Account{"shops": {"lekki": {}}},
		Rollouts: map[string]map[string]settings.Rollout{"shops": rollouts},
	}
}

func rolloutToVersion2(status settings.RolloutStatus, stage int) settings.Rollout {
	return settings.Rollout{
		Model: model, From: "1", To: "2", Status: status, Stage: stage, BadRate: 0.05,
		Stages: []settings.Stage{{Percent: 1, MinSamples: 20}, {Percent: 50, MinSamples: 50}, {Percent: 100, MinSamples: 50}},
	}
}

func TestChoose(t *testing.T) {
	suspend := func(versions ...string) []Suspension {
		var list []Suspension
		for _, v := range versions {
			list = append(list, Suspension{EvidenceKey: EvidenceKey{Team: "shops", Ref: ref(v)}})
		}
		return list
	}
	one := func(r settings.Rollout) map[string]settings.Rollout { return map[string]settings.Rollout{"to-2": r} }
	tests := []struct {
		desc      string
		rollouts  map[string]settings.Rollout
		change    func(*settings.Tree)
		suspended []Suspension
		want      Choice
		none      bool
	}{
		{desc: "no rollout: stable", want: Choice{Ref: ref("1")}},
		{desc: "last stage: new version", rollouts: one(rolloutToVersion2(settings.RolloutRunning, 2)), want: Choice{Ref: ref("2"), Rollout: "to-2", Canary: true}},
		{desc: "paused: no new session on the new version", rollouts: one(rolloutToVersion2(settings.RolloutPaused, 2)), want: Choice{Ref: ref("1"), Rollout: "to-2"}},
		{desc: "complete", rollouts: one(rolloutToVersion2(settings.RolloutComplete, 2)), want: Choice{Ref: ref("2"), Rollout: "to-2"}},
		{desc: "withdrawn: stable", rollouts: one(rolloutToVersion2(settings.RolloutWithdrawn, 2)), want: Choice{Ref: ref("1")}},
		{
			desc: "complete, and the operator changed the stable version", rollouts: one(rolloutToVersion2(settings.RolloutComplete, 2)),
			change: func(tree *settings.Tree) {
				tree.Teams["shops"].Models[model] = settings.TeamModel{Stable: "3", Allowed: []string{"1", "2", "3"}}
			},
			want: Choice{Ref: ref("3")},
		},
		{desc: "new version suspended: the old one", rollouts: one(rolloutToVersion2(settings.RolloutRunning, 2)), suspended: suspend("2"), want: Choice{Ref: ref("1"), Rollout: "to-2"}},
		{desc: "stable suspended: another allowed one", suspended: suspend("1"), want: Choice{Ref: ref("2")}},
		{desc: "stable suspended, another under test: not that one", rollouts: one(rolloutToVersion2(settings.RolloutPaused, 0)), suspended: suspend("1"), want: Choice{Ref: ref("3")}},
		{desc: "all suspended: stable stays", suspended: suspend("1", "2", "3"), want: Choice{Ref: ref("1")}},
		{
			desc: "all withdrawn: none",
			change: func(tree *settings.Tree) {
				for name := range tree.Models[model].Versions {
					tree.Models[model].Versions[name] = settings.Version{Withdrawn: true}
				}
			},
			none: true,
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			tree := tree(test.rollouts)
			if test.change != nil {
				test.change(&tree)
			}
			s := settings.Compile(1, tree)
			got, ok := Choose(s, NewView(s, test.suspended), account, "session", model, true)
			require.Equal(t, !test.none, ok)
			require.Equal(t, test.want, got)
		})
	}
}

// A session on the new version stays there in every later stage, and the share
// of sessions is the stage's percentage.
func TestChooseIsSticky(t *testing.T) {
	const sessions = 20_000
	counts := make([]int, 3)
	for i := range sessions {
		before := false
		for stage := range counts {
			s := settings.Compile(1, tree(map[string]settings.Rollout{"to-2": rolloutToVersion2(settings.RolloutRunning, stage)}))
			choice, _ := Choose(s, nil, account, fmt.Sprint(i), model, true)
			require.False(t, before && !choice.Canary)
			before = choice.Canary
			if choice.Canary {
				counts[stage]++
			}
		}
	}
	require.InDelta(t, sessions/100, counts[0], sessions/300)
	require.InDelta(t, sessions/2, counts[1], sessions/100)
	require.Equal(t, sessions, counts[2])
}

func TestAllowancesSumToTheFleetAllowance(t *testing.T) {
	for _, n := range []int{1, 9, 1200} {
		total := 0
		for i := range n {
			total += allowance(fmt.Sprint("entry-", i), EvidenceKey{Rollout: "r"}, n, 40, 0)
		}
		require.InDelta(t, firstSessions+40*sessionsPerAnswer, total, 25, "%d instances", n)
	}
}
