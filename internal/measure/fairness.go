package measure

import (
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

func measureFairness(seed uint64) []Row {
	small := arrivals(smallAccount, smallRate, seed)
	flood := arrivals(largeAccount, floodRate, seed)
	fair := poolOptions{fair: true, declared: poolCapacity, slowdown: 1}
	plain := poolOptions{declared: poolCapacity, slowdown: 1}

	alone := runPool(fair, seed, small)
	ours := runPool(fair, seed, small, flood)
	fcfs := runPool(plain, seed, small, flood)
	return []Row{fairnessRow(alone, ours, fcfs), goodputRow(ours, fcfs)}
}

func fairnessRow(alone, ours, fcfs *poolResult) Row {
	base := percentile95(alone.firstTokens[smallAccount])
	p95 := percentile95(ours.firstTokens[smallAccount])
	plain := percentile95(fcfs.firstTokens[smallAccount])
	ratio := float64(p95) / float64(base)
	return Row{
		Name:     "fairness, small client account's p95 time to first token under a flood",
		Baseline: fmt.Sprintf("first come, first served %s = %.1f x alone", round(plain), float64(plain)/float64(base)),
		Ours:     fmt.Sprintf("%s = %.3f x alone (%s)", round(p95), ratio, round(base)),
		Target:   fmt.Sprintf("<= %.1f x alone", maxSlower),
		Pass:     ratio <= maxSlower,
		Note: fmt.Sprintf("%d servers of %d places, %d entries, small %d/s, flood %d/s",
			poolServers, poolCapacity, poolEntries, smallRate, floodRate),
	}
}

func goodputRow(ours, fcfs *poolResult) Row {
	ratio := float64(ours.tokens) / float64(fcfs.tokens)
	perSecond := (runTime - warmUp).Seconds()
	return Row{
		Name:     "fairness, goodput of the pool under a flood",
		Baseline: fmt.Sprintf("first come, first served %.0f tokens/s", float64(fcfs.tokens)/perSecond),
		Ours:     fmt.Sprintf("%.0f tokens/s = %.3f x", float64(ours.tokens)/perSecond, ratio),
		Target:   fmt.Sprintf(">= %.2f x", minGoodput),
		Pass:     ratio >= minGoodput,
	}
}

func percentile95(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)*95/100]
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
