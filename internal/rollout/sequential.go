package rollout

import "math"

// Counts is the number of rated answers.
type Counts struct {
	Good uint64 `cbor:"1,keyasint" json:"good"`
	Bad  uint64 `cbor:"2,keyasint" json:"bad"`
}

// Total is the number of rated answers.
func (c Counts) Total() uint64 { return c.Good + c.Bad }

// BadRate is the fraction of bad answers; zero without any answer.
func (c Counts) BadRate() float64 {
	if c.Total() == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total())
}

func (c Counts) minus(o Counts) Counts { return Counts{Good: c.Good - o.Good, Bad: c.Bad - o.Bad} }

const (
	// falseStopChance bounds the chance that a version whose bad rate is within
	// its limit is ever stopped by the test of a roll-out.
	falseStopChance = 0.005
	// cusumThreshold bounds false stops of the watch that never ends: the mean
	// number of answers between two is at least its exponential.
	cusumThreshold = 25.0
	// defaultBadRate is the limit where a roll-out names none.
	defaultBadRate = 0.05
	// leastBadRate and greatestBadRate keep the likelihood ratios finite.
	leastBadRate    = 0.001
	greatestBadRate = 0.95
)

// alternatives are the bad rates tested against a limit, as fractions of the way
// from the limit to one.
var alternatives = [...]float64{1.0 / 16, 1.0 / 8, 1.0 / 4, 1.0 / 2, 3.0 / 4, 0.95}

// clampBadRate returns a limit with which the tests can work.
func clampBadRate(limit float64) float64 {
	if limit <= 0 {
		limit = defaultBadRate
	}
	return min(max(limit, leastBadRate), greatestBadRate)
}

// logRatio is the log likelihood ratio of the counts between the bad rate of an
// alternative and the limit.
func logRatio(c Counts, limit, alternative float64) float64 {
	rate := limit + (1-limit)*alternative
	return float64(c.Bad)*math.Log(rate/limit) + float64(c.Good)*math.Log((1-rate)/(1-limit))
}

// Exceeds reports whether the evidence shows that the bad rate is above the
// limit. It is a mixture sequential probability ratio test: it may be asked
// after every answer, in any grouping, and by Ville's inequality is ever wrong
// with a chance of at most falseStopChance.
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

// Cusum watches for a version that turns bad after many good answers. The zero
// value is ready for use.
type Cusum struct {
	sums [len(alternatives)]float64
}

// Add takes in the answers since the last call and reports whether the bad rate
// rose above the limit.
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
	// baselineSamples is what must be known of a version before it is watched
	// without a limit from a roll-out.
	baselineSamples = 200
	// baselineMemory is the number of answers after which old ones count half.
	baselineMemory = 20_000
	// baselineFactor and baselineMargin set the limit above the usual bad rate.
	baselineFactor = 1.5
	baselineMargin = 0.03
)

// Baseline learns the usual bad rate of a version. The zero value is ready for use.
type Baseline struct {
	good, bad float64
}

// Limit is the bad rate above which the version has turned bad; ok is false
// while too little is known.
func (b *Baseline) Limit() (limit float64, ok bool) {
	total := b.good + b.bad
	if total < baselineSamples {
		return 0, false
	}
	return clampBadRate(b.bad/total*baselineFactor + baselineMargin), true
}

// Add takes in answers.
func (b *Baseline) Add(c Counts) {
	b.good += float64(c.Good)
	b.bad += float64(c.Bad)
	if b.good+b.bad > baselineMemory {
		b.good /= 2
		b.bad /= 2
	}
}
