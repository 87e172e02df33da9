package serverpath

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/httpanswer"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/relay"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// relayTimeout bounds the opening of a stream through one peer, in time that this process
	// ran: a few round trips, but the peer may be short of processor time.
	relayTimeout = 1500 * time.Millisecond
	// maxRelayTries is the number of peers that are asked for one connection. One that takes no
	// stream says so within a round trip. With five of six instances cut off, one connection in
	// four finds no relay at first.
	maxRelayTries = 8
	// avoidFor is how long a peer is not asked again after it took no stream. One that did not
	// answer is asked if there is no other.
	avoidFor = 2 * time.Second
	// provenFor is how long a peer that carried a stream is preferred to those that are not
	// known to reach the servers, if there are at least minProven of them.
	provenFor = 5 * time.Second
	minProven = 4
	// maxRemembered is the number of peers from which on what has expired is forgotten.
	maxRemembered = 1024
	// findRelayInterval is how often a relay is looked for while no request does.
	findRelayInterval = time.Second
)

// ErrNoRelay means that no peer connects to the server for this instance.
var ErrNoRelay = errors.New("no other instance connects to the backend server")

// relays chooses among the peers that may carry streams.
type relays struct {
	bus    peers.Bus
	domain string

	mu sync.Mutex
	// refused holds, by peer, the time until which it is not asked, unanswered the time until
	// which others are preferred, and proven the time until which it is preferred to others.
	refused, unanswered, proven map[string]time.Time
	// cut holds the services that peers reported to be cut off from.
	cut map[string]cutReport
	// open is the number of streams by peer.
	open map[string]int
}

// cutReport is what a peer reported, until it expires.
type cutReport struct {
	services []string
	expires  time.Time
}

func newRelays(bus peers.Bus, domain string) *relays {
	return &relays{
		bus: bus, domain: domain, refused: make(map[string]time.Time), unanswered: make(map[string]time.Time), proven: make(map[string]time.Time),
		cut: make(map[string]cutReport), open: make(map[string]int),
	}
}

// usable returns the listed peers that may reach a service.
func (r *relays) usable(service string, except []string, now time.Time) (usable []peers.Peer, inDomain int) {
	for _, peer := range r.bus.Peers() {
		isNear := peer.FailureDomain == r.domain
		if isNear {
			inDomain++
		}
		report := r.cut[peer.ID]
		isCut := now.Before(report.expires) && slices.Contains(report.services, service)
		if !isCut && !now.Before(r.refused[peer.ID]) && !slices.Contains(except, peer.ID) {
			usable = append(usable, peer)
		}
	}
	return usable, inDomain
}

// choose returns the one of two random peers with fewer streams. Linked peers go before
// others, which may have ended. Peers of the own failure domain go before others if at
// least half of the domain may be used; otherwise the few that are left would carry the
// streams of all. Several peers that have just carried streams go before all others: of
// these, most may be cut off as well, and only those of the own domain say so.
func (r *relays) choose(service string, except []string, rng *rand.Rand) (peer string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	candidates, inDomain := r.usable(service, except, now)
	candidates = prefer(candidates, func(p peers.Peer) bool { return !now.Before(r.unanswered[p.ID]) }, 1)
	candidates = prefer(candidates, func(p peers.Peer) bool { return now.Before(r.proven[p.ID]) }, minProven)
	candidates = prefer(candidates, func(p peers.Peer) bool { return p.Connected }, 1)
	candidates = prefer(candidates, func(p peers.Peer) bool { return p.FailureDomain == r.domain }, max(1, (inDomain+1)/2))
	if len(candidates) == 0 {
		return "", false
	}
	a, b := candidates[rng.IntN(len(candidates))].ID, candidates[rng.IntN(len(candidates))].ID
	if r.open[b] < r.open[a] {
		return b, true
	}
	return a, true
}

// prefer returns the peers for which the condition holds if there are at least a number of
// them, and all otherwise.
func prefer(list []peers.Peer, condition func(peers.Peer) bool, least int) []peers.Peer {
	preferred := slices.DeleteFunc(slices.Clone(list), func(p peers.Peer) bool { return !condition(p) })
	if len(preferred) >= least {
		return preferred
	}
	return list
}

