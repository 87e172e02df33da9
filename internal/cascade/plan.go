// Package cascade decides which versions answer a request, and in which order, so
// that the answers reach the team's quality target at the lowest expected cost.
//
// An answer is either judged, that is, rated before it is sent to the caller and
// replaced by the next version's answer if it is not acceptable, or served
// unjudged. A version serves unjudged only if it is trusted, if the lower
// confidence bound of its pass probability meets the target, or if that bound is
// below the target by no more than earlier judged answers of the same client
// account and task exceeded it. The target therefore holds for each client account
// and task even though not every answer is rated.
package cascade

import (
	"math"
	"math/bits"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// maxCandidates bounds the versions that one plan considers.
	maxCandidates = 6
	// minMeanWeight is the evidence weight from which the expected cost uses the
	// mean pass probability. Below it the upper bound is used, so that a new
	// version is tried often enough to collect evidence.
	minMeanWeight = 60
	// frequentSampleWeight is the evidence weight below which unjudged answers are
	// sampled at the rate frequentSampleRate, otherwise at rareSampleRate.
	frequentSampleWeight = 300
	frequentSampleRate   = 0.25
	rareSampleRate       = 0.05
	// sampleReserve is the fraction of the rating budget reserved for judging; no
	// samples are taken below it.
	sampleReserve = 0.25
)

// Candidate is one version that may answer the request.
type Candidate struct {
	Ref settings.VersionRef
	// Cost is what the request is expected to cost on the version.
	Cost settings.MicroUnits
	// Duration is a high estimate of the time that the version takes; zero if
	// unknown.
	Duration time.Duration
	Pass     Estimate
	// Trusted versions count as acceptable without ratings.
	Trusted bool
}

// Rating is the state of the rating service.
type Rating struct {
	// Available is false while the service is unavailable.
	Available bool
	// Fill is the fraction of the rating budget that is left, 0 to 1.
	Fill     float64
	Cost     settings.MicroUnits
	Duration time.Duration
}

// Input holds everything that a plan depends on.
type Input struct {
	// Candidates are ordered by cost, cheapest first.
	Candidates []Candidate
	// Target is the fraction of answers that must be acceptable, 0 to 1.
	Target float64
	// Allowance is how far below the target the pass probability of an unjudged
	// answer may be, because earlier judged answers exceeded the target.
	Allowance float64
	// Remaining is the time to the deadline; zero means no deadline.
	Remaining time.Duration
	Rating    Rating
	// Draw is a uniform random number in [0,1) that decides on sampling.
	Draw float64
}

// Step is one attempt of a plan.
type Step struct {
	Ref settings.VersionRef
	// Judge requests a rating before the answer is sent to the caller. If the
	// answer is not acceptable or cannot be rated, the next step runs.
	Judge bool
	// Sample requests a rating after the answer was sent to the caller.
	Sample bool
}

// Plan is the sequence of attempts for a request.
type Plan struct {
	Steps        []Step
	ExpectedCost settings.MicroUnits
	// Quality is a lower bound of the probability of an acceptable answer.
	Quality float64
	// Shortfall is the part of the allowance that the plan uses.
	Shortfall float64
	// MeetsTarget is false if no allowed order reaches the target in time; Steps
	// is then the order with the highest quality.
	MeetsTarget bool
	// Verdicts give the reason why each candidate is or is not in the plan.
	Verdicts []Verdict
}

// Verdict is why a candidate is or is not part of a plan.
type Verdict struct {
	Ref    settings.VersionRef
	Reason Reason
}

// Reason is the reason in a Verdict.
type Reason string

// The reasons.
const (
	ServesTrusted   Reason = "serves: trusted"
	ServesProven    Reason = "serves unjudged: the lower bound of its pass chance meets the target"
	ServesAllowance Reason = "serves unjudged: short of the target by less than judged answers were above it"
	ServesBest      Reason = "serves: no order reaches the target in time"
	TriedAndJudged  Reason = "tried first and judged: lowers the expected cost"
	SkippedTime     Reason = "skipped: too slow for the deadline"
	SkippedCost     Reason = "skipped: would not lower the expected cost"
	SkippedNoRating Reason = "skipped: not proven and no rating to be had"
)

// chain is a sequence of candidates under evaluation. All but the last are judged.
type chain struct {
	// set has bit i for candidate i.
	set      uint
	cost     float64
	quality  float64
	duration time.Duration
	// shortfall is how far the last candidate's pass probability is below the target.
	shortfall float64
	meets     bool
}

// Build returns the plan with the lowest expected cost that meets the target and
// the deadline. The plan has no steps only if there are no candidates.
func Build(in Input) Plan {
	in.Candidates = truncate(in.Candidates)
	if len(in.Candidates) == 0 {
		return Plan{}
	}
	chains := enumerate(&in)
	best := cheapest(&in, chains)
	if best == nil {
		best = highestQuality(&in, chains)
	}
	return in.render(best)
}

// truncate keeps the cheapest candidates and the last one, at most maxCandidates.
func truncate(all []Candidate) []Candidate {
	if len(all) <= maxCandidates {
		return all
	}
	kept := append([]Candidate(nil), all[:maxCandidates-1]...)
	return append(kept, all[len(all)-1])
}

// enumerate evaluates every non-empty subset of the candidates in their order.
func enumerate(in *Input) []chain {
	count := uint(1) << len(in.Candidates)
	chains := make([]chain, 0, count-1)
	for set := uint(1); set < count; set++ {
		chains = append(chains, in.evaluate(set))
	}
	return chains
}

