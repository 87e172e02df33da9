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
	// tooManyConnectionsRetry is when to come back after too many requests in flight.
	tooManyConnectionsRetry = time.Second
	// rateBurst is how many seconds' worth of requests may come at once.
	rateBurst = 2
)

// accountLimits counts what one client account uses of this instance.
type accountLimits struct {
	inFlight int
	limiter  *rate.Limiter
}

// limitTable holds the limits of every account seen. Accounts come from the
// settings, so their number is bounded by them.
type limitTable struct {
	mu       sync.Mutex
	accounts map[settings.AccountID]*accountLimits
}

func newLimitTable() *limitTable {
	return &limitTable{accounts: make(map[settings.AccountID]*accountLimits)}
}

// enter counts a request in; leave must be called if and only if err is nil.
func (t *limitTable) enter(view *settings.AccountView, connections int) (leave func(), err *apierror.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	use := t.of(view)
	if use.inFlight >= connections {
		return nil, apierror.New(http.StatusTooManyRequests, apierror.CodeRateLimited, "too many requests in flight for this client account").
			Retry(tooManyConnectionsRetry)
	}
	if refusal := use.takeRate(view.Account.Limits.RequestsPerSecond); refusal != nil {
		return nil, refusal
	}
	use.inFlight++
	return func() { t.leave(use) }, nil
}

func (t *limitTable) leave(use *accountLimits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	use.inFlight--
}

func (t *limitTable) of(view *settings.AccountView) *accountLimits {
	use, ok := t.accounts[view.ID]
	if !ok {
		use = &accountLimits{}
		t.accounts[view.ID] = use
	}
	return use
}

// takeRate spends one request of the account's rate; zero means no limit.
func (u *accountLimits) takeRate(perSecond float64) *apierror.Error {
	if perSecond <= 0 {
		return nil
	}
	if u.limiter == nil || float64(u.limiter.Limit()) != perSecond {
		u.limiter = rate.NewLimiter(rate.Limit(perSecond), int(perSecond*rateBurst)+1)
	}
	reservation := u.limiter.Reserve()
	if wait := reservation.Delay(); wait > 0 {
		reservation.Cancel()
		return apierror.New(http.StatusTooManyRequests, apierror.CodeRateLimited, "the client account's request rate is used up").Retry(wait)
	}
	return nil
}

// connectionLimit is the account's own limit, or this instance's.
func (g *Gateway) connectionLimit(l settings.Limits) int {
	if l.Connections > 0 {
		return l.Connections
	}
	return g.Connections
}

// bodyLimit is the account's own limit, or this instance's.
func (g *Gateway) bodyLimit(l settings.Limits) int64 {
	if l.BodyBytes > 0 {
		return l.BodyBytes
	}
	return g.BodyBytes
}
