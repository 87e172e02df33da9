package serverspeed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// A server's slowest and fastest kinds must differ by activeRatio until the factors of a service take effect; they
	// stay in effect down to keptRatio. Differences below are those of load and of the sample.
	activeRatio = 2.0
	keptRatio   = 1.6
	// slowQuantile and fastQuantile are the servers that are compared: a few bad servers are not a slow kind.
	slowQuantile = 0.8
	fastQuantile = 0.3
	// minServers is the number of servers with a known speed from which a service is judged.
	minServers = 4
	// minWeight is the weight, in events, from which the speed of a server with a model is known.
	minWeight = 6.0
	// maxFactor bounds factors and their inverses.
	maxFactor = 8.0
	// neutralWeight is the weight, in events, of the assumption that a server is like the median one.
	neutralWeight = 8.0
)

// sample is what one instance observed of a server with a model.
type sample struct {
	// logTime is the mean of the natural logarithm of the seconds per event, normalized to an idle server.
	logTime float64
	// weight is the number of events, reduced by their age.
	weight float64
}

// serverSamples are the samples of one server, by model.
type serverSamples struct {
	server  process
	byModel map[modelHash][]sample
}

// View is what is known of the speeds of a service's servers. It is immutable; a nil *View knows nothing.
type View struct {
	factors map[process]float64
	// fastest is the lowest factor.
	fastest float64
	// timePerEvent is the time per event of the median server while it is idle, in seconds.
	timePerEvent map[modelHash]float64
	// ratio is the ratio between the slow and the fast servers.
	ratio float64
}

// newView returns the view of a service and the ratio between its slow and fast servers; wasActive is set if the factors were in
// effect before. The view is nil if the servers are not shown to differ, and the ratio zero if too few are known.
func newView(servers []serverSamples, wasActive bool) (view *View, ratio float64) {
	v := &View{factors: make(map[process]float64), timePerEvent: make(map[modelHash]float64)}
	known := make([]map[modelHash]sample, len(servers))
	byModel := make(map[modelHash][]sample)
	for i, s := range servers {
		known[i] = make(map[modelHash]sample)
		for model, samples := range s.byModel {
			if m := median(samples); m.weight >= minWeight {
				known[i][model] = m
				byModel[model] = append(byModel[model], m)
			}
		}
	}
	for model, samples := range byModel {
		for i := range samples {
			// Each server counts once, however much it serves.
			samples[i].weight = 1
		}
		v.timePerEvent[model] = math.Exp(median(samples).logTime)
	}
	var factors []float64
	for i, s := range servers {
		if factor, ok := v.factorOf(known[i]); ok {
			v.factors[s.server] = factor
			factors = append(factors, factor)
		}
	}
	if len(factors) < minServers {
		return nil, 0
	}
	slices.Sort(factors)
	v.fastest = factors[0]
	v.ratio = quantile(factors, slowQuantile) / quantile(factors, fastQuantile)
	if v.ratio < activeRatio && !(wasActive && v.ratio >= keptRatio) {
		return nil, v.ratio
	}
	return v, v.ratio
}

// factorOf returns the factor of a server with known speeds by model; ok is false if there are none.
func (v *View) factorOf(known map[modelHash]sample) (factor float64, ok bool) {
	var sum, weight float64
	for model, s := range known {
		sum += s.weight * (s.logTime - math.Log(v.timePerEvent[model]))
		weight += s.weight
	}
	if weight == 0 {
		return 1, false
	}
	limit := math.Log(maxFactor)
	return math.Exp(min(limit, max(-limit, sum/(weight+neutralWeight)))), true
}

// factor returns how many times as long as the median server a server takes; 1 if that is unknown.
func (v *View) factor(server process) float64 {
	if v == nil {
		return 1
	}
	if factor, known := v.factors[server]; known {
		return factor
	}
	return 1
}

// eventTime returns the time per event of a model at the median server with a fraction of its slots in use; ok is false if
// it is unknown.
func (v *View) eventTime(model modelHash, utilization float64) (time.Duration, bool) {
	if v == nil {
		return 0, false
	}
	seconds, known := v.timePerEvent[model]
	return time.Duration(seconds * loadFactor(utilization) * float64(time.Second)), known
}

// median returns the weighted median of the samples with the sum of their weights. One instance that is slow itself, or reports
// nonsense, is outweighed by the others.
func median(samples []sample) sample {
	sorted := slices.SortedFunc(slices.Values(samples), func(a, b sample) int { return cmp.Compare(a.logTime, b.logTime) })
	total := 0.0
	for _, s := range sorted {
		total += s.weight
	}
	sum := 0.0
	for _, s := range sorted {
		sum += s.weight
		if 2*sum >= total {
			return sample{logTime: s.logTime, weight: total}
		}
	}
	return sample{}
}

// quantile returns a quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
