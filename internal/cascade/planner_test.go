package cascade

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/settings"
)

func testSettings() *settings.Snapshot {
	return settings.Compile(1, settings.Tree{Models: map[string]settings.Model{
		small.Model: {Versions: map[string]settings.Version{"v1": {InputCost: 100, OutputCost: 100}}},
		large.Model: {Versions: map[string]settings.Version{"v1": {InputCost: 1_000, OutputCost: 1_000}}},
	}})
}

// TestTargetHoldsWithUnjudgedAnswers uses a cheap version whose pass probability is
// below the target, so that judged answers must compensate for each unjudged one.
func TestTargetHoldsWithUnjudgedAnswers(t *testing.T) {
	const requests, pass = 20_000, 0.85
	planner := NewPlanner(NewLearner(), NewBudget(1_000))
	rng := rand.New(rand.NewPCG(1, 2))
	query := Query{
		Account: "t/a", Task: "summary", Versions: []settings.VersionRef{small, large},
		InputTokens: 1_000, OutputTokens: 1_000, Target: 0.95,
	}
	acceptable, unjudged := 0, 0
	for i := range requests {
		now := start.Add(time.Duration(i) * time.Second)
		ok := rng.Float64() < pass
		step := planner.Plan(now, testSettings(), query, rng).Steps[0]
		if step.Judge || step.Sample {
			key := Key{Account: query.Account, Task: query.Task, Version: small}
			planner.ObserveRating(now, Outcome{Key: key, Target: query.Target, Acceptable: ok, Judged: step.Judge})
		}
		if step.Ref == small && !step.Judge {
			unjudged++
		}
		if step.Ref == large || step.Judge || ok {
			acceptable++
		}
	}
	assert.GreaterOrEqual(t, float64(acceptable)/requests, 0.95)
	assert.Greater(t, unjudged, requests/10, "judged answers leave room for unjudged ones")
}

func TestPlannerLearnsDurations(t *testing.T) {
	planner := NewPlanner(NewLearner(), NewBudget(1_000))
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		planner.ObserveDuration(small, time.Second)
		planner.ObserveDuration(large, 3*time.Second)
	}
	query := Query{
		Account: "t/a", Task: "plan", Versions: []settings.VersionRef{small, large},
		InputTokens: 1_000, Target: 0.95, Remaining: 3500 * time.Millisecond,
	}
	assert.Equal(t, []Step{{Ref: large}}, planner.Plan(start, testSettings(), query, rng).Steps)
	query.Remaining = 5 * time.Second
	assert.Len(t, planner.Plan(start, testSettings(), query, rng).Steps, 2)

	planner.RemoveStaleVersions(settings.Compile(2, settings.Tree{}))
	assert.Empty(t, planner.durations)
}
