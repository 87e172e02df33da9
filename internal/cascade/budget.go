package cascade

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is the period of unused rate that the budget accumulates.
	burstTime = 20 * time.Second
	// maxConsecutiveFailures is the number of consecutive failures after which the
	// rating service counts as unavailable.
	maxConsecutiveFailures = 3
	// unavailableTime is how long an unavailable rating service gets no requests.
	unavailableTime = 5 * time.Second
)

// Budget is this instance's share of the rate-limited rating service, with the
// availability of that service. It is safe for concurrent use.
type Budget struct {
	limiter *rate.Limiter

	mu               sync.Mutex
	failures         int
	unavailableUntil time.Time
}

// NewBudget returns a full budget of perSecond ratings per second.
func NewBudget(perSecond float64) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
}

// SetRate changes the ratings per second when the number of instances changes.
func (b *Budget) SetRate(now time.Time, perSecond float64) {
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, burst(perSecond))
}

func burst(perSecond float64) int { return max(1, int(perSecond*burstTime.Seconds())) }

// Fill returns the fraction of the budget that is left, 0 to 1.
func (b *Budget) Fill(now time.Time) float64 {
	return max(0, b.limiter.TokensAt(now)/float64(b.limiter.Burst()))
}

// Take spends one rating and reports whether one was available.
func (b *Budget) Take(now time.Time) bool { return b.limiter.AllowN(now, 1) }

// Available reports whether the service may get requests. After unavailableTime the
// service is tried again, and a single failure makes it unavailable again.
func (b *Budget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !now.Before(b.unavailableUntil)
}

// Observe records whether a request to the rating service succeeded.
func (b *Budget) Observe(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures >= maxConsecutiveFailures {
		b.unavailableUntil = now.Add(unavailableTime)
	}
}
