// Package serverpath knows whether this instance can connect to the backend servers of a
// service. It tells a fault of the instance's links from a fault of a server, and connects
// through other instances while the links are down.
//
// A server that accepts no connection has a fault of its own if other servers of its service
// accept one at the same time. If none does, the instance is cut off from the service, and
// nothing that it observes says anything about the servers.
package serverpath

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// slowDial is how long a connection may take to be set up until other servers are
	// checked as well. It takes a few milliseconds.
	slowDial = 100 * time.Millisecond
	// silentFor is how long requests may be in flight without a byte of any server of their
	// service until the service is checked. Open connections that hang report nothing.
	silentFor = 400 * time.Millisecond
	// heardFor is how long after a byte of a server open connections count as working.
	heardFor = time.Second
	// tickInterval is the interval of Run.
	tickInterval = 100 * time.Millisecond
	// recheckInterval is the time between two checks of a service that is cut off, and
	// laterRecheckInterval that from recheckBackoff after the begin on.
	recheckInterval      = 250 * time.Millisecond
	laterRecheckInterval = time.Second
	recheckBackoff       = 10 * time.Second
)

// ErrCutOff means that no server of the service accepts a connection of this instance.
var ErrCutOff = errors.New("no backend server of the service can be reached")

// Options are the dependencies of Paths.
type Options struct {
	Bus   peers.Bus
	Fleet *fleet.Set
	Chart *statechart.Chart
	// Dial opens a connection to a server over the links of this instance.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Relay connects to the server with an id through a peer. The errors are those of package
	// relay.
	Relay func(ctx context.Context, peer, server string) (net.Conn, error)
	// Keep takes over a connection of a check; nil closes it.
	Keep func(address string, c net.Conn)
	// Restored is called when a service is reached again, with the time since which it was
	// cut off; it may be nil.
	Restored func(service string, since time.Time)
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// Seed seeds the choice of servers and relays.
	Seed uint64
	Log  *events.Logger
}

// Paths are the paths of an instance to the backend servers. It is safe for concurrent use; a
// nil *Paths counts every service as reached.
type Paths struct {
	Options
	relays   *relays
	openings *openings

	mu       sync.Mutex
	rng      *rand.Rand
	services map[string]*path

	// noticedAt is when Run last repeated the notice to the peers.
	noticedAt time.Time
}

// path is the path to the servers of one service.
type path struct {
	service string
	machine *statechart.Machine
	// running is the check in progress; nil for none.
	running *check
	// nextCheck is the earliest time of a check by Run.
	nextCheck time.Time
	// cutSince is when the instance was found to be cut off; it is valid unless the state is
	// PathDirect.
	cutSince time.Time
	// inFlight is the number of requests in flight, busySince when the first of them was sent,
	// and heardAt when bytes of a server last arrived.
	inFlight           int
	busySince, heardAt time.Time
	// relayedAt is when a peer last connected to a server for this instance, and askedAt when
	// Run last asked one to.
	relayedAt, askedAt time.Time
}

// silence returns how long requests have been in flight without a byte of any server; zero if
// none is.
func (s *path) silence(now time.Time) time.Duration {
	if s.inFlight == 0 {
		return 0
	}
	if s.busySince.After(s.heardAt) {
		return now.Sub(s.busySince)
	}
	return now.Sub(s.heardAt)
}

// New returns Paths and registers their message handler.
func New(o Options) *Paths {
	p := &Paths{Options: o, rng: rand.New(rand.NewPCG(o.Seed, o.Seed+1)), services: make(map[string]*path)}
	p.relays, p.openings = newRelays(o.Bus, o.FailureDomain), newOpenings()
	o.Bus.Handle(peers.KindServerPath, p.handle)
	return p
}

// path returns the path to a service. The caller holds the lock.
func (p *Paths) path(service string) *path {
	s := p.services[service]
	if s == nil {
		s = &path{service: service, machine: statechart.NewMachine(p.Chart)}
		p.services[service] = s
	}
	return s
}

// IsDirect reports whether this instance reaches the servers of a service, as far as it
// knows.
func (p *Paths) IsDirect(service string) bool {
	return p == nil || p.State(service) == statechart.PathDirect
}

// State returns the state of the path to a service.
func (p *Paths) State(service string) statechart.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.path(service).machine.State()
}

// IsRelayed reports whether this instance reaches no servers, while others connect to them
// for it.
func (p *Paths) IsRelayed() bool {
	isRelayed := false
	for _, service := range p.Fleet.Snapshot().Services() {
		switch p.State(service) {
		case statechart.PathDirect:
			return false
		case statechart.PathRelayed:
			isRelayed = true
		}
	}
	return isRelayed
}

