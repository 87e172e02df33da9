package modeltier

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// playOnly sends requests to a route without a second attempt. The small model has a low confidence in a fraction of its
// answers, and answers these poorly. It returns the fractions of poor answers and of those that the small model gave.
func playOnly(n int, hard, utilization float64) (poor, small float64) {
	tiers := []Tier{{Model: "small", Cost: 0.023}, {Model: "mid", Cost: 0.18}, {Model: "large", Cost: 0.35}}
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewSufficiency()
	for range n {
		if Only(tiers, s.IsSufficient("r"), utilization, rng.Float64()) != 0 {
			continue
		}
		small++
		confidence := 90
		if rng.Float64() < hard {
			confidence = 10
			poor++
		}
		s.Observe("r", confidence)
	}
	return poor / float64(n), small / float64(n)
}

// TestOnlyAnswersAreGoodAtTheLowestCost guards against poor answers of a small model where they can't be replaced, and
// against the cost of the largest model where the small one answers as well.
func TestOnlyAnswersAreGoodAtTheLowestCost(t *testing.T) {
	const n = 40000
	for _, hard := range []float64{0, 0.1, 0.5, 1} {
		poor, small := playOnly(n, hard, 0.3)
		assert.LessOrEqual(t, poor, 1-minConfident+0.005, "hard: %v", hard)
		if hard == 0 {
			assert.Greater(t, small, 0.8, "the smallest model is sufficient")
		} else {
			assert.InDelta(t, exploration, small, 0.01, "hard: %v", hard)
		}
	}
	_, small := playOnly(n, 0.5, 1)
	assert.Equal(t, 1.0, small, "without free slots")
	s := NewSufficiency()
	for range 10 * minAnswers {
		s.Observe("r", ConfidenceUnknown)
	}
	assert.False(t, s.IsSufficient("r"), "an answer of unknown quality is no good one")
}

// TestModelThatGetsWorseIsNotSufficient guards against a route that stays with a model whose answers have become poor.
func TestModelThatGetsWorseIsNotSufficient(t *testing.T) {
	s := NewSufficiency()
	for range 10 * minAnswers {
		s.Observe("r", 90)
	}
	assert.True(t, s.IsSufficient("r"))
	for range 5 {
		s.Observe("r", 10)
	}
	assert.False(t, s.IsSufficient("r"))
	assert.False(t, s.IsSufficient("other"))
}

// TestOnlyAnswersLeaveSlotsFree simulates a load at which the slots run out if every request gets the largest model: 40
// requests per second to 100 slots, where the small model occupies a slot for 0.3 s and the large one for 5 s.
func TestOnlyAnswersLeaveSlotsFree(t *testing.T) {
	const (
		slots    = 100.0
		perStep  = 4.0
		stepTime = 0.1
		draws    = 100
	)
	tiers := []Tier{{}, {}}
	var small, large, peak float64
	for step := range 600 {
		load := (small + large) / slots
		toLarge := 0.0
		for draw := range draws {
			toLarge += float64(Only(tiers, false, load, (float64(draw)+0.5)/draws)) / draws
		}
		small += perStep*(1-toLarge) - small*stepTime/0.3
		large += perStep*toLarge - large*stepTime/5
		if step >= 300 {
			peak = max(peak, (small+large)/slots)
		}
	}
	assert.Less(t, peak, rampEnd)
	assert.Greater(t, large, 0.5*slots, "most of the slots still serve the largest model")
}
