package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilrail/basilrail/internal/admission"
	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/brittle"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fifo"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/locality"
	"github.com/basilrail/basilrail/internal/metrics"
	"github.com/basilrail/basilrail/internal/modeltier"
	"github.com/basilrail/basilrail/internal/poison"
	"github.com/basilrail/basilrail/internal/prefill"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
	"github.com/basilrail/basilrail/internal/scheduling"
	"github.com/basilrail/basilrail/internal/serverspeed"
)

const (
	// shortRetryAfter is the retry delay after a refusal whose cause passes
	// quickly: a full server frees a slot within a few answers, and an instance
	// that has just started reads its configuration in about the same time.
	shortRetryAfter = 300 * time.Millisecond
	// longRetryAfter is the retry delay when the instance can no longer confirm its
	// configuration, so that the retry may reach another instance, and when no target
	// of the route has a weight.
	longRetryAfter = time.Second
)

// Releases selects the release of a service that runs a request, also during an
// upgrade of the service.
type Releases interface {
	// Choose returns the release, or "" if any release may run the request.
	Choose(service, session string) string
	// IsWithdrawn reports whether a release was judged bad and must get no request.
	IsWithdrawn(service, release string) bool
	// Alternative returns the release that repeats a request which failed at a release
	// that is being judged; empty for none.
	Alternative(service, release string) string
	// Packs reports whether the requests of a release are to be packed onto few of its
	// servers, which shows the release under load.
	Packs(service, release string) bool
	// Observe records the result of an attempt.
	Observe(o Observation)
}

// UnresponsiveNotifier notifies other instances of an unresponsive backend server.
type UnresponsiveNotifier interface {
	// NotifyUnreachable broadcasts to the peers that this instance can't connect to server.
	NotifyUnreachable(server *fleet.Server)
	// NotifySilent broadcasts to the peers that server does not respond.
	NotifySilent(server *fleet.Server)
}

// DisconnectTracker tracks request contents that make servers disconnect while they
// run them.
type DisconnectTracker interface {
	// Empty reports whether no content is tracked.
	Empty() bool
	// Admit returns how long a content is still refused; zero if it may be sent. With isTrial it may be sent
	// once, as a trial of a refused content.
	Admit(ctx context.Context, content quarantine.Fingerprint) (refusedFor time.Duration, isTrial bool)
	// ReturnTrial gives a trial back whose request reached no server.
	ReturnTrial(content quarantine.Fingerprint)
	// Disconnected records that a server process disconnected at a time while running a content. The
	// attempt began at started.
	Disconnected(content quarantine.Fingerprint, server fleet.Process, started, at time.Time)
	// Answered records that a server answered a content completely.
	Answered(content quarantine.Fingerprint)
}

// Limits are the limits of requests that backend servers named, and the room of those that
// are brittle.
type Limits interface {
	scheduling.Limits
	// Take reports whether a request that ends at a time at the latest may be sent to a server now, and
	// counts it. The slot that it occupies must be ended; it is nil for none.
	Take(server string, until time.Time) (slot *brittle.Slot, ok bool)
	// Next returns how long this instance must not send to a server; zero if it may now.
	Next(server string) time.Duration
	// Rejected records that a server turned a request away for lack of room.
	Rejected(server *fleet.Server)
}

// Paths tells faults of the links of this instance from faults of servers.
type Paths interface {
	// Check reports whether a server of the service accepts a new connection of this instance
	// now, or whether that was so last if the context ends before.
	Check(ctx context.Context, service string) bool
}

// Observation is the result of one attempt at a backend server.
type Observation struct {
	Service string
	Release string
	Route   string
	// Failed reports whether the server failed, as opposed to a fault of the
	// request.
	Failed bool
	// Latency is the time to the complete answer or to the first event of a stream; zero
	// if there was neither. If GivenUp is set it is the time after which the attempt
	// ended without either.
	Latency time.Duration
	GivenUp bool
	// Model is the model that was asked; empty if the caller selected it.
	Model string
	// InputTokens is the prompt length in tokens.
	InputTokens int
}

// Options configures a Dispatcher.
type Options struct {
	Routing   *routing.State
	Fleet     *fleet.Set
	Transport Transport
	Releases  Releases
	// Notifier may be nil.
	Notifier    UnresponsiveNotifier
	Disconnects DisconnectTracker
	// Poison finds parts of prompts that crash servers; it may be nil.
	Poison *poison.Tracker
	// Limits bound the requests to servers that are in need.
	Limits Limits
	// Paths may be nil: then every fault counts as one of the server.
	Paths Paths
	// Speeds and Lengths estimate when answers are complete; both may be nil.
	Speeds  *serverspeed.Tracker
	Lengths *serverspeed.Lengths
	// Admission refuses requests to services that are short of capacity; it may be nil.
	Admission *admission.Controller
	// Locality decides which requests leave the failure domain; it may be nil.
	Locality *locality.Exchange
	// Budgets bounds the attempts after the first.
	Budgets *retry.Budgets
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// Seed seeds the random decisions, so that tests are reproducible.
	Seed    uint64
	Log     *events.Logger
	Metrics *metrics.Registry
}

