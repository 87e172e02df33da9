package cascade

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is how much of its rate the budget can save up.
	burstTime = 20 * time.Second
	// failuresUntilOut is the number of failures in a row after which the
	// rating service counts as out.
	failuresUntilOut = 3
	// outTime is how long it then gets no requests.
	outTime = 5 * time.Second
)

// Budget is this entry's share of the rate-limited rating service, and whether
// that service works. It is safe for concurrent use.
type Budget struct {
	limiter *rate.Limiter

	mu       sync.Mutex
	failures int
	outUntil time.Time
}

// NewBudget makes a full budget of some ratings per second.
func NewBudget(perSecond float64) *Budget {
	return &Budget{limiter: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
}

// SetRate changes the ratings per second, as entries come and go.
func (b *Budget) SetRate(now time.Time, perSecond float64) {
	b.limiter.SetLimitAt(now, rate.Limit(perSecond))
	b.limiter.SetBurstAt(now, burst(perSecond))
}

func burst(perSecond float64) int { return max(1, int(perSecond*burstTime.Seconds())) }

// Fill is how full the budget is, 0 to 1.
func (b *Budget) Fill(now time.Time) float64 {
	return max(0, b.limiter.TokensAt(now)/float64(b.limiter.Burst()))
}

// Take spends one rating; false when there is none to spend.
func (b *Budget) Take(now time.Time) bool { return b.limiter.AllowN(now, 1) }

// Available reports whether the service is thought to work. Once the time of
// being out is over it is tried again, and one more failure ends that try.
func (b *Budget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !now.Before(b.outUntil)
}

// Observe tells how a request to the rating service ended.
func (b *Budget) Observe(now time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures = 0
		return
	}
	b.failures++
	if b.failures >= failuresUntilOut {
		b.outUntil = now.Add(outTime)
	}
}
