package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/basilrail/basilrail/internal/apierror"
)

const (
	// initialBackoff is the maximum delay before the first retry.
	initialBackoff = 20 * time.Millisecond
	// maxBackoff is the maximum delay before any retry.
	maxBackoff = time.Second
	// backoffMultiplier is the growth of the maximum delay per retry.
	backoffMultiplier = 2
	// minRetryAfter and maxRetryAfter bound the random delay after which refused
	// callers are asked to retry.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// Retrier combines Decide with a Budget and the backoff. It is safe for concurrent use.
type Retrier struct {
	budget Budget
	mu     sync.Mutex
	rand   *rand.Rand
}

// New returns a Retrier with a full budget, so that a newly started instance can
// retry its first requests.
func New(r *rand.Rand) *Retrier {
	return &Retrier{budget: Budget{tokens: defaultMaxTokens}, rand: r}
}

// Request adds a new request to the budget. Call it once per request, before the
// first attempt.
func (r *Retrier) Request() { r.budget.Request() }

// Next decides on a failed attempt and spends a token if it is retried. The request
// stops if there is no token or if the delay does not fit the remaining time.
func (r *Retrier) Next(a Attempt) Decision {
	d := Decide(a)
	if d.Action == Stop {
		return d
	}
	d.Delay = r.jitter(ceiling(a.Number))
	if d.Delay >= a.Remaining || !r.budget.Take() {
		return Decision{Action: Stop, Execution: a.execution(), Code: a.code()}
	}
	return d
}

// RetryAfter returns the random delay after which a refused caller is asked to retry.
// It is spread so that callers do not retry at the same time.
func (r *Retrier) RetryAfter() time.Duration {
	return minRetryAfter + r.jitter(maxRetryAfter-minRetryAfter)
}

// jitter returns a random duration from zero to the ceiling.
func (r *Retrier) jitter(ceiling time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rand.Int64N(int64(ceiling) + 1))
}

// ceiling returns the maximum delay after the given number of attempts. The
// library's randomization is disabled because it is not seeded.
func ceiling(attempts int) time.Duration {
	b := backoff.ExponentialBackOff{InitialInterval: initialBackoff, Multiplier: backoffMultiplier, MaxInterval: maxBackoff}
	b.Reset()
	wait := b.NextBackOff()
	for range attempts - 1 {
		wait = b.NextBackOff()
	}
	return wait
}

// Error returns the refusal for a stopped request.
func (d Decision) Error(status int, message string) *apierror.Error {
	return apierror.New(status, d.Code, "%s", message).WithExecutionStatus(d.Execution)
}
