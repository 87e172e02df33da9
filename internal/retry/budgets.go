package retry

import (
	"sync"
	"time"
)

const (
	// earnedShare and burstShare are the parts of the allowed ratio that a request adds to
	// the budget and to the number of retries that can follow each other at once. Together
	// they stay below one: a window may begin with a full budget, earned before it.
	earnedShare = 0.75
	burstShare  = 0.2
	// slackShare is the part of the allowed slack that is used. The number of instances
	// may be known late when some are added.
	slackShare = 0.8
	// startShare is the part of its slack with which an instance starts: the instances
	// that restart within a window have it again.
	startShare = 0.25
)

// Limit is the operators' limit for each service and the whole fleet: in any Window at
// most Ratio retries a request, and Slack more.
type Limit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budgets holds an instance's share of the retries of each service. The sum over all
// instances keeps the limit although they don't ask each other, also if many of them
// restart. It is safe for concurrent use.
type Budgets struct {
	limit Limit
	// instances returns the number of instances in the fleet, this one included; zero if
	// it is unknown.
	instances func() int

	mu        sync.Mutex
	byService map[string]*serviceBudget
}

// serviceBudget is the budget of one service.
type serviceBudget struct {
	tokens   float64
	requests *slidingCount
}

// NewBudgets returns the budgets of an instance that starts; instances returns the number
// of instances in the fleet, this one included, or zero while it is unknown.
func NewBudgets(limit Limit, instances func() int) *Budgets {
	return &Budgets{limit: limit, instances: instances, byService: make(map[string]*serviceBudget)}
}

// Request adds a new request to a service.
func (b *Budgets) Request(service string) {
	now, slack := time.Now(), b.slack()
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = &serviceBudget{tokens: startShare * slack, requests: newSlidingCount(b.limit.Window)}
		b.byService[service] = budget
	}
	budget.requests.add(now)
	burst := burstShare*b.limit.Ratio*budget.requests.total(now) + slack
	budget.tokens = min(budget.tokens+earnedShare*b.limit.Ratio, burst)
}

// Take spends a token on a retry of a request to a service and reports whether one was
// available.
func (b *Budgets) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil || budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// Return gives back a token that was taken for a retry that was not made.
func (b *Budgets) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget := b.byService[service]; budget != nil {
		budget.tokens++
	}
}

// slack returns this instance's part of the slack.
func (b *Budgets) slack() float64 {
	instances := b.instances()
	if instances == 0 {
		return 0
	}
	return slackShare * b.limit.Slack / float64(instances)
}
