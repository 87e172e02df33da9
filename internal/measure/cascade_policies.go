package measure

import (
	"math/rand/v2"
	"time"

	"github.com/basilrail/basilrail/internal/cascade"
	"github.com/basilrail/basilrail/internal/settings"
)

// cascadePolicy serves requests and tells what the caller got.
type cascadePolicy interface {
	// serve returns the cost and whether the answer was acceptable.
	serve(r *cascadeRequest) (cost float64, acceptable bool)
}

// prices of the two versions for a request.
func prices(snap *settings.Snapshot, r *cascadeRequest) (cheap, dear float64) {
	return price(snap, cheapVersion, r), price(snap, dearVersion, r)
}

func price(snap *settings.Snapshot, ref settings.VersionRef, r *cascadeRequest) float64 {
	version, _ := snap.Version(ref)
	return (float64(r.inputTokens)*float64(version.InputCost) + float64(r.outputTokens)*float64(version.OutputCost)) / 1_000
}

// alwaysDear sends everything to the dear version.
type alwaysDear struct{ snap *settings.Snapshot }

func (p alwaysDear) serve(r *cascadeRequest) (float64, bool) {
	_, dear := prices(p.snap, r)
	return dear, r.dearOK
}

// oracle knows whether the cheap version suffices.
type oracle struct{ snap *settings.Snapshot }

func (p oracle) serve(r *cascadeRequest) (float64, bool) {
	cheap, dear := prices(p.snap, r)
	if r.cheapOK {
		return cheap, true
	}
	return dear, r.dearOK
}

// cheapFirst tries the cheap version first, rates its answer as long as there
// are ratings, and serves it unrated otherwise.
type cheapFirst struct {
	snap    *settings.Snapshot
	budgets []*cascade.Budget
}

func newCheapFirst(snap *settings.Snapshot) *cheapFirst {
	return &cheapFirst{snap: snap, budgets: newBudgets()}
}

func newBudgets() []*cascade.Budget {
	budgets := make([]*cascade.Budget, cascadeEntries)
	for i := range budgets {
		budgets[i] = cascade.NewBudget(ratingShare * cascadeRate / cascadeEntries)
	}
	return budgets
}

func (p *cheapFirst) serve(r *cascadeRequest) (float64, bool) {
	cheap, dear := prices(p.snap, r)
	rated := p.budgets[r.entry].Take(r.at)
	if r.cheapOK || !rated {
		return cheap, r.cheapOK
	}
	return cheap + dear, r.dearOK
}

// planned is the project's policy: a planner for each entry instance, which
// tell each other what they learned.
type planned struct {
	snap     *settings.Snapshot
	planners []*cascade.Planner
	rng      *rand.Rand
	told     time.Time
	rater    rater
}

// rater is how the fake rating service behaves.
type rater struct {
	// outFrom and outUntil bound an outage; equal for none.
	outFrom  time.Time
	outUntil time.Time
	// wrong is the fraction of ratings that are the opposite of the truth.
	wrong float64
}

func (r rater) isOut(at time.Time) bool { return !at.Before(r.outFrom) && at.Before(r.outUntil) }

const (
	// evidenceInterval is the time between messages of an entry, and
	// evidenceKeys the keys in one.
	evidenceInterval = 5 * time.Second
	evidenceKeys     = 64
)

func newPlanned(snap *settings.Snapshot, seed uint64, rater rater) *planned {
	p := &planned{snap: snap, rng: rand.New(rand.NewPCG(seed, 71)), rater: rater}
	for _, budget := range newBudgets() {
		p.planners = append(p.planners, cascade.NewPlanner(cascade.NewLearner(), budget))
	}
	return p
}

func (p *planned) serve(r *cascadeRequest) (float64, bool) {
	p.tellEachOther(r.at)
	planner := p.planners[r.entry]
	var spent float64
	for _, step := range p.plan(r).Steps {
		spent += price(p.snap, step.Ref, r)
		passed := (step.Judge || step.Sample) && p.rate(planner, r, step)
		if !step.Judge || passed {
			return spent, r.acceptable(step.Ref)
		}
	}
	return spent, false
}

func (p *planned) plan(r *cascadeRequest) cascade.Plan {
	return p.planners[r.entry].Plan(r.at, p.snap, cascade.Query{
		Account: r.account, Task: r.task,
		Versions:    cascadeVersions,
		InputTokens: r.inputTokens, OutputTokens: r.outputTokens,
		Target: qualityTarget,
	}, p.rng)
}

func (r *cascadeRequest) acceptable(ref settings.VersionRef) bool {
	if ref == cheapVersion {
		return r.cheapOK
	}
	return r.dearOK
}

// rate asks the rating service; false when the answer fails or there is no rating.
func (p *planned) rate(planner *cascade.Planner, r *cascadeRequest, step cascade.Step) bool {
	if !planner.Budget.Take(r.at) {
		return false
	}
	if p.rater.isOut(r.at) {
		planner.ObserveRatingFailure(r.at)
		return false
	}
	isWrong := p.rng.Float64() < p.rater.wrong
	passed := r.acceptable(step.Ref) != isWrong
	planner.ObserveRating(r.at, cascade.Outcome{
		Key:        cascade.Key{Account: r.account, Task: r.task, Version: step.Ref},
		Target:     qualityTarget,
		Acceptable: passed,
		Judged:     step.Judge,
	})
	return passed
}

func (p *planned) tellEachOther(now time.Time) {
	if now.Sub(p.told) < evidenceInterval {
		return
	}
	p.told = now
	for i, from := range p.planners {
		message := from.Learner.TakeUnsent(now, evidenceKeys)
		for j, to := range p.planners {
			if i != j {
				to.Learner.Merge(now, entryName(i), message)
			}
		}
	}
}

func entryName(i int) string { return string(rune('a' + i)) }
