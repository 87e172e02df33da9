package measure

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

func init() { Register(20, "fairness", measureFairness) }

const (
	// smallRate and floodRate are requests per second; the pool serves about
	// a tenth of the flood.
	smallRate = 2
	floodRate = 320

	maxTTFTRatio = 1.2
	minGoodput   = 0.95

	smallAccount settings.AccountID = "shops/small"
	largeAccount settings.AccountID = "shops/large"
)

// poolInstanceCounts are the numbers of instances with which the measure is run.
var poolInstanceCounts = []int{7, 8, 9}

// fairnessRun holds the results with one number of instances.
type fairnessRun struct {
	instanceCount     int
	alone, ours, fcfs *poolResult
}

// measureFairness reports the worst result over several numbers of instances.
func measureFairness(seed uint64) []Row {
	small := arrivals(smallAccount, smallRate, seed)
	flood := arrivals(largeAccount, floodRate, seed)
	runs := make([]fairnessRun, 0, len(poolInstanceCounts))
	for _, instanceCount := range poolInstanceCounts {
		fair := poolOptions{fair: true, instanceCount: instanceCount, declared: poolCapacity, slowdown: 1}
		plain := poolOptions{instanceCount: instanceCount, declared: poolCapacity, slowdown: 1}
		runs = append(runs, fairnessRun{
			instanceCount: instanceCount,
			alone:         runPool(fair, seed, small),
			ours:          runPool(fair, seed, small, flood),
			fcfs:          runPool(plain, seed, small, flood),
		})
	}
	slowest := slices.MaxFunc(runs, func(a, b fairnessRun) int { return cmp.Compare(a.ttftRatio(a.ours), b.ttftRatio(b.ours)) })
	lowest := slices.MinFunc(runs, func(a, b fairnessRun) int { return cmp.Compare(a.goodput(), b.goodput()) })
	return []Row{slowest.ttftRow(), lowest.goodputRow()}
}

// ttftRatio returns the small account's p95 time to first token relative to that
// without the flood.
func (f fairnessRun) ttftRatio(r *poolResult) float64 {
	return float64(r.smallP95()) / float64(f.alone.smallP95())
}

func (f fairnessRun) goodput() float64 { return float64(f.ours.tokens) / float64(f.fcfs.tokens) }

func (f fairnessRun) ttftRow() Row {
	ratio := f.ttftRatio(f.ours)
	return Row{
		Name:     "fairness, small client account's p95 time to first token under a flood",
		Baseline: fmt.Sprintf("first come, first served %s = %.0f x alone", round(f.fcfs.smallP95()), f.ttftRatio(f.fcfs)),
		Ours:     fmt.Sprintf("%s = %.3f x alone (%s)", round(f.ours.smallP95()), ratio, round(f.alone.smallP95())),
		Target:   fmt.Sprintf("<= %.1f x alone", maxTTFTRatio),
		Pass:     ratio <= maxTTFTRatio,
		Note: fmt.Sprintf("the worst of %v entry instances, which is %d; %d servers of %d slots, small %d/s, flood %d/s",
			poolInstanceCounts, f.instanceCount, poolServers, poolCapacity, smallRate, floodRate),
	}
}

func (f fairnessRun) goodputRow() Row {
	ratio := f.goodput()
	return Row{
		Name:     "fairness, goodput of the pool under a flood",
		Baseline: fmt.Sprintf("first come, first served %.0f tokens/s", f.fcfs.perSecond()),
		Ours:     fmt.Sprintf("%.0f tokens/s = %.3f x", f.ours.perSecond(), ratio),
		Target:   fmt.Sprintf(">= %.2f x", minGoodput),
		Pass:     ratio >= minGoodput,
		Note:     fmt.Sprintf("the worst of %v entry instances, which is %d", poolInstanceCounts, f.instanceCount),
	}
}

func (r *poolResult) smallP95() time.Duration { return percentile95(r.firstTokens[smallAccount]) }

func (r *poolResult) perSecond() float64 { return float64(r.tokens) / (runTime - warmUp).Seconds() }

func percentile95(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)*95/100]
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
