// Package admission decides which requests are sent to a service that is short of capacity, and refuses the others at once.
//
// Without it all requests of an overloaded service stand in the queues of its servers: all are late, servers turn requests away at random,
// and an account that sends many takes the place of the others. The instances of a failure domain exchange what they demand and
// what was served in the last second, and admit as much as the servers start: the most urgent requests first, then by fair share of the
// accounts.
package admission

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// reportTTL is the age at which a peer's report expires.
	reportTTL = 600 * time.Millisecond
	// reportUtilization is the fraction of the slots in use from which an instance reports to its peers, and for reportTime after: what
	// one instance decides rests on the reports of all.
	reportUtilization = 0.7
	reportTime        = 2 * time.Second
	// maxClasses bounds the classes of a service that are told apart; the others share one.
	maxClasses = 256
	// maxPriority is the least urgent priority that a message holds.
	maxPriority = math.MaxInt16
	// maxCredit bounds the requests that a class may send at once after a pause.
	maxCredit = 2.0
	// maxCost bounds the cost of a request, whose size its caller states: one request must not make a service look short.
	maxCost = 1 << 17
	// minRetryAfter and maxRetryAfter bound the time after which a refused request may return.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Options are the dependencies of a Controller.
type Options struct {
	Bus   peers.Bus
	Fleet *fleet.Set
	// Rand is used under a lock.
	Rand *rand.Rand
	Log  *events.Logger
}

// Controller admits the requests to the services. It is safe for concurrent use; a nil *Controller admits all.
type Controller struct {
	Options

	mu       sync.Mutex
	services map[string]*service
}

// service is the state of a service.
type service struct {
	meter   meter
	control control
	// shares are the fractions that are admitted while the service is short, and credits what each class may send.
	shares  map[Class]float64
	credits map[Class]float64
	// reports are those of the peers.
	reports map[string]report
	// waiting is the cost of the admitted requests without an answer or event.
	waiting float64
	// reportUntil is until when this instance reports to its peers.
	reportUntil time.Time
	// overload is the demand in relation to the capacity.
	overload float64
}

// report is the totals of a peer and when they were received.
type report struct {
	totals totals
	at     time.Time
}

// classDemand is the demand of a class in a message.
type classDemand struct {
	_        struct{} `cbor:",toarray"`
	Priority int16
	Account  string
	Cost     float32
}

// message is the body of peers.KindAdmission: the totals of the sender's requests to a service in a window.
type message struct {
	Service string        `cbor:"1,keyasint"`
	Demand  []classDemand `cbor:"2,keyasint"`
	Started float32       `cbor:"3,keyasint"`
	Waiting float32       `cbor:"4,keyasint"`
	Starts  uint16        `cbor:"5,keyasint"`
}

// New returns a Controller and registers its message handler.
func New(o Options) *Controller {
	c := &Controller{Options: o, services: make(map[string]*service)}
	o.Bus.Handle(peers.KindAdmission, c.handle)
	return c
}

// Run decides in each interval which part of the demand is admitted, until the context is done.
func (c *Controller) Run(ctx context.Context) { wait.Every(ctx, interval, c.decide) }

// service returns the state of a service. The caller holds the lock.
func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{credits: make(map[Class]float64), reports: make(map[string]report)}
		c.services[name] = s
	}
	return s
}

// Request is a request to be admitted.
type Request struct {
	Service string
	Class   Class
	// Cost is its cost in tokens, which counts up to maxCost; 1 for a plain call.
	Cost float64
	// Target is the time to the answer or first event that its caller expects; zero for none.
	Target time.Duration
}

// cost returns the cost that counts.
func (r *Request) cost() float64 { return min(r.Cost, maxCost) }

// Admit reports whether a request may be sent. If not, retryAfter is when capacity is expected.
func (c *Controller) Admit(r Request) (retryAfter time.Duration, ok bool) {
	if c == nil {
		return 0, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service)
	r.Class.Priority = min(r.Class.Priority, maxPriority)
	bucket := s.meter.current()
	if _, known := bucket.demand[r.Class]; !known && len(bucket.demand) >= maxClasses {
		r.Class.Account = ""
	}
	bucket.demand[r.Class] += r.cost()
	bucket.targets += r.Target
	bucket.arrivals++
	if !s.control.isShort() {
		s.waiting += r.cost()
		return 0, true
	}
	share, known := s.shares[r.Class]
	if !known {
		// An account that has just begun is within its share.
		share = 1
	}
	credit, known := s.credits[r.Class]
	if !known {
		// Many instances see few requests of a class: each admits its part of them in the sum.
		credit = c.Rand.Float64()
	}
	credit = min(maxCredit, credit+share)
	if credit < 1 {
		s.credits[r.Class] = credit
		return s.retryAfter(), false
	}
	s.credits[r.Class] = credit - 1
	s.waiting += r.cost()
	return 0, true
}

