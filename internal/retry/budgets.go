package retry

import "sync"

// Budgets holds a Budget for each service: the operators' limit applies to each service
// by itself. It is safe for concurrent use.
type Budgets struct {
	tokensPerRequest, maxTokens float64

	mu        sync.Mutex
	byService map[string]*Budget
}

// NewBudgets returns full budgets to which each request of their service adds
// tokensPerRequest tokens, up to maxTokens. Operators set the limits for the whole fleet;
// the caller passes the instance's share.
func NewBudgets(tokensPerRequest, maxTokens float64) *Budgets {
	return &Budgets{tokensPerRequest: tokensPerRequest, maxTokens: maxTokens, byService: make(map[string]*Budget)}
}

// Request adds the tokens of a new request to a service.
func (b *Budgets) Request(service string) { b.budget(service).Request() }

// Take spends a token on a retry of a request to a service and reports whether one was
// available.
func (b *Budgets) Take(service string) bool { return b.budget(service).Take() }

func (b *Budgets) budget(service string) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.byService[service]
	if budget == nil {
		budget = &Budget{tokens: b.maxTokens, tokensPerRequest: b.tokensPerRequest, maxTokens: b.maxTokens}
		b.byService[service] = budget
	}
	return budget
}