// Dispatcher serves requests. It is safe for concurrent use.
type Dispatcher struct {
	Options
	prefill *prefill.Estimator
	// sufficiency learns on which routes the smallest model is good enough by itself.
	sufficiency *modeltier.Sufficiency
	mu          sync.Mutex
	rng         *rand.Rand
	// waiting holds, by service, the requests that wait for the end of a pause.
	waiting map[string]*fifo.Queue
	// stop is set while the instance stops, and ended is done at its end.
	stop  atomic.Pointer[stop]
	ended context.Context
	end   context.CancelFunc
}

// New returns a Dispatcher with the given options.
func New(o Options) *Dispatcher {
	ended, end := context.WithCancel(context.Background())
	return &Dispatcher{
		Options: o, prefill: prefill.NewEstimator(), rng: rand.New(rand.NewPCG(o.Seed, o.Seed)),
		waiting: make(map[string]*fifo.Queue), ended: ended, end: end, sufficiency: modeltier.NewSufficiency(),
	}
}

// queue returns the queue of the requests to a service that wait for the end of a pause.
func (d *Dispatcher) queue(service string) *fifo.Queue {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.waiting[service]
	if q == nil {
		q = fifo.New(pauseEndSpacing)
		d.waiting[service] = q
	}
	return q
}

// draw returns a random number in [0, 1).
func (d *Dispatcher) draw() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}

// random returns a random source for one decision.
func (d *Dispatcher) random() *rand.Rand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return rand.New(rand.NewPCG(d.rng.Uint64(), d.rng.Uint64()))
}

// Serve answers or refuses a request. The context must be cancelled when the caller
// disconnects.
func (d *Dispatcher) Serve(ctx context.Context, req *Request, out Responder) {
	x := &exchange{d: d, req: req, out: out, execution: apierror.NotRun}
	refusal := x.prepare()
	if refusal == nil {
		limited, cancel := context.WithDeadline(ctx, x.deadline)
		atEnd := context.AfterFunc(d.ended, cancel)
		refusal = x.run(limited)
		atEnd()
		cancel()
	}
	switch {
	case refusal != nil && ctx.Err() != nil:
		refusal.Reason = CallerGone
	case refusal != nil && d.ended.Err() != nil:
		refusal.Reason, refusal.RetryAfter = Stopping, stoppingRetryAfter
	}
	if refusal != nil && x.isContentTrial && x.execution == apierror.NotRun {
		d.Disconnects.ReturnTrial(x.fingerprint())
	}
	x.finish(refusal)
}

// Refuse refuses a request that is not served, and logs it.
func (d *Dispatcher) Refuse(req *Request, out Responder, refusal Refusal) {
	x := &exchange{d: d, req: req, out: out, execution: refusal.Execution}
	x.finish(&refusal)
}

// prepare finds the route and the client account, sets the deadline and chooses the
// service.
func (x *exchange) prepare() *Refusal {
	x.table = x.d.Routing.Table()
	if x.table == nil {
		return refused(NoConfiguration, shortRetryAfter)
	}
	route, ok := x.table.Match(x.req.Host, x.req.Path)
	if !ok {
		return refused(NoRoute, 0)
	}
	x.route = route
	if x.table.NeedsKey(route) {
		if refusal := x.authenticate(); refusal != nil {
			return refusal
		}
	}
	x.deadline = x.req.Arrived.Add(route.Timeout)
	if timeout := x.req.CallerTimeout; timeout > 0 && (route.Timeout <= 0 || timeout < route.Timeout) {
		x.deadline = x.req.Arrived.Add(timeout)
	}
	return x.plan()
}

// authenticate looks up the client account of the request's key.
func (x *exchange) authenticate() *Refusal {
	if !x.d.Routing.Confirmed() {
		return refused(NotConfirmed, longRetryAfter)
	}
	account, ok := x.table.Account(x.req.Key)
	if !ok {
		return refused(BadKey, 0)
	}
	x.account = account
	return nil
}

// plan chooses the service, its release and the model tiers that may answer, and adds
// the request to the service's retry budget.
func (x *exchange) plan() *Refusal {
	service, ok := x.route.Choose(x.d.draw())
	if !ok {
		return refused(NoServer, longRetryAfter)
	}
	x.service = service
	x.d.Budgets.Request(service)
	x.release = x.d.Releases.Choose(service, x.req.Session)
	if !x.req.AnyModel {
		return nil
	}
	config, _ := x.table.Service(service)
	for _, model := range x.route.Models {
		cost := 0.0
		if config != nil {
			cost = config.Cost[model]
		}
		x.tiers = append(x.tiers, modeltier.Tier{Model: model, Cost: cost})
	}
	if len(x.tiers) > 0 {
		x.tier = x.firstTier()
	}
	return nil
}

// isReplaceable reports whether an answer of the first model can be replaced by that of a larger one.
func (x *exchange) isReplaceable() bool { return x.route.Repeatable() && x.route.MaxAttempts > 1 }

// firstTier returns the model of the first attempt. Where it is also the only one, its answer must be good enough by
// itself.
func (x *exchange) firstTier() int {
	if x.isReplaceable() {
		return modeltier.First(x.tiers)
	}
	utilization := x.d.Fleet.Snapshot().Utilization(x.service, x.release)
	only := modeltier.Only(x.tiers, x.d.sufficiency.IsSufficient(x.route.Name), utilization, x.d.draw())
	if tier, ok := x.largestInTime(only); ok {
		return tier
	}
	return modeltier.First(x.tiers)
}

func refused(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Reason: reason, Execution: apierror.NotRun, RetryAfter: retryAfter}
}
