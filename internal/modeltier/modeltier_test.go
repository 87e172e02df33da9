package modeltier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestAnswersAreKeptOrEscalatedToTheLargestModel(t *testing.T) {
	tiers := []Tier{{Model: "small"}, {Model: "mid"}, {Model: "large"}}
	base := Answer{Confidence: 30, Remaining: 10 * time.Second, TargetLatency: time.Second}
	for name, c := range map[string]struct {
		change func(*Answer)
		next   int
		ok     bool
	}{
		"low confidence":               {func(*Answer) {}, 2, true},
		"high confidence":              {func(a *Answer) { a.Confidence = 50 }, 0, false},
		"no confidence reported":       {func(a *Answer) { a.Confidence = ConfidenceUnknown }, 0, false},
		"from the largest model":       {func(a *Answer) { a.Tier = 2 }, 0, false},
		"no time is left":              {func(a *Answer) { a.Remaining = 100 * time.Millisecond }, 0, false},
		"half of the slots in use":     {func(a *Answer) { a.Utilization = 0.5 }, 2, true},
		"full":                         {func(a *Answer) { a.Utilization = 1.2 }, 0, false},
		"full and very low confidence": {func(a *Answer) { a.Utilization, a.Confidence = 1.2, 5 }, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			a := base
			c.change(&a)
			next, ok := Next(tiers, a)
			assert.Equal(t, c.ok, ok)
			assert.Equal(t, c.next, next)
		})
	}
}

// TestLoweringTheThresholdUnderLoadFreesSlots simulates a load at which the slots run
// out if every answer below maxThreshold is escalated: 40 requests per second to 100
// slots, where the small model occupies a slot for 0.3 s and the large one for 5 s.
func TestLoweringTheThresholdUnderLoadFreesSlots(t *testing.T) {
	const (
		slots    = 100.0
		perStep  = 4.0
		stepTime = 0.1
	)
	peakUtilization := func(adaptive bool) (utilization float64) {
		var small, large float64
		for step := range 600 {
			load := (small + large) / slots
			if !adaptive {
				load = 0
			}
			escalate := 0.0
			for confidence := range 100 {
				a := Answer{Confidence: confidence, Remaining: time.Minute, TargetLatency: time.Second, Utilization: load}
				if _, ok := Next([]Tier{{}, {}}, a); ok {
					escalate += 0.01
				}
			}
			small += perStep - small*stepTime/0.3
			large += perStep*escalate - large*stepTime/5
			if step >= 300 {
				utilization = max(utilization, (small+large)/slots)
			}
		}
		return utilization
	}
	assert.Greater(t, peakUtilization(false), 1.0, "without adapting to the load the slots run out")
	assert.Less(t, peakUtilization(true), rampEnd)
}
