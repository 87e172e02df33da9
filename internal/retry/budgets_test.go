package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
)

// TestRequestsOfOneServiceFundNoRetriesOfAnother guards against retries that pile up at a
// failing service beyond its own requests, paid for by the requests of a healthy one.
func TestRequestsOfOneServiceFundNoRetriesOfAnother(t *testing.T) {
	const ratio, requests = 0.9, 100
	b := NewBudgets(Limit{Ratio: ratio, Slack: 10, Window: 10 * time.Second}, func() int { return 1 })
	retries := 0
	for range requests {
		b.Request("failing")
		for range 3 {
			b.Request("healthy")
		}
		for range 2 {
			if b.Take("failing") {
				retries++
			}
		}
	}
	require.LessOrEqual(t, float64(retries), ratio*requests+10)
}

// arrivals are the times at which requests or retries of one service arrived, in order.
type arrivals []time.Duration

// in returns the number of arrivals from a time on, before another one.
func (a arrivals) in(from, to time.Duration) float64 {
	first, _ := slices.BinarySearch(a, from)
	last, _ := slices.BinarySearch(a, to)
	return float64(last - first)
}

// assertKept checks the limit in every window: the requests are those of the window, of
// the one before it or of the one half a window before it, whichever are the most.
func (l Limit) assertKept(t *testing.T, requests, retries arrivals) {
	t.Helper()
	for _, from := range retries {
		counted := max(requests.in(from, from+l.Window), requests.in(from-l.Window/2, from+l.Window/2), requests.in(from-l.Window, from))
		if !assert.LessOrEqual(t, retries.in(from, from+l.Window), l.Ratio*counted+l.Slack, "retries from %s on, for %g requests", from, counted) {
			return
		}
	}
}

// TestFleetKeepsTheRetryLimitThroughRestarts guards against an allowance for bursts that
// each instance has for itself: the sum grows with the fleet and again with each restart.
func TestFleetKeepsTheRetryLimitThroughRestarts(t *testing.T) {
	for _, fleet := range []struct {
		instances     int
		slack         float64
		requestsPerMS float64
	}{
		{instances: 9, slack: 58, requestsPerMS: 0.14},
		{instances: 68, slack: 176, requestsPerMS: 0.44},
		{instances: 195, slack: 430, requestsPerMS: 0.62},
		{instances: 1200, slack: 430, requestsPerMS: 0.62},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d instances, seed %d", fleet.instances, seed), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					limit := Limit{Ratio: 0.9, Slack: fleet.slack, Window: 10 * time.Second}
					rng := rand.New(rand.NewPCG(seed, 7))
					budgets := make([]*Budgets, fleet.instances)
					restart := func(share float64) {
						for i := range budgets {
							if rng.Float64() < share {
								budgets[i] = NewBudgets(limit, func() int { return fleet.instances })
							}
						}
					}
					restart(1)
					var requests, retries arrivals
					for now := time.Duration(0); now < 40*time.Second; now += time.Millisecond {
						time.Sleep(time.Millisecond)
						if now%(2*time.Second) == 0 {
							restart(1 - rng.Float64()/2)
						}
						// The traffic rises and falls; from 10 s on all attempts fail.
						for n := fleet.requestsPerMS * (0.5 + float64(now/(7*time.Second)%2)); n > rng.Float64(); n-- {
							b := budgets[rng.IntN(len(budgets))]
							b.Request("models")
							requests = append(requests, now)
							for range 2 {
								if now >= 10*time.Second && b.Take("models") {
									retries = append(retries, now)
								}
							}
						}
					}
					assert.NotEmpty(t, retries)
					limit.assertKept(t, requests, retries)
				})
			})
		}
	}
}

// TestSteadyRetriesAreNotDenied checks that the budget allows what healthy traffic needs:
// a third of the requests are repeated at a larger model, and a server with ten of them in
// flight fails now and then.
func TestSteadyRetriesAreNotDenied(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := NewBudgets(Limit{Ratio: 0.9, Slack: 54, Window: 10 * time.Second}, func() int { return 7 })
		denied := 0
		for n := range 2000 {
			time.Sleep(80 * time.Millisecond)
			b.Request("models")
			if n%3 == 0 && !b.Take("models") {
				denied++
			}
			if n > 100 && n%300 == 0 {
				for range 10 {
					if !b.Take("models") {
						denied++
					}
				}
			}
		}
		assert.Zero(t, denied)
	})
}
