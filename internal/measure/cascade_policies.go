package measure

import (
	"math/rand/v2"
	"time"

	"github.com/basilrail/basilrail/internal/cascade"
	"github.com/basilrail/basilrail/internal/settings"
)

// cascadePolicy decides which versions serve a request.
type cascadePolicy interface {
	// serve returns the cost and whether the answer was acceptable.
	serve(r *cascadeRequest) (cost float64, acceptable bool)
}

// requestCosts returns the cost of a request on each of the two versions.
func requestCosts(snap *settings.Snapshot, r *cascadeRequest) (cheap, expensive float64) {
	return requestCost(snap, cheapVersion, r), requestCost(snap, expensiveVersion, r)
}

func requestCost(snap *settings.Snapshot, ref settings.VersionRef, r *cascadeRequest) float64 {
	version, _ := snap.Version(ref)
	return (float64(r.inputTokens)*float64(version.InputCost) + float64(r.outputTokens)*float64(version.OutputCost)) / 1_000
}

// alwaysExpensive sends every request to the expensive version.
type alwaysExpensive struct{ snap *settings.Snapshot }

func (p alwaysExpensive) serve(r *cascadeRequest) (float64, bool) {
	_, expensive := requestCosts(p.snap, r)
	return expensive, r.expensiveOK
}

// oracle uses the cheap version exactly when its answer is acceptable, which no
// real policy can know in advance.
type oracle struct{ snap *settings.Snapshot }

func (p oracle) serve(r *cascadeRequest) (float64, bool) {
	cheap, expensive := requestCosts(p.snap, r)
	if r.cheapOK {
		return cheap, true
	}
	return expensive, r.expensiveOK
}

// cheapFirst tries the cheap version first. It rates the answer while the rating
// budget lasts and escalates if it fails; without a rating it serves the answer.
type cheapFirst struct {
	snap    *settings.Snapshot
	budgets []*cascade.Budget
}

func newCheapFirst(snap *settings.Snapshot) *cheapFirst {
	return &cheapFirst{snap: snap, budgets: newBudgets()}
}

func newBudgets() []*cascade.Budget {
	budgets := make([]*cascade.Budget, cascadeInstances)
	for i := range budgets {
		budgets[i] = cascade.NewBudget(ratingShare * cascadeRate / cascadeInstances)
	}
	return budgets
}

func (p *cheapFirst) serve(r *cascadeRequest) (float64, bool) {
	cheap, expensive := requestCosts(p.snap, r)
	rated := p.budgets[r.instance].Take(r.at)
	if r.cheapOK || !rated {
		return cheap, r.cheapOK
	}
	return cheap + expensive, r.expensiveOK
}

// planned is the router's policy: one planner per instance, with a regular
// exchange of evidence between them.
type planned struct {
	snap         *settings.Snapshot
	planners     []*cascade.Planner
	rng          *rand.Rand
	lastExchange time.Time
	rater        rater
}

// rater describes the behaviour of the fake rating service.
type rater struct {
	// outageStart and outageEnd bound an outage; they are equal if there is none.
	outageStart time.Time
	outageEnd   time.Time
	// wrongShare is the fraction of ratings that are inverted.
	wrongShare float64
}

func (r rater) isUnavailable(at time.Time) bool {
	return !at.Before(r.outageStart) && at.Before(r.outageEnd)
}

const (
	// evidenceInterval is the time between two evidence messages of an
	// instance, and evidenceKeys the maximum number of keys in one.
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
	p.exchangeEvidence(r.at)
	planner := p.planners[r.instance]
	var spent float64
	for _, step := range p.plan(r).Steps {
		spent += requestCost(p.snap, step.Ref, r)
		passed := (step.Judge || step.Sample) && p.rate(planner, r, step)
		if !step.Judge || passed {
			return spent, r.acceptable(step.Ref)
		}
	}
	return spent, false
}

func (p *planned) plan(r *cascadeRequest) cascade.Plan {
	return p.planners[r.instance].Plan(r.at, p.snap, cascade.Query{
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
	return r.expensiveOK
}

// rate asks the rating service whether an answer is acceptable. It returns false
// if the answer fails or there is no rating.
func (p *planned) rate(planner *cascade.Planner, r *cascadeRequest, step cascade.Step) bool {
	if !planner.Budget.Take(r.at) {
		return false
	}
	if p.rater.isUnavailable(r.at) {
		planner.ObserveRatingFailure(r.at)
		return false
	}
	isWrong := p.rng.Float64() < p.rater.wrongShare
	passed := r.acceptable(step.Ref) != isWrong
	planner.ObserveRating(r.at, cascade.Outcome{
		Key:        cascade.Key{Account: r.account, Task: r.task, Version: step.Ref},
		Target:     qualityTarget,
		Acceptable: passed,
		Judged:     step.Judge,
	})
	return passed
}

func (p *planned) exchangeEvidence(now time.Time) {
	if now.Sub(p.lastExchange) < evidenceInterval {
		return
	}
	p.lastExchange = now
	for i, from := range p.planners {
		message := from.Learner.TakeUnsent(now, evidenceKeys)
		for j, to := range p.planners {
			if i != j {
				to.Learner.Merge(now, instanceName(i), message)
			}
		}
	}
}

func instanceName(i int) string { return string(rune('a' + i)) }
