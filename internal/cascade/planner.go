package cascade

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

// Query describes one request to plan.
type Query struct {
	Account settings.AccountID
	Task    string
	// Versions are the versions that may answer, one per model, cheapest first; the
	// last is trusted.
	Versions []settings.VersionRef
	// InputTokens and OutputTokens are the expected sizes of prompt and answer.
	InputTokens  int
	OutputTokens int
	Target       float64
	// Remaining is the time to the deadline; zero means no deadline.
	Remaining time.Duration
}

// Planner plans requests from the ratings and durations known to this instance. It
// is safe for concurrent use, except for the random source passed to Plan.
type Planner struct {
	Learner *Learner
	Budget  *Budget

	ledger    *ledger
	mu        sync.Mutex
	durations map[settings.VersionRef]*duration
	rating    duration
}

// NewPlanner returns a Planner without known durations that uses learner and budget.
func NewPlanner(learner *Learner, budget *Budget) *Planner {
	return &Planner{Learner: learner, Budget: budget, ledger: newLedger(), durations: make(map[settings.VersionRef]*duration)}
}

// Plan returns the plan for a request under the given settings and updates the
// quality ledger.
func (p *Planner) Plan(now time.Time, snap *settings.Snapshot, q Query, rng *rand.Rand) Plan {
	account := ledgerKey{account: q.Account, task: q.Task}
	in := Input{
		Candidates: make([]Candidate, 0, len(q.Versions)),
		Allowance:  p.ledger.allowance(account),
		Target:     q.Target,
		Remaining:  q.Remaining,
		Rating:     p.ratingState(now),
		Draw:       rng.Float64(),
	}
	for i, ref := range q.Versions {
		in.Candidates = append(in.Candidates, Candidate{
			Ref:      ref,
			Cost:     q.cost(snap, ref),
			Duration: p.ExpectedDuration(ref),
			Pass:     p.Learner.Estimate(now, Key{Account: q.Account, Task: q.Task, Version: ref}),
			Trusted:  i == len(q.Versions)-1,
		})
	}
	plan := Build(in)
	if plan.MeetsTarget {
		p.ledger.served(account, plan.Shortfall)
	}
	return plan
}

// cost returns the expected cost of the request on a version.
func (q *Query) cost(snap *settings.Snapshot, ref settings.VersionRef) settings.MicroUnits {
	version, _ := snap.Version(ref)
	input := settings.MicroUnits(q.InputTokens) * version.InputCost
	output := settings.MicroUnits(q.OutputTokens) * version.OutputCost
	return (input + output) / settings.TokensPerCostUnit
}

func (p *Planner) ratingState(now time.Time) Rating {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Rating{Available: p.Budget.Available(now), Fill: p.Budget.Fill(now), Duration: p.rating.high()}
}

// ExpectedDuration returns a high estimate of the time that a version takes for a
// complete answer; zero if unknown.
func (p *Planner) ExpectedDuration(ref settings.VersionRef) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, ok := p.durations[ref]; ok {
		return d.high()
	}
	return 0
}

// ObserveDuration records how long a version took for a complete answer.
func (p *Planner) ObserveDuration(ref settings.VersionRef, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.durations[ref]
	if !ok {
		d = &duration{}
		p.durations[ref] = d
	}
	d.add(took)
}

// Outcome is a rating returned by the rating service.
type Outcome struct {
	Key Key
	// Target is the quality target that the request was planned for.
	Target     float64
	Acceptable bool
	// Judged is true if the answer was rated before it was sent to the caller.
	Judged bool
	// RatingTime is the time that the rating service took.
	RatingTime time.Duration
}

// ObserveRating records a rating.
func (p *Planner) ObserveRating(now time.Time, o Outcome) {
	p.Budget.Observe(now, true)
	p.Learner.Observe(now, o.Key, o.Acceptable)
	if o.Judged && o.Acceptable {
		p.ledger.accepted(ledgerKey{account: o.Key.Account, task: o.Key.Task}, o.Target)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rating.add(o.RatingTime)
}

// ObserveRatingFailure records that the rating service returned no rating.
func (p *Planner) ObserveRatingFailure(now time.Time) { p.Budget.Observe(now, false) }

// RemoveStaleVersions removes the durations of versions that are no longer in the
// settings.
func (p *Planner) RemoveStaleVersions(snap *settings.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ref := range p.durations {
		if _, ok := snap.Version(ref); !ok {
			delete(p.durations, ref)
		}
	}
}
