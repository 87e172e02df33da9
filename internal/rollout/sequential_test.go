package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answersUntil draws answers with a bad rate until stop, at most limit of them.
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
		// stopped is the range of stopped runs.
		least, most int
		// meanBad bounds the mean number of bad answers until the stop.
		meanBad int
	}{
		{desc: "good version", rate: 0.02, answers: 2000, most: runs / 100},
		{desc: "version exactly at its limit", rate: limit, answers: 2000, most: runs / 100},
		{desc: "bad in half of its answers", rate: 0.5, answers: 200, least: runs, most: runs, meanBad: 10},
		{desc: "bad in a fifth of its answers", rate: 0.2, answers: 2000, least: runs, most: runs, meanBad: 30},
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
			require.GreaterOrEqual(t, stopped, test.least)
			require.LessOrEqual(t, stopped, test.most)
			require.LessOrEqual(t, bad, test.meanBad*runs+test.most*100)
		})
	}
}

func TestCusumFindsTheTurn(t *testing.T) {
	const limit, goodAnswers, maxBad = 0.05, 50_000, 60
	r := rand.New(rand.NewPCG(3, 4))
	var watch Cusum
	_, stopped := answersUntil(r, limit, goodAnswers, func(answer, _ Counts) bool { return watch.Add(answer, limit) })
	require.False(t, stopped, "a version at its limit is not stopped")
	total, stopped := answersUntil(r, 0.5, 1000, func(answer, _ Counts) bool { return watch.Add(answer, limit) })
	require.True(t, stopped)
	require.LessOrEqual(t, total.Bad, uint64(maxBad))
}

// Totals heard twice, out of order or from a restarted instance count once each.
func TestPoolCountsOnce(t *testing.T) {
	p := newPool()
	trial := Trial{Team: "shops", Ref: ref("2"), Rollout: "to-2"}
	a, restarted := source{entry: "a", epoch: 1}, source{entry: "a", epoch: 2}
	now := time.Now()
	p.set(trial, a, Counts{Good: 5, Bad: 1}, now)
	p.set(trial, a, Counts{Good: 9, Bad: 2}, now)
	p.set(trial, a, Counts{Good: 5, Bad: 1}, now)
	require.Equal(t, Counts{}, p.set(trial, a, Counts{Good: 9, Bad: 2}, now))
	p.set(trial, restarted, Counts{Good: 1}, now)
	require.Equal(t, Counts{Good: 10, Bad: 2}, p.totals[trial])
}
