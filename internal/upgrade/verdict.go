package upgrade

import (
	"fmt"
	"math"
	"strings"
)

const (
	// stopThreshold is the log likelihood ratio at which the new release is bad. Within
	// the limits a false stop comes once in exp(7), about 1,100, answers at most.
	stopThreshold = 7.0
	// decisiveExcess is how much the badness must exceed a criterion's leaning for the new release
	// to be bad before the deadline.
	decisiveExcess = 5.0
	// suspicionThreshold is the log likelihood ratio from which requests don't move to the
	// new release: about two failures in a row.
	suspicionThreshold = 3.0
	// priorWeight is the number of answers for which a criterion's usual rate counts in
	// the rate of the old release.
	priorWeight = 5.0
	// minRateDifference is the least difference between the rates of a bad release and of
	// the old one.
	minRateDifference = 0.25
	// maxRate keeps the likelihood ratios finite.
	maxRate = 0.95
	// mainRouteShare is the share of the old release's answers from which a route counts by
	// itself for the badness.
	mainRouteShare = 0.15
	// minOldAnswers is the number of the old release's answers from which the rate of
	// requests is known.
	minOldAnswers = 20
)

// alternatives are the rates tested against a limit, as fractions of the way from the
// limit to one.
var alternatives = [...]float64{1.0 / 4, 1.0 / 2, 3.0 / 4}

// criterion is one way in which a release can be worse than the old one.
type criterion struct {
	name string
	// of returns the bad answers and all that the criterion judges.
	of func(c answerCounts) (bad, all uint64)
	// usual is the bad rate of the old release while little is known of it, and typical
	// that of a bad release.
	usual, typical float64
	// canaryMargin and moveMargin are how much the bad rate may exceed the old release's
	// in the canary and while requests move. Then the load moves to the new servers,
	// which raises the latencies there.
	canaryMargin, moveMargin float64
	// isQuantile is set if it counts latencies above a quantile of the old release's, which
	// any rise of the load exceeds.
	isQuantile bool
	// leaning is the badness from which the evidence is not good: higher for latencies,
	// whose quantiles come from few samples.
	leaning float64
}

// failureCriterion is the index of the criterion of failures.
const failureCriterion = 0

var criteria = [...]criterion{
	{
		name: "failures", of: func(c answerCounts) (bad, all uint64) { return c.Failed, c.Answers },
		usual: 0.03, typical: 0.3, canaryMargin: 0.07, moveMargin: 0.07, leaning: 3.5,
	},
	{
		name: "slow answers", of: func(c answerCounts) (bad, all uint64) { return c.Slow, c.Timed },
		usual: 1 - slowQuantile, typical: 0.6, canaryMargin: 0.12, moveMargin: 0.3, leaning: 4.5, isQuantile: true,
	},
	{
		name: "outliers", of: func(c answerCounts) (bad, all uint64) { return c.Outliers, c.Timed },
		usual: 0.03, typical: 0.3, canaryMargin: 0.07, moveMargin: 0.2, leaning: 4.0,
	},
	{
		name: "very slow answers", of: func(c answerCounts) (bad, all uint64) { return c.VerySlow, c.Timed },
		usual: 1 - verySlowQuantile, typical: 0.35, canaryMargin: 0.1, moveMargin: 0.25, leaning: 4.5, isQuantile: true,
	},
}

// rate returns the bad rate of the old release's answers.
func (k *criterion) rate(old answerCounts) float64 {
	bad, all := k.of(old)
	return min((float64(bad)+priorWeight*k.usual)/(float64(all)+priorWeight), maxRate)
}

// acceptableRate returns the bad rate that a release as good as the old one may have: at least
// the usual one, because the old release may have failed seldom by chance.
func (k *criterion) acceptableRate(old answerCounts) float64 { return max(k.rate(old), k.usual) }

// limit returns the bad rate up to which the new release is good.
func (k *criterion) limit(old answerCounts, moving bool) float64 {
	margin := k.canaryMargin
	if moving {
		margin = k.moveMargin
	}
	return min(k.acceptableRate(old)+margin, maxRate)
}

// logRatio returns the log likelihood ratio of answers between two bad rates.
func (k *criterion) logRatio(c answerCounts, rate, otherRate float64) float64 {
	bad, all := k.of(c)
	return float64(bad)*math.Log(rate/otherRate) + float64(all-bad)*math.Log((1-rate)/(1-otherRate))
}

