package upgrade

import (
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/basilrail/basilrail/internal/dispatch"
)

const (
	// baselineSamples is the number of latest answers that a baseline holds, and
	// minBaselineSamples that from which it is used.
	baselineSamples    = 64
	minBaselineSamples = 8
	// slowQuantile and verySlowQuantile are the quantiles of the old release's latencies
	// above which an answer is slow or very slow. A slower release moves the whole
	// distribution; one that is slow for some requests only lengthens its tail.
	slowQuantile     = 0.75
	verySlowQuantile = 0.9
	// outlierFactor is the multiple of the median above which an answer is an outlier: a
	// bad release answers several times slower.
	outlierFactor = 3.5
	// maxBaselines bounds the kinds of answers for which a baseline is kept.
	maxBaselines = 512
	// maxSharedKinds bounds the kinds of answers in a message to the peers.
	maxSharedKinds = 64
	// baseMilliseconds and tokensPerMillisecond relate a prompt's length to the time
	// to the first event. Only the ratio of the base time to the time per token matters,
	// because the baseline is learned.
	baseMilliseconds     = 30.0
	tokensPerMillisecond = 60.0
)

// answerKind identifies answers with comparable latencies.
type answerKind struct {
	service, route, model string
}

// latencyLimits are the ratios above which an answer is slow, very slow or an outlier.
type latencyLimits struct {
	slow, verySlow, outlier float64
}

// latencyBaseline holds the latest latencies of one kind of answers, as ratios to the time
// expected from the prompt's length.
type latencyBaseline struct {
	samples []float64
	next    int
	// limits are valid unless changed is set.
	limits  latencyLimits
	changed bool
	// unshared is the number of this instance's latest answers that the peers don't have yet.
	unshared int
	// own holds this instance's latest answers.
	own []float64
}

// sharedSamples are latencies of one kind of answers at one instance, for the baselines of its
// peers: in a large fleet an instance has few answers of a kind.
type sharedSamples struct {
	Route string `cbor:"1,keyasint"`
	Model string `cbor:"2,keyasint,omitempty"`
	// Samples are ratios to the expected time.
	Samples []float64 `cbor:"3,keyasint"`
}

// add adds a sample and drops the oldest one of baselineSamples.
func (b *latencyBaseline) add(ratio float64) {
	b.changed = true
	if len(b.samples) < baselineSamples {
		b.samples = append(b.samples, ratio)
		return
	}
	b.samples[b.next] = ratio
	b.next = (b.next + 1) % baselineSamples
}

// current returns the limits; ok is false while there are too few samples.
func (b *latencyBaseline) current() (limits latencyLimits, ok bool) {
	if len(b.samples) < minBaselineSamples {
		return latencyLimits{}, false
	}
	if b.changed {
		sorted := slices.Sorted(slices.Values(b.samples))
		at := func(quantile float64) float64 { return sorted[int(quantile*float64(len(sorted)-1))] }
		b.limits = latencyLimits{slow: at(slowQuantile), verySlow: at(verySlowQuantile), outlier: outlierFactor * at(0.5)}
		b.changed = false
	}
	return b.limits, true
}

// baselines holds the baselines of all kinds of answers. They are learned at all times, so
// that an upgrade finds them. It is not safe for concurrent use.
type baselines struct {
	byKind *lru.Cache[answerKind, *latencyBaseline]
}

func newBaselines() *baselines {
	// The only error is a size below one.
	cache, _ := lru.New[answerKind, *latencyBaseline](maxBaselines)
	return &baselines{byKind: cache}
}

func kindOf(o dispatch.Observation) answerKind {
	return answerKind{service: o.Service, route: o.Route, model: o.Model}
}

// latencyRatio returns an answer's latency as a ratio to the one expected from its prompt.
func latencyRatio(o dispatch.Observation) float64 {
	expected := baseMilliseconds + float64(o.InputTokens)/tokensPerMillisecond
	return float64(o.Latency) / float64(time.Millisecond) / expected
}

// learn adds an answer of a release in use.
func (b *baselines) learn(o dispatch.Observation) {
	if o.Failed || o.GivenUp || o.Latency == 0 {
		return
	}
	baseline := b.of(kindOf(o))
	ratio := latencyRatio(o)
	baseline.add(ratio)
	baseline.own = append(baseline.own, ratio)
	baseline.own = baseline.own[max(0, len(baseline.own)-baselineSamples):]
	baseline.unshared = min(baseline.unshared+1, len(baseline.own))
}

// share returns at most a number of new samples of each kind of a service's answers, for the
// peers.
func (b *baselines) share(service string, most int) []sharedSamples {
	var list []sharedSamples
	for _, kind := range b.byKind.Keys() {
		baseline, ok := b.byKind.Peek(kind)
		if !ok || kind.service != service || baseline.unshared == 0 || most <= 0 || len(list) >= maxSharedKinds {
			continue
		}
		latest := baseline.own[len(baseline.own)-min(most, baseline.unshared):]
		baseline.unshared = 0
		list = append(list, sharedSamples{Route: kind.route, Model: kind.model, Samples: slices.Clone(latest)})
	}
	return list
}

// merge adds samples of a peer.
func (b *baselines) merge(service string, list []sharedSamples) {
	for _, shared := range list {
		baseline := b.of(answerKind{service: service, route: shared.Route, model: shared.Model})
		for _, sample := range shared.Samples[:min(len(shared.Samples), baselineSamples)] {
			baseline.add(sample)
		}
	}
}

// of returns the baseline of a kind of answers, a new one if there is none.
func (b *baselines) of(kind answerKind) *latencyBaseline {
	baseline, ok := b.byKind.Get(kind)
	if !ok {
		baseline = &latencyBaseline{}
		b.byKind.Add(kind, baseline)
	}
	return baseline
}

// compare returns the counts of one answer. Its latency counts only if there is a baseline
// and, if the attempt was given up, if that took longer than the slow quantile: the answer
// would have come later still.
func (b *baselines) compare(o dispatch.Observation) answerCounts {
	counts := answerCounts{Answers: 1}
	if o.Failed {
		counts.Failed = 1
		return counts
	}
	baseline, ok := b.byKind.Get(kindOf(o))
	if !ok {
		return counts.unless(o.GivenUp)
	}
	limits, ok := baseline.current()
	ratio := latencyRatio(o)
	if !ok || o.GivenUp && ratio <= limits.slow {
		return counts.unless(o.GivenUp)
	}
	count := func(exceeded bool) uint64 {
		if exceeded {
			return 1
		}
		return 0
	}
	counts.Timed = 1
	counts.Slow, counts.VerySlow, counts.Outliers = count(ratio > limits.slow), count(ratio > limits.verySlow), count(ratio > limits.outlier)
	return counts
}
