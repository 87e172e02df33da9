package rollout

import "math"

// Counts are the numbers of good and of bad rated answers.
type Counts struct {
	Good uint64 `cbor:"1,keyasint" json:"good"`
	Bad  uint64 `cbor:"2,keyasint" json:"bad"`
}

// Total returns the number of rated answers.
func (c Counts) Total() uint64 { return c.Good + c.Bad }

// BadRate returns the fraction of bad answers; zero if there are no answers.
func (c Counts) BadRate() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

func (c Counts) minus(o Counts) Counts { return Counts{Good: c.Good - o.Good, Bad: c.Bad - o.Bad} }

const (
	// falseStopChance bounds the probability that a version whose bad rate is within
	// its limit is ever stopped by the test of a rollout.
	falseStopChance = 0.005
	// cusumThreshold bounds the false stops of the CUSUM, which runs without end: the
	// mean number of answers between two of them is at least exp(cusumThreshold).
	cusumThreshold = 25.0
	// defaultBadRate is the limit of a rollout without a bad rate.
	defaultBadRate = 0.05
	// minBadRate and maxBadRate keep the likelihood ratios finite.
	minBadRate = 0.001
	maxBadRate = 0.95
)

// alternatives are the bad rates tested against a limit, as fractions of the way
// from the limit to one.
var alternatives = [...]float64{1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2, 3.0 / 4, 0.95}

// clampBadRate returns the default for a limit that is not set, and clamps others to
// the range that keeps the tests finite.
func clampBadRate(limit float64) float64 {
	if limit <= 0 {
		limit = defaultBadRate
	}
	return min(max(limit, minBadRate), maxBadRate)
}

// logRatio returns the log likelihood ratio of the counts between the bad rate of an
// alternative and the limit.
func logRatio(c Counts, limit, alternative float64) float64 {
	rate := limit + (1-limit)*alternative
	return float64(c.Bad)*math.Log(rate/limit) + float64(c.Good)*math.Log((1-rate)/(1-limit))
}

// Exceeds reports whether the evidence shows that the bad rate is above the
// limit. It is a mixture sequential probability ratio test: it may be evaluated after
// every answer or any group of answers, and by Ville's inequality the probability of
// ever stopping a version within its limit is at most falseStopChance.
func Exceeds(c Counts, limit float64) bool {
	limit = clampBadRate(limit)
	highest := math.Inf(-1)
	for _, a := range alternatives {
		highest = max(highest, logRatio(c, limit, a))
	}
	sum := 0.0
	for _, a := range alternatives {
		sum += math.Exp(logRatio(c, limit, a) - highest)
	}
	mixture := highest + math.Log(sum/float64(len(alternatives)))
	return mixture >= -math.Log(falseStopChance)
}

// Cusum detects a version that turns bad after many good answers (CUSUM test). The
// zero value is ready for use.
type Cusum struct {
	sums [len(alternatives)]float64
}

// Add adds the answers since the last call and reports whether the bad rate rose
// above the limit.
func (w *Cusum) Add(c Counts, limit float64) bool {
	limit = clampBadRate(limit)
	exceeded := false
	for i, a := range alternatives {
		w.sums[i] = max(0, w.sums[i]+logRatio(c, limit, a))
		exceeded = exceeded || w.sums[i] >= cusumThreshold
	}
	return exceeded
}

const (
	// baselineSamples is the number of answers needed before a version is tested
	// without a limit from a rollout.
	baselineSamples = 200
	// baselineWindow is the number of answers above which the counts are halved, so
	// that old answers lose weight.
	baselineWindow = 20_000
	// baselineFactor and baselineMargin define the limit relative to the baseline bad
	// rate.
	baselineFactor = 1.5
	baselineMargin = 0.03
)

// Baseline estimates the usual bad rate of a version. The zero value is ready for
// use.
type Baseline struct {
	good, bad float64
}

// Limit returns the bad rate above which the version has turned bad; ok is false
// before baselineSamples answers.
func (b *Baseline) Limit() (limit float64, ok bool) {
	total := b.good + b.bad
	if total < baselineSamples {
		return 0, false
	}
	return clampBadRate(b.bad/total*baselineFactor + baselineMargin), true
}

// Add adds answers.
func (b *Baseline) Add(c Counts) {
	b.good += float64(c.Good)
	b.bad += float64(c.Bad)
	if b.good+b.bad > baselineWindow {
		b.good /= 2
		b.bad /= 2
	}
}
