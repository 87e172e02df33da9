package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/ladder"
	"github.com/basilrail/basilrail/internal/metrics"
	"github.com/basilrail/basilrail/internal/pace"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
)

const (
	// comeBackSoon is when to come back after a refusal that a moment may mend: a
	// full server has a free place again within a few answers, an instance that has
	// just started reads the configuration in as much.
	comeBackSoon = 300 * time.Millisecond
	// comeBackLater is when to come back to an instance that lost sight of the
	// configuration: another one may answer.
	comeBackLater = time.Second
)

// Releases decides which release of a service runs a request while a new one is
// rolled out.
type Releases interface {
	// Choose returns the release; empty for any.
	Choose(service, session string) string
	// Observe tells how an attempt ended.
	Observe(o Observation)
}

// Alarm tells other instances of a backend server that is silent.
type Alarm interface {
	Raise(server *fleet.Server)
}

// Breaks knows the contents that break the servers which run them.
type Breaks interface {
	// Empty reports whether nothing is known against any content.
	Empty() bool
	// Refused tells for how long a content is refused; zero if it may be sent.
	Refused(content quarantine.Fingerprint) time.Duration
	// Broke notes that a server broke off while it ran a content since began.
	Broke(content quarantine.Fingerprint, server string, began time.Time)
	// Answered notes that a server answered a content whole.
	Answered(content quarantine.Fingerprint)
}

// Observation is how one attempt at a backend server ended.
type Observation struct {
	Service string
	Release string
	Route   string
	// Failed tells that the server failed, not the request.
	Failed bool
	// Latency is the time to the whole answer or to a stream's first event; zero
	// where there was none.
	Latency time.Duration
	// InputTokens is the length of the prompt.
	InputTokens int
}

// Options is what a Dispatcher works with.
type Options struct {
	Routing   *routing.State
	Fleet     *fleet.Set
	Transport Transport
	Releases  Releases
	// Alarm may be nil.
	Alarm  Alarm
	Breaks Breaks
	Budget *retry.Budget
	// FailureDomain is the instance's own.
	FailureDomain string
	// Seed makes the decisions of a test repeatable.
	Seed    uint64
	Log     *events.Logger
	Metrics *metrics.Registry
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	Options
	pace *pace.Book
	mu   sync.Mutex
	rng  *rand.Rand
}

// New makes a Dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{Options: o, pace: pace.NewBook(), rng: rand.New(rand.NewPCG(o.Seed, o.Seed))}
}

// draw returns a number between 0 and 1.
func (d *Dispatcher) draw() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}

// random makes a source for one decision.
func (d *Dispatcher) random() *rand.Rand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return rand.New(rand.NewPCG(d.rng.Uint64(), d.rng.Uint64()))
}

// Serve answers or refuses a request. The context ends when the caller leaves.
func (d *Dispatcher) Serve(ctx context.Context, req *Request, out Responder) {
	x := &exchange{d: d, req: req, out: out, ran: apierror.NotRun}
	refusal := x.open()
	if refusal == nil {
		limited, cancel := context.WithDeadline(ctx, x.deadline)
		refusal = x.run(limited)
		cancel()
	}
	if refusal != nil && ctx.Err() != nil {
		refusal.Reason = CallerGone
	}
	x.finish(refusal)
}

// open finds the route and the client account.
func (x *exchange) open() *Refusal {
	x.table = x.d.Routing.Table()
	if x.table == nil {
		return refused(NoConfiguration, comeBackSoon)
	}
	route, ok := x.table.Match(x.req.Host, x.req.Path)
	if !ok {
		return refused(NoRoute, 0)
	}
	x.route = route
	if x.table.NeedsKey(route) {
		if refusal := x.identify(); refusal != nil {
			return refusal
		}
	}
	x.deadline = x.req.Arrived.Add(route.Timeout)
	if p := x.req.Patience; p > 0 && (route.Timeout <= 0 || p < route.Timeout) {
		x.deadline = x.req.Arrived.Add(p)
	}
	x.d.Budget.Request()
	return x.plan()
}

// identify finds the client account of the key.
func (x *exchange) identify() *Refusal {
	if !x.d.Routing.Vouched() {
		return refused(NotVouched, comeBackLater)
	}
	account, ok := x.table.Account(x.req.Key)
	if !ok {
		return refused(BadKey, 0)
	}
	x.account = account
	return nil
}

// plan chooses the service, its release and the models that may answer.
func (x *exchange) plan() *Refusal {
	service, ok := x.route.Choose(x.d.draw())
	if !ok {
		return refused(NoServer, comeBackLater)
	}
	x.service = service
	x.release = x.d.Releases.Choose(service, x.req.Session)
	if !x.req.AnyModel {
		return nil
	}
	known, _ := x.table.Service(service)
	for _, model := range x.route.Models {
		price := 0.0
		if known != nil {
			price = known.Price[model]
		}
		x.rungs = append(x.rungs, ladder.Rung{Model: model, Price: price})
	}
	if len(x.rungs) > 0 {
		x.rung = ladder.First(x.rungs)
	}
	return nil
}

func refused(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Reason: reason, Ran: apierror.NotRun, RetryAfter: retryAfter}
}