// retryAfter returns when a refused request may return: what is beyond the capacity now needs that much longer.
func (s *service) retryAfter() time.Duration {
	// With next to no capacity the overload exceeds the range of a Duration.
	excess := min(maxRetryAfter.Seconds(), s.overload-1)
	return max(minRetryAfter, time.Duration(excess*float64(time.Second)))
}

// Started records that the answer or the first event of an admitted request has come.
func (c *Controller) Started(r Request) { c.endWait(r, true) }

// Abandoned records that an admitted request ended without an answer or event. It is called instead of Started.
func (c *Controller) Abandoned(r Request) { c.endWait(r, false) }

func (c *Controller) endWait(r Request, hasStarted bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service)
	s.waiting = max(0, s.waiting-r.cost())
	if hasStarted {
		bucket := s.meter.current()
		bucket.started += r.cost()
		bucket.starts++
	}
}

// handle records the report of a peer.
func (c *Controller) handle(_ context.Context, msg peers.Message) (any, error) {
	var m message
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode a peer's demand on a service")
	}
	t := totals{demand: make(map[Class]float64), started: plausible(m.Started), waiting: plausible(m.Waiting), starts: float64(m.Starts)}
	for _, d := range m.Demand[:min(len(m.Demand), maxClasses)] {
		t.demand[Class{int(d.Priority), settings.AccountID(d.Account)}] += plausible(d.Cost)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.Fleet.Snapshot().Servers(m.Service)) > 0 {
		c.service(m.Service).reports[msg.From] = report{totals: t, at: time.Now()}
	}
	return nil, nil
}

// plausible returns a number of a message; zero if it is negative or not a number.
func plausible(v float32) float64 {
	if v > 0 && v < 1e12 {
		return float64(v)
	}
	return 0
}

// decide renews the decisions on all services and reports to the peers.
func (c *Controller) decide() {
	snap, now := c.Fleet.Snapshot(), time.Now()
	c.mu.Lock()
	var reports []message
	for name, s := range c.services {
		own := s.meter.sum()
		own.waiting = s.waiting
		l := load{utilization: utilizationOf(snap, name, now), target: own.meanTarget()}
		if l.utilization >= reportUtilization || s.control.isShort() {
			s.reportUntil = now.Add(reportTime)
		}
		if own.totalDemand() > 0 && now.Before(s.reportUntil) {
			reports = append(reports, encode(name, &own))
		}
		c.update(name, s, &own, l, now)
		s.meter.advance()
	}
	c.mu.Unlock()
	for _, m := range reports {
		c.Bus.Broadcast(peers.KindAdmission, m)
	}
}

// update renews the decision on a service. The caller holds the lock.
func (c *Controller) update(name string, s *service, own *totals, l load, now time.Time) {
	sum := totals{}
	sum.add(own)
	for peer, r := range s.reports {
		if now.Sub(r.at) > reportTTL {
			delete(s.reports, peer)
			continue
		}
		sum.add(&r.totals)
	}
	wasShort := s.control.isShort()
	s.control.update(&sum, l)
	switch {
	case s.control.isShort():
		s.shares = shares(s.control.capacity*window.Seconds(), sum.demand)
		s.overload = sum.totalDemand() / window.Seconds() / s.control.capacity
		if !wasShort {
			c.Log.Log(events.ServiceShort, events.Fields{Path: name, Load: l.utilization, Rate: s.control.capacity})
		}
	case wasShort:
		s.shares = nil
		clear(s.credits)
		c.Log.Log(events.ServiceNotShort, events.Fields{Path: name, Load: l.utilization})
	}
}

// encode returns the message with the totals of a service.
func encode(service string, t *totals) message {
	m := message{Service: service, Started: float32(t.started), Waiting: float32(t.waiting), Starts: uint16(min(t.starts, math.MaxUint16))}
	for class, cost := range t.demand {
		m.Demand = append(m.Demand, classDemand{Priority: int16(class.Priority), Account: string(class.Account), Cost: float32(cost)})
	}
	return m
}

// Short returns the number of services that are short of capacity.
func (c *Controller) Short() int {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.services {
		if s.control.isShort() {
			n++
		}
	}
	return n
}

// utilizationOf returns the requests at the servers of a service that this failure domain uses in relation to their slots; 1 if
// it has no server that is available: what the others bear is not known here.
func utilizationOf(snap *fleet.Snapshot, service string, now time.Time) float64 {
	var requests, slots int64
	for _, server := range snap.SameDomain(service, "") {
		known, ok := snap.Server(server.ID)
		if !ok || !known.Available(now) || server.Status().Draining || server.Status().Evacuated {
			continue
		}
		requests += server.TotalLoad().Requests
		slots += int64(server.Settings.Capacity)
	}
	if slots == 0 {
		return 1
	}
	return float64(requests) / float64(slots)
}