// avoid excludes a peer for avoidFor if it took no stream, and prefers others if it did not
// answer.
func (r *relays) avoid(peer string, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if len(r.refused)+len(r.unanswered) >= maxRemembered {
		isOver := func(_ string, until time.Time) bool { return !now.Before(until) }
		maps.DeleteFunc(r.refused, isOver)
		maps.DeleteFunc(r.unanswered, isOver)
		maps.DeleteFunc(r.proven, isOver)
	}
	delete(r.proven, peer)
	if answered {
		r.refused[peer] = now.Add(avoidFor)
		return
	}
	r.unanswered[peer] = now.Add(avoidFor)
}

// prove prefers a peer for provenFor.
func (r *relays) prove(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.proven[peer] = time.Now().Add(provenFor)
}

// report records the services that a peer is cut off from.
func (r *relays) report(peer string, services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(services) == 0 {
		delete(r.cut, peer)
		delete(r.refused, peer)
		return
	}
	r.cut[peer] = cutReport{services: services, expires: time.Now().Add(noticeTTL)}
}

func (r *relays) count(peer string, change int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[peer] += change
	if r.open[peer] == 0 {
		delete(r.open, peer)
	}
}

// Relay connects to a server through another instance. The error wraps
// relay.ErrServerUnreachable if the server does not accept connections of an instance that
// reaches others, and ErrNoRelay if no instance was found.
func (p *Paths) Relay(ctx context.Context, server *fleet.Server) (net.Conn, error) {
	service := server.Registration.Service
	var tried []string
	var last error
	for len(tried) < maxRelayTries && ctx.Err() == nil {
		if last = p.awaitTurn(ctx); last != nil {
			break
		}
		peer, ok := p.chooseRelay(service, tried)
		if !ok {
			p.openings.release(time.Now(), false, false)
			break
		}
		tried = append(tried, peer)
		askedAt := time.Now()
		c, err := p.openThrough(ctx, peer, server)
		last = err
		switch {
		case err == nil, errors.Is(err, relay.ErrServerUnreachable):
			p.relays.prove(peer)
			p.fire(service, statechart.PathRelayFound)
			return c, err
		case ctx.Err() == nil:
			p.Log.Log(events.RelayRefused, events.Fields{Server: server.ID, Path: service, Peer: peer, Duration: time.Since(askedAt), Err: err})
			p.relays.avoid(peer, errors.Is(err, relay.ErrUnavailable))
		}
	}
	if ctx.Err() != nil {
		return nil, errors.WithMessagef(ctx.Err(), "%d peers asked, the last one: %v", len(tried), last)
	}
	p.fire(service, statechart.PathRelayLost)
	return nil, ErrNoRelay
}

func (p *Paths) chooseRelay(service string, tried []string) (peer string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.relays.choose(service, tried, p.rng)
}

// awaitTurn waits until one more stream may be opened, no longer than the opening of one may take: a
// request for which there is none by then is refused.
func (p *Paths) awaitTurn(ctx context.Context) error {
	bound, cancel := wait.Bound(ctx, relayTimeout)
	defer cancel()
	return p.openings.acquire(bound)
}

// openThrough opens a stream through a peer, in the turn that the caller has acquired.
func (p *Paths) openThrough(ctx context.Context, peer string, server *fleet.Server) (net.Conn, error) {
	began := time.Now()
	bound, cancel := wait.Bound(ctx, relayTimeout)
	defer cancel()
	p.relays.count(peer, 1)
	c, err := p.Options.Relay(bound, peer, server.ID)
	answered := err == nil || errors.Is(err, relay.ErrUnavailable) || errors.Is(err, relay.ErrServerUnreachable)
	p.openings.release(began, answered, ctx.Err() == nil && bound.Err() != nil)
	if err != nil {
		p.relays.count(peer, -1)
		return nil, err
	}
	return &relayedConn{Conn: c, ended: sync.OnceFunc(func() { p.relays.count(peer, -1) })}, nil
}

// relayedConn counts as a stream of its relay until it is closed.
type relayedConn struct {
	net.Conn
	ended func()
}

// MarkRequest implements httpanswer.RequestMarker.
func (c *relayedConn) MarkRequest() { httpanswer.MarkRequest(c.Conn) }

// Close implements net.Conn.
func (c *relayedConn) Close() error {
	c.ended()
	return c.Conn.Close()
}

// findRelay tries whether another instance connects to a server of a service.
func (p *Paths) findRelay(service string) {
	servers := p.sample(service)
	if len(servers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRelayTries*relayTimeout)
	defer cancel()
	c, err := p.Relay(ctx, servers[0])
	if err == nil {
		_ = c.Close()
	}
}
