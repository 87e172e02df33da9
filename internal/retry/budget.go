package retry

import "sync"

const (
	// tokensPerRequest is what a request adds to the budget. With the burst it
	// keeps attempts within 1.2 times the requests.
	tokensPerRequest = 0.18
	// maxTokens is the number of retries that a quiet time saves up.
	maxTokens = 10.0
)

// Budget bounds retries to a fraction of requests. It is safe for concurrent
// use; the zero value is an empty budget.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// Request counts a new request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokensPerRequest, maxTokens)
}

// Take spends a token on a retry; false means that there is none.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
