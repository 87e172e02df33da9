package cascade

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

// Query is one request to plan for.
type Query struct {
	Account settings.AccountID
	Task    string
	// Versions may answer, one per model, cheapest first; the last is trusted.
	Versions []settings.VersionRef
	// InputTokens and OutputTokens are the expected size of the request.
	InputTokens  int
	OutputTokens int
	Target       float64
	// Remaining is the time to the deadline; zero for none.
	Remaining time.Duration
}

// Planner plans requests from what this entry has learned. It is safe for
// concurrent use, except for the random source passed to Plan.
type Planner struct {
	Learner *Learner
	Budget  *Budget

	ledger    *ledger
	mu        sync.Mutex
	durations map[settings.VersionRef]*duration
	rating    duration
}

// NewPlanner makes a Planner.
func NewPlanner(learner *Learner, budget *Budget) *Planner {
	return &Planner{Learner: learner, Budget: budget, ledger: newLedger(), durations: make(map[settings.VersionRef]*duration)}
}

// Plan plans a request under the settings.
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

// cost is the price of the request on a version.
func (q *Query) cost(snap *settings.Snapshot, ref settings.VersionRef) settings.MicroUnits {
	version, _ := snap.Version(ref)
	input := settings.MicroUnits(q.InputTokens) * version.InputCost
	output := settings.MicroUnits(q.OutputTokens) * version.OutputCost
	return (input + output) / settings.TokensPerPrice
}

func (p *Planner) ratingState(now time.Time) Rating {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Rating{Available: p.Budget.Available(now), Fill: p.Budget.Fill(now), Duration: p.rating.high()}
}

// ExpectedDuration is how long a version takes for a whole answer, or nearly
// at the most; zero for unknown.
func (p *Planner) ExpectedDuration(ref settings.VersionRef) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, ok := p.durations[ref]; ok {
		return d.high()
	}
	return 0
}

// Finished tells how long a version took for a whole answer.
func (p *Planner) Finished(ref settings.VersionRef, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d, ok := p.durations[ref]
	if !ok {
		d = &duration{}
		p.durations[ref] = d
	}
	d.add(took)
}

// Outcome is a rating that the rating service gave.
type Outcome struct {
	Key Key
	// Target is the quality target the request was planned for.
	Target     float64
	Acceptable bool
	// Judged is whether the caller got the answer only after the rating.
	Judged bool
	// Took is how long the rating service took.
	Took time.Duration
}

// Rated takes a rating in.
func (p *Planner) Rated(now time.Time, o Outcome) {
	p.Budget.Observe(now, true)
	p.Learner.Observe(now, o.Key, o.Acceptable)
	if o.Judged && o.Acceptable {
		p.ledger.accepted(ledgerKey{account: o.Key.Account, task: o.Key.Task}, o.Target)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rating.add(o.Took)
}

// RatingFailed tells that the rating service gave no answer.
func (p *Planner) RatingFailed(now time.Time) { p.Budget.Observe(now, false) }

// Forget drops the durations of versions that the settings no longer name.
func (p *Planner) Forget(snap *settings.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for ref := range p.durations {
		if _, ok := snap.Version(ref); !ok {
			delete(p.durations, ref)
		}
	}
}