// badness returns the log likelihood ratio of the new release's answers between a bad
// release and one like the old one.
func (k *criterion) badness(newer, old answerCounts) float64 {
	rate := k.acceptableRate(old)
	bad := min(max(k.typical, rate+minRateDifference), (1+maxRate)/2)
	return k.logRatio(newer, bad, rate)
}

// sequentialTest holds the sums of CUSUM tests of one criterion against the alternatives.
// Unlike totals they also detect a release that turns bad after many good answers.
type sequentialTest [len(alternatives)]float64

// add adds new answers and returns the highest sum.
func (t *sequentialTest) add(k *criterion, answers answerCounts, limit float64) float64 {
	highest := 0.0
	for i, fraction := range alternatives {
		t[i] = max(0, t[i]+k.logRatio(answers, limit+(1-limit)*fraction, limit))
		highest = max(highest, t[i])
	}
	return highest
}

// routeCounts are the counts of answers by route and release.
type routeCounts map[evidenceKey]answerCounts

// withTotals adds the sums over all routes, with an empty route.
func (r routeCounts) withTotals() routeCounts {
	for _, v := range []variant{variantOld, variantNew} {
		var all answerCounts
		for key, counts := range r {
			if key.Variant == v {
				all = all.plus(counts)
			}
		}
		r[evidenceKey{Variant: v}] = all
	}
	return r
}

// old returns the counts of the old release on a route.
func (r routeCounts) old(route string) answerCounts { return r[evidenceKey{Route: route}] }

// verdict judges the new release on all routes together and on each route. The zero value
// is ready for use.
type verdict struct {
	// seen are the counts judged so far.
	seen  routeCounts
	tests map[evidenceKey]*[len(criteria)]sequentialTest
	// reason names what the release is bad at; empty if it is not bad.
	reason string
	// suspicion is the highest sum of all tests.
	suspicion float64
}

// update judges the answers since the last call. If requests are packed onto few servers
// (isPacked), the quantiles of latencies are no evidence.
func (v *verdict) update(counts routeCounts, moving, isPacked bool) {
	if v.seen == nil {
		v.seen, v.tests = make(routeCounts), make(map[evidenceKey]*[len(criteria)]sequentialTest)
	}
	v.suspicion = 0
	for key, now := range counts {
		if key.Variant != variantNew {
			continue
		}
		tests := v.tests[key]
		if tests == nil {
			tests = &[len(criteria)]sequentialTest{}
			v.tests[key] = tests
		}
		answers := now.minus(v.seen[key])
		v.seen[key] = now
		for i := range criteria {
			k := &criteria[i]
			if isPacked && k.isQuantile {
				tests[i] = sequentialTest{}
				continue
			}
			sum := tests[i].add(k, answers, k.limit(counts.old(key.Route), moving))
			v.suspicion = max(v.suspicion, sum)
			if sum >= stopThreshold && v.reason == "" {
				v.reason = k.name + " on " + key.name()
			}
		}
	}
}

// summary returns the bad answers and all answers of the new release, and those of the old one
// in parentheses, by criterion.
func (r routeCounts) summary() string {
	var parts []string
	for i := range criteria {
		k := &criteria[i]
		bad, all := k.of(r[evidenceKey{Variant: variantNew}])
		oldBad, oldAll := k.of(r.old(""))
		parts = append(parts, fmt.Sprintf("%s %d/%d (%d/%d)", k.name, bad, all, oldBad, oldAll))
	}
	return strings.Join(parts, ", ")
}

// leanBad reports whether the badness by any criterion is at least its leaning, on all routes
// together or on a main route.
func (r routeCounts) leanBad() bool {
	_, isBad := r.worst(0)
	return isBad
}

// worst returns the first criterion by which the badness exceeds its leaning by at least a value,
// on all routes together or on a main route, in words.
func (r routeCounts) worst(excess float64) (reason string, found bool) {
	for key, old := range r {
		if key.Variant != variantOld || float64(old.Answers) < mainRouteShare*float64(r.old("").Answers) {
			continue
		}
		newer := r[evidenceKey{Route: key.Route, Variant: variantNew}]
		for i := range criteria {
			if k := &criteria[i]; k.badness(newer, old) >= k.leaning+excess {
				return k.name + " on " + key.name(), true
			}
		}
	}
	return "", false
}
