package gateway

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// tooManyConnectionsRetryAfter is the Retry-After for too many requests in flight.
	tooManyConnectionsRetryAfter = time.Second
	// rateBurstSeconds is the burst size in seconds of the account's request rate.
	rateBurstSeconds = 2
)

// accountUsage tracks one client account's usage of this instance.
type accountUsage struct {
	inFlight int
	limiter  *rate.Limiter
}

// limitTable holds the usage of every account that has sent a request. Entries
// are not evicted; the settings bound the number of accounts.
type limitTable struct {
	mu       sync.Mutex
	accounts map[settings.AccountID]*accountUsage
}

func newLimitTable() *limitTable {
	return &limitTable{accounts: make(map[settings.AccountID]*accountUsage)}
}

// acquire counts a request as in flight; release must be called if and only if
// err is nil.
func (t *limitTable) acquire(view *settings.AccountView, connections int) (release func(), err *apierror.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usage := t.usageOf(view)
	if usage.inFlight >= connections {
		return nil, apierror.New(http.StatusTooManyRequests, apierror.CodeRateLimited, "too many requests in flight for this client account").
			WithRetryAfter(tooManyConnectionsRetryAfter)
	}
	if refusal := usage.reserveRequest(view.Account.Limits.RequestsPerSecond); refusal != nil {
		return nil, refusal
	}
	usage.inFlight++
	return func() { t.release(usage) }, nil
}

func (t *limitTable) release(usage *accountUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	usage.inFlight--
}

func (t *limitTable) usageOf(view *settings.AccountView) *accountUsage {
	usage, ok := t.accounts[view.ID]
	if !ok {
		usage = &accountUsage{}
		t.accounts[view.ID] = usage
	}
	return usage
}

// reserveRequest takes one request from the account's rate limiter; a rate of
// zero means no limit.
func (u *accountUsage) reserveRequest(perSecond float64) *apierror.Error {
	if perSecond <= 0 {
		return nil
	}
	if u.limiter == nil || float64(u.limiter.Limit()) != perSecond {
		u.limiter = rate.NewLimiter(rate.Limit(perSecond), int(perSecond*rateBurstSeconds)+1)
	}
	reservation := u.limiter.Reserve()
	if wait := reservation.Delay(); wait > 0 {
		reservation.Cancel()
		return apierror.New(http.StatusTooManyRequests, apierror.CodeRateLimited, "the client account's request rate is used up").WithRetryAfter(wait)
	}
	return nil
}

// connectionLimit returns the account's own limit on requests in flight, or this
// instance's default.
func (g *Gateway) connectionLimit(l settings.Limits) int {
	if l.Connections > 0 {
		return l.Connections
	}
	return g.Connections
}

// bodyLimit returns the account's own body limit in bytes, or this instance's
// default.
func (g *Gateway) bodyLimit(l settings.Limits) int64 {
	if l.BodyBytes > 0 {
		return l.BodyBytes
	}
	return g.BodyBytes
}
