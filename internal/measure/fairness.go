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

	maxSlower  = 1.2
	minGoodput = 0.95

	smallAccount settings.AccountID = "shops/small"
	largeAccount settings.AccountID = "shops/large"
)

// poolEntries are the numbers of entry instances that are run.
var poolEntries = []int{7, 8, 9}

// fairnessRun is the runs with one number of entries.
type fairnessRun struct {
	entries           int
	alone, ours, fcfs *poolResult
}

// measureFairness reports the worst of several numbers of entries.
func measureFairness(seed uint64) []Row {
	small := arrivals(smallAccount, smallRate, seed)
	flood := arrivals(largeAccount, floodRate, seed)
	runs := make([]fairnessRun, 0, len(poolEntries))
	for _, entries := range poolEntries {
		fair := poolOptions{fair: true, entries: entries, declared: poolCapacity, slowdown: 1}
		plain := poolOptions{entries: entries, declared: poolCapacity, slowdown: 1}
		runs = append(runs, fairnessRun{
			entries: entries,
			alone:   runPool(fair, seed, small),
			ours:    runPool(fair, seed, small, flood),
			fcfs:    runPool(plain, seed, small, flood),
		})
	}
	slowest := slices.MaxFunc(runs, func(a, b fairnessRun) int { return cmp.Compare(a.slower(a.ours), b.slower(b.ours)) })
	lowest := slices.MinFunc(runs, func(a, b fairnessRun) int { return cmp.Compare(a.goodput(), b.goodput()) })
	return []Row{slowest.timeRow(), lowest.goodputRow()}
}

// slower is the small account's p95 time to first token against alone.
func (f fairnessRun) slower(r *poolResult) float64 {
	return float64(r.smallP95()) / float64(f.alone.smallP95())
}

func (f fairnessRun) goodput() float64 { return float64(f.ours.tokens) / float64(f.fcfs.tokens) }

func (f fairnessRun) timeRow() Row {
	ratio := f.slower(f.ours)
	return Row{
		Name:     "fairness, small client account's p95 time to first token under a flood",
		Baseline: fmt.Sprintf("first come, first served %s = %.0f x alone", round(f.fcfs.smallP95()), f.slower(f.fcfs)),
		Ours:     fmt.Sprintf("%s = %.3f x alone (%s)", round(f.ours.smallP95()), ratio, round(f.alone.smallP95())),
		Target:   fmt.Sprintf("<= %.1f x alone", maxSlower),
		Pass:     ratio <= maxSlower,
		Note: fmt.Sprintf("the worst of %v entries, which is %d; %d servers of %d places, small %d/s, flood %d/s",
			poolEntries, f.entries, poolServers, poolCapacity, smallRate, floodRate),
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
		Note:     fmt.Sprintf("the worst of %v entries, which is %d", poolEntries, f.entries),
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