// Unreached returns the number of services that this instance is cut off from.
func (p *Paths) Unreached() int {
	count := 0
	for _, service := range p.Fleet.Snapshot().Services() {
		if !p.IsDirect(service) {
			count++
		}
	}
	return count
}

// Direct connects to a server of a service over the links of this instance: connect opens a
// connection or returns one that is open. The error wraps ErrCutOff if no server is reached,
// and is that of connect otherwise.
func (p *Paths) Direct(ctx context.Context, service string, connect func(ctx context.Context) error) error {
	connectCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	slow := time.AfterFunc(slowDial, func() {
		if !p.Check(connectCtx, service) {
			cancel()
		}
	})
	defer slow.Stop()
	err := connect(connectCtx)
	if err == nil || ctx.Err() != nil || p.IsDirect(service) && p.Check(ctx, service) {
		return err
	}
	return errors.WithMessage(ErrCutOff, err.Error())
}

// Sent records that a request was sent to a server of a service.
func (p *Paths) Sent(service string) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.path(service)
	if s.inFlight == 0 {
		s.busySince = time.Now()
	}
	s.inFlight++
}

// Ended records that a request that was sent to a server of a service has ended.
func (p *Paths) Ended(service string) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path(service).inFlight--
}

// Received records that bytes of a server of a service arrived over the links of this
// instance.
func (p *Paths) Received(service string) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path(service).heardAt = time.Now()
}

// IsHeard reports whether bytes of a server of a service arrived within heardFor: open
// connections work, also if new ones can't be opened.
func (p *Paths) IsHeard(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.path(service).heardAt) < heardFor
}

// fire applies an event to the path of a service. The caller doesn't hold the lock.
func (p *Paths) fire(service string, e statechart.Event) {
	p.mu.Lock()
	s := p.path(service)
	if s.machine.Final() {
		p.mu.Unlock()
		return
	}
	now := time.Now()
	if e == statechart.PathRelayLost && now.Sub(s.relayedAt) < findRelayInterval {
		p.mu.Unlock()
		return
	}
	from := s.machine.State()
	to, err := s.machine.Fire(e)
	since := s.cutSince
	if from == statechart.PathDirect && to != from {
		s.cutSince = now
	}
	if e == statechart.PathRelayFound {
		s.relayedAt = now
	}
	p.mu.Unlock()
	switch {
	case err != nil:
		p.Log.Log(events.ProcessStepRefused, events.Fields{Path: service, Err: err})
		return
	case from == to:
		return
	}
	p.Log.Log(events.ServerPathChanged, events.Fields{Path: service, Outcome: string(to), Reason: string(e)})
	switch {
	case to == statechart.PathStopped:
	case to == statechart.PathDirect:
		p.notify()
		if p.Restored != nil {
			p.Restored(service, since)
		}
	case from == statechart.PathDirect:
		p.notify()
		p.checkOthers(service)
	}
}

// Run checks the paths until the context ends.
func (p *Paths) Run(ctx context.Context) {
	wait.Every(ctx, tickInterval, p.tick)
	for _, service := range p.Fleet.Snapshot().Services() {
		p.fire(service, statechart.PathStop)
	}
}

// tick starts the checks that are due, looks for relays and repeats the notice to the peers.
func (p *Paths) tick() {
	now := time.Now()
	for _, service := range p.Fleet.Snapshot().Services() {
		if p.isCheckDue(service, now) {
			p.startCheck(service)
		}
		if p.isRelayDue(service, now) {
			go p.findRelay(service)
		}
	}
	p.repeatNotice(now)
}

// isCheckDue reports whether a service must be checked now: it is cut off, or its servers are
// silent while requests are in flight.
func (p *Paths) isCheckDue(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.path(service)
	isCut := s.machine.State() != statechart.PathDirect
	isSilent := s.silence(now) >= silentFor
	if !isCut && !isSilent || now.Before(s.nextCheck) {
		return false
	}
	interval := recheckInterval
	switch {
	case !isCut:
		interval = silentFor
	case now.Sub(s.cutSince) >= recheckBackoff:
		interval = laterRecheckInterval
	}
	s.nextCheck = now.Add(interval)
	return true
}

// isRelayDue reports whether a relay must be looked for now: the service is cut off, and no
// request found one lately.
func (p *Paths) isRelayDue(service string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.path(service)
	if s.machine.State() == statechart.PathDirect || now.Sub(s.relayedAt) < findRelayInterval || now.Sub(s.askedAt) < findRelayInterval {
		return false
	}
	s.askedAt = now
	return true
}

// checkOthers checks the services other than one that was found to be cut off.
func (p *Paths) checkOthers(service string) {
	for _, other := range p.Fleet.Snapshot().Services() {
		if other != service && p.IsDirect(other) {
			p.startCheck(other)
		}
	}
}