// evaluate computes the chain of the candidates in a bit set.
func (in *Input) evaluate(set uint) chain {
	c := chain{set: set}
	// expectedReach and maxReach are the expected and the maximum probability that
	// the step is reached; the first is used for cost, the second for quality.
	expectedReach, maxReach := 1.0, 1.0
	for i := range in.Candidates {
		if !c.has(i) {
			continue
		}
		candidate := &in.Candidates[i]
		c.cost += expectedReach * float64(candidate.Cost)
		c.duration += candidate.Duration
		if i == c.last() {
			c.quality = 1 - maxReach*(1-candidate.lower())
			break
		}
		c.cost += expectedReach * float64(in.Rating.Cost)
		c.duration += in.Rating.Duration
		expectedReach *= 1 - candidate.expectedPass()
		maxReach *= 1 - candidate.Pass.Lower
	}
	last := &in.Candidates[c.last()]
	c.shortfall = max(0, in.Target-last.lower())
	c.meets = c.shortfall <= in.Allowance
	return c
}

func (c *chain) has(i int) bool { return c.set&(1<<i) != 0 }

// last returns the index of the last candidate.
func (c *chain) last() int { return bits.Len(c.set) - 1 }

// isJudged reports whether any answer of the chain is judged.
func (c *chain) isJudged() bool { return bits.OnesCount(c.set) > 1 }

// lower returns the lower bound of the pass probability; 1 for trusted versions.
func (c *Candidate) lower() float64 {
	if c.Trusted {
		return 1
	}
	return c.Pass.Lower
}

// expectedPass returns the pass probability that the expected cost is based on.
func (c *Candidate) expectedPass() float64 {
	if c.Pass.Weight < minMeanWeight {
		return c.Pass.Upper
	}
	return c.Pass.Mean
}

// cheapest returns the cheapest chain that meets the target, the deadline and the
// rating budget, or nil.
func cheapest(in *Input, chains []chain) *chain {
	unjudged := cheapestUnjudged(in, chains)
	best := unjudged
	for i := range chains {
		c := &chains[i]
		if !c.meets || !in.inTime(c) || !in.affordable(c, unjudged) {
			continue
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// cheapestUnjudged returns the cheapest chain that meets the target and the
// deadline without ratings, or nil.
func cheapestUnjudged(in *Input, chains []chain) *chain {
	var best *chain
	for i := range chains {
		c := &chains[i]
		if c.isJudged() || !c.meets || !in.inTime(c) {
			continue
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

func (in *Input) inTime(c *chain) bool {
	return in.Remaining == 0 || c.duration <= in.Remaining
}

// affordable reports whether ratings may be spent on a chain. The less budget is
// left, the larger the fraction of the cost that the chain must save over the
// unjudged one, so that a scarce budget is spent where it saves most.
func (in *Input) affordable(c, unjudged *chain) bool {
	if !c.isJudged() {
		return true
	}
	if !in.Rating.Available || in.Rating.Fill <= 0 {
		return false
	}
	if unjudged == nil {
		return true
	}
	minSaving := 1 - in.Rating.Fill
	return unjudged.cost-c.cost >= minSaving*unjudged.cost
}

// highestQuality returns the affordable chain with the highest quality within the
// deadline, or the fastest chain if there is none.
func highestQuality(in *Input, chains []chain) *chain {
	var best *chain
	for i := range chains {
		c := &chains[i]
		if !in.inTime(c) || (c.isJudged() && !in.affordable(c, nil)) {
			continue
		}
		if best == nil || c.quality > best.quality {
			best = c
		}
	}
	if best != nil {
		return best
	}
	return fastest(chains)
}

func fastest(chains []chain) *chain {
	best := &chains[0]
	for i := range chains {
		if chains[i].duration < best.duration {
			best = &chains[i]
		}
	}
	return best
}

// render converts a chain to a plan.
func (in *Input) render(c *chain) Plan {
	plan := Plan{
		ExpectedCost: settings.MicroUnits(math.Round(c.cost)),
		Quality:      c.quality,
		Shortfall:    c.shortfall,
		MeetsTarget:  c.meets && in.inTime(c),
	}
	for i := range in.Candidates {
		candidate := &in.Candidates[i]
		plan.Verdicts = append(plan.Verdicts, Verdict{Ref: candidate.Ref, Reason: in.reason(c, i)})
		if !c.has(i) {
			continue
		}
		judge := i != c.last()
		plan.Steps = append(plan.Steps, Step{
			Ref: candidate.Ref, Judge: judge, Sample: !judge && in.samples(candidate),
		})
	}
	return plan
}

// samples reports whether an unjudged answer is rated after it was sent.
func (in *Input) samples(c *Candidate) bool {
	if c.Trusted || !in.Rating.Available || in.Rating.Fill < sampleReserve {
		return false
	}
	if c.Pass.Weight < frequentSampleWeight {
		return in.Draw < frequentSampleRate
	}
	return in.Draw < rareSampleRate
}

// reason returns the reason why candidate i is or is not in the chain.
func (in *Input) reason(c *chain, i int) Reason {
	candidate := &in.Candidates[i]
	isLast := i == c.last()
	switch {
	case isLast && candidate.Trusted:
		return ServesTrusted
	case isLast && c.shortfall == 0:
		return ServesProven
	case isLast && c.meets:
		return ServesAllowance
	case isLast:
		return ServesBest
	case c.has(i):
		return TriedAndJudged
	case in.Remaining > 0 && candidate.Duration > in.Remaining:
		return SkippedTime
	case candidate.Pass.Lower < in.Target && !candidate.Trusted && !in.Rating.Available:
		return SkippedNoRating
	}
	return SkippedCost
}
