package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/basilrail/basilrail/internal/apierror"
)

const (
	// backoffInitial is the longest wait before the first retry.
	backoffInitial = 20 * time.Millisecond
	// backoffMax is the longest wait before any retry.
	backoffMax = time.Second
	// backoffMultiplier lengthens the wait from retry to retry.
	backoffMultiplier = 2
	// comeBackMin and comeBackMax spread callers that are told to come back.
	comeBackMin = time.Second
	comeBackMax = 4 * time.Second
)

// Retrier joins Decide with a Budget and the back-off. It is safe for concurrent use.
type Retrier struct {
	budget Budget
	mu     sync.Mutex
	rand   *rand.Rand
}

// New makes a Retrier whose budget begins full, so that an instance that has
// just started can retry its first requests.
func New(r *rand.Rand) *Retrier {
	return &Retrier{budget: Budget{tokens: maxTokens}, rand: r}
}

// Request counts a new request; call it once for each, before its first attempt.
func (r *Retrier) Request() { r.budget.Request() }

// Next decides on a failed attempt and spends a token when it is to be retried.
// Without a token, or with too little time left for the wait, the request stops.
func (r *Retrier) Next(a Attempt) Decision {
	d := Decide(a)
	if d.Action == Stop {
		return d
	}
	d.Delay = r.jitter(ceiling(a.Number))
	if d.Delay >= a.Remaining || !r.budget.Take() {
		return Decision{Action: Stop, Ran: a.ran(), Code: a.code()}
	}
	return d
}

// ComeBack is when a refused caller is told to come back, spread so that
// callers do not return together.
func (r *Retrier) ComeBack() time.Duration { return comeBackMin + r.jitter(comeBackMax-comeBackMin) }

// jitter returns a random duration from zero to the ceiling.
func (r *Retrier) jitter(ceiling time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rand.Int64N(int64(ceiling) + 1))
}

// ceiling is the longest wait after the given number of attempts. The library's
// own randomness is not seeded, so it is switched off here.
func ceiling(attempts int) time.Duration {
	b := backoff.ExponentialBackOff{InitialInterval: backoffInitial, Multiplier: backoffMultiplier, MaxInterval: backoffMax}
	b.Reset()
	wait := b.NextBackOff()
	for range attempts - 1 {
		wait = b.NextBackOff()
	}
	return wait
}

// Error makes the refusal that a stopped request ends with.
func (d Decision) Error(status int, message string) *apierror.Error {
	return apierror.New(status, d.Code, "%s", message).WithRan(d.Ran)
}
