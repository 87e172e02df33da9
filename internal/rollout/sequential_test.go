package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answersUntil draws at most limit answers of a bad rate, until stop returns true.
func answersUntil(r *rand.Rand, rate float64, limit int, stop func(answer, total Counts) bool) (Counts, bool) {
	var total Counts
	for range limit {
		answer := Counts{Good: 1}
		if r.Float64() < rate {
			answer = Counts{Bad: 1}
		}
		total = Counts{Good: total.Good + answer.Good, Bad: total.Bad + answer.Bad}
		if stop(answer, total) {
			return total, true
		}
	}
	return total, false
}

func TestSequentialTestBounds(t *testing.T) {
	const (
		runs  = 500
		limit = 0.05
	)
	tests := []struct {
		desc string
		rate float64
		// answers is the length of each run.
		answers int
		// minStopped and maxStopped bound the number of stopped runs.
		minStopped, maxStopped int
		// maxMeanBad bounds the mean number of bad answers until the stop.
		maxMeanBad int
	}{
		{desc: "good version", rate: 0.02, answers: 2000, maxStopped: runs / 100},
		{desc: "version exactly at its limit", rate: limit, answers: 2000, maxStopped: runs / 100},
		{desc: "bad in half of its answers", rate: 0.5, answers: 200, minStopped: runs, maxStopped: runs, maxMeanBad: 10},
		{desc: "bad in a fifth of its answers", rate: 0.2, answers: 2000, minStopped: runs, maxStopped: runs, maxMeanBad: 30},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			stopped, bad := 0, 0
			for range runs {
				total, ok := answersUntil(r, test.rate, test.answers, func(_, total Counts) bool { return Exceeds(total, limit) })
				if ok {
					stopped++
					bad += int(total.Bad)
				}
			}
			require.GreaterOrEqual(t, stopped, test.minStopped)
			require.LessOrEqual(t, stopped, test.maxStopped)
			require.LessOrEqual(t, bad, test.maxMeanBad*runs+test.maxStopped*100)
		})
	}
}

func TestCusumDetectsAVersionThatTurnsBad(t *testing.T) {
	const limit, goodAnswers, maxBad = 0.05, 50_000, 60
	r := rand.New(rand.NewPCG(3, 4))
	var cusum Cusum
	_, stopped := answersUntil(r, limit, goodAnswers, func(answer, _ Counts) bool { return cusum.Add(answer, limit) })
	require.False(t, stopped, "a version at its limit is not stopped")
	total, stopped := answersUntil(r, 0.5, 1000, func(answer, _ Counts) bool { return cusum.Add(answer, limit) })
	require.True(t, stopped)
	require.LessOrEqual(t, total.Bad, uint64(maxBad))
}

// Totals that are received twice, out of order or from a restarted instance count once
// each.
func TestEvidenceStoreCountsTotalsOnce(t *testing.T) {
	e := newEvidenceStore()
	key := EvidenceKey{Team: "shops", Ref: ref("2"), Rollout: "to-2"}
	a, restarted := source{instance: "a", epoch: 1}, source{instance: "a", epoch: 2}
	now := time.Now()
	e.update(key, a, Counts{Good: 5, Bad: 1}, now)
	e.update(key, a, Counts{Good: 9, Bad: 2}, now)
	e.update(key, a, Counts{Good: 5, Bad: 1}, now)
	require.Equal(t, Counts{}, e.update(key, a, Counts{Good: 9, Bad: 2}, now))
	e.update(key, restarted, Counts{Good: 1}, now)
	require.Equal(t, Counts{Good: 10, Bad: 2}, e.totals[key])
}
