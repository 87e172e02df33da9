// Package cascade decides which versions answer a request, in which order, so
// that the answers reach the team's quality target at the lowest expected cost.
//
// An answer is either judged, which means rated before the caller gets it and
// replaced by the next version's where it is not acceptable, or served as it
// is. A version serves unjudged only if it is trusted or if the lower
// confidence bound of its pass chance meets the target, or falls short of it by
// no more than the judged answers of the same client account and task are
// known to be better. So the target holds in each client account and task,
// whether or not every answer is rated.
package cascade

import (
	"math"
	"math/bits"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// maxCandidates bounds the versions that one plan weighs.
	maxCandidates = 6
	// surePassWeight is the evidence from which on the mean pass chance
	// stands in the expected cost; below it the upper bound does, so that a
	// version gets a chance to prove itself.
	surePassWeight = 60
	// fewSamplesWeight is the evidence below which unjudged answers are
	// sampled often.
	fewSamplesWeight = 300
	sampleOften      = 0.25
	sampleSeldom     = 0.05
	// sampleReserve is the fill of the rating budget that samples leave alone.
	sampleReserve = 0.25
)

// Candidate is one version that may answer the request.
type Candidate struct {
	Ref settings.VersionRef
	// Cost is what the request is expected to cost on the version.
	Cost settings.MicroUnits
	// Duration is how long the version takes at the most, or nearly so; zero
	// for unknown.
	Duration time.Duration
	Pass     Estimate
	// Trusted versions count as acceptable without ratings.
	Trusted bool
}

// Rating is the state of the rating service.
type Rating struct {
	// Available is false while the service is out.
	Available bool
	// Fill is how full the budget of ratings is, 0 to 1.
	Fill     float64
	Cost     settings.MicroUnits
	Duration time.Duration
}

// Input is all that a plan depends on.
type Input struct {
	// Candidates are ordered, the cheapest first.
	Candidates []Candidate
	// Target is the fraction of answers that must be acceptable, 0 to 1.
	Target float64
	// Allowance is how far below the target an unjudged answer's chance may
	// be, because earlier judged ones were above it.
	Allowance float64
	// Remaining is the time to the deadline; zero for none.
	Remaining time.Duration
	Rating    Rating
	// Draw is uniform in [0,1) and decides about sampling.
	Draw float64
}

// Step is one attempt of a plan.
type Step struct {
	Ref settings.VersionRef
	// Judge asks for a rating before the caller gets the answer; an
	// unacceptable one is replaced by the next step's. Where the rating
	// fails, the next step follows as well.
	Judge bool
	// Sample asks for a rating after the caller got the answer.
	Sample bool
}

// Plan is the order of attempts.
type Plan struct {
	Steps        []Step
	ExpectedCost settings.MicroUnits
	// Quality is the lower bound of the chance of an acceptable answer.
	Quality float64
	// Shortfall is the part of the allowance that the plan uses.
	Shortfall float64
	// MeetsTarget is false when no allowed order reaches the target in time;
	// Steps is then the order of the highest quality.
	MeetsTarget bool
	// Verdicts tell of each candidate why it is or is not in the plan.
	Verdicts []Verdict
}

// Verdict is why a candidate is or is not part of a plan.
type Verdict struct {
	Ref settings.VersionRef
	Why Why
}

// Why is the reason in a Verdict.
type Why string

// The reasons.
const (
	ServesTrusted   Why = "serves: trusted"
	ServesProven    Why = "serves unjudged: the lower bound of its pass chance meets the target"
	ServesAllowance Why = "serves unjudged: short of the target by less than judged answers were above it"
	ServesBest      Why = "serves: no order reaches the target in time"
	TriedAndJudged  Why = "tried first and judged: lowers the expected cost"
	SkippedTime     Why = "skipped: too slow for the deadline"
	SkippedCost     Why = "skipped: would not lower the expected cost"
	SkippedNoRating Why = "skipped: not proven and no rating to be had"
)

// chain is an order of candidates under consideration. All but the last are judged.
type chain struct {
	// set has bit i for candidate i.
	set      uint
	cost     float64
	quality  float64
	duration time.Duration
	// shortfall is how far the last candidate's chance is below the target.
	shortfall float64
	meets     bool
}

