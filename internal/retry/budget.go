package retry

import "sync"

const (
	// defaultTokensPerRequest is the number of tokens that a request adds to the budget.
	defaultTokensPerRequest = 0.15
	// defaultMaxTokens is the capacity of the budget: the number of retries that can
	// follow each other at once after a time without failures. With
	// defaultTokensPerRequest it keeps attempts within 1.2 times the requests over any
	// 100 requests of an instance.
	defaultMaxTokens = 5.0
)

// Budget bounds retries to a fraction of requests. It is safe for concurrent
// use; the zero value is an empty budget.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	// tokensPerRequest and maxTokens are set to the defaults by Request while
	// maxTokens is zero.
	tokensPerRequest, maxTokens float64
}

// Request adds the tokens of a new request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.maxTokens == 0 {
		b.tokensPerRequest, b.maxTokens = defaultTokensPerRequest, defaultMaxTokens
	}
	b.tokens = min(b.tokens+b.tokensPerRequest, b.maxTokens)
}

// Take spends a token on a retry and reports whether one was available.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