// Build returns the order of the lowest expected cost that meets the target
// and the deadline. It returns no steps only if there are no candidates.
func Build(in Input) Plan {
	in.Candidates = shorten(in.Candidates)
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

// shorten keeps the cheapest candidates and the last.
func shorten(all []Candidate) []Candidate {
	if len(all) <= maxCandidates {
		return all
	}
	kept := append([]Candidate(nil), all[:maxCandidates-1]...)
	return append(kept, all[len(all)-1])
}

// enumerate evaluates every order-preserving choice of candidates.
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
	// reach is the chance that the step is reached: by the expectation for
	// cost, and at the most for quality.
	reach, worst := 1.0, 1.0
	for i := range in.Candidates {
		if !c.has(i) {
			continue
		}
		candidate := &in.Candidates[i]
		c.cost += reach * float64(candidate.Cost)
		c.duration += candidate.Duration
		if i == c.last() {
			c.quality = 1 - worst*(1-candidate.lower())
			break
		}
		c.cost += reach * float64(in.Rating.Cost)
		c.duration += in.Rating.Duration
		reach *= 1 - candidate.expectedPass()
		worst *= 1 - candidate.Pass.Lower
	}
	last := &in.Candidates[c.last()]
	c.shortfall = max(0, in.Target-last.lower())
	c.meets = c.shortfall <= in.Allowance
	return c
}

func (c *chain) has(i int) bool { return c.set&(1<<i) != 0 }

// last is the index of the last candidate.
func (c *chain) last() int { return bits.Len(c.set) - 1 }

// isJudged tells whether any answer is judged.
func (c *chain) isJudged() bool { return bits.OnesCount(c.set) > 1 }

// lower is the least chance of an acceptable answer that may be counted on.
func (c *Candidate) lower() float64 {
	if c.Trusted {
		return 1
	}
	return c.Pass.Lower
}

// expectedPass is the pass chance for the expected cost.
func (c *Candidate) expectedPass() float64 {
	if c.Pass.Weight < surePassWeight {
		return c.Pass.Upper
	}
	return c.Pass.Mean
}

// cheapest returns the cheapest chain that may be used, or nil.
func cheapest(in *Input, chains []chain) *chain {
	plain := cheapestUnjudged(in, chains)
	best := plain
	for i := range chains {
		c := &chains[i]
		if !c.meets || !in.inTime(c) || !in.affordable(c, plain) {
			continue
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// cheapestUnjudged returns the cheapest chain that needs no ratings, or nil.
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

// affordable tells whether ratings may be spent on a chain. The emptier the
// budget, the more of the cost a rating must save, so that a scarce budget
// goes where it saves most.
func (in *Input) affordable(c, plain *chain) bool {
	if !c.isJudged() {
		return true
	}
	if !in.Rating.Available || in.Rating.Fill <= 0 {
		return false
	}
	if plain == nil {
		return true
	}
	price := 1 - in.Rating.Fill
	return plain.cost-c.cost >= price*plain.cost
}

// highestQuality returns the best chain in time, or the fastest where none is.
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

// render writes a chain as a plan.
func (in *Input) render(c *chain) Plan {
	plan := Plan{
		ExpectedCost: settings.MicroUnits(math.Round(c.cost)),
		Quality:      c.quality,
		Shortfall:    c.shortfall,
		MeetsTarget:  c.meets && in.inTime(c),
	}
	for i := range in.Candidates {
		candidate := &in.Candidates[i]
		plan.Verdicts = append(plan.Verdicts, Verdict{Ref: candidate.Ref, Why: in.why(c, i)})
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

// samples tells whether an unjudged answer is rated afterwards.
func (in *Input) samples(c *Candidate) bool {
	if c.Trusted || !in.Rating.Available || in.Rating.Fill < sampleReserve {
		return false
	}
	if c.Pass.Weight < fewSamplesWeight {
		return in.Draw < sampleOften
	}
	return in.Draw < sampleSeldom
}

// why explains the part of candidate i.
func (in *Input) why(c *chain, i int) Why {
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
