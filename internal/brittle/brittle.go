// Package brittle protects backend servers that announce that they are brittle: one that has
// to turn away more than a number of requests within a second, from all instances together,
// falls over.
//
// A server turns a request away if it has no room for it. Therefore each request to a brittle server
// occupies one of its slots, which is granted by the server's arbiter: an instance in its failure
// domain, chosen by a hash over the list of the instances. Each message to the arbiter lists all slots
// that its sender occupies, so that a new arbiter can restore the state of the former one: it first asks
// all instances for their slots. An instance that does not reach the arbiter sends nothing, except in a
// small fleet, where it has a share of the slots for this case.
package brittle

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/announced"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// fullFor is how long a server that turned a request away gets no other one.
	fullFor = time.Second
	// maxRecent is the number of servers from which on outdated states are dropped.
	maxRecent = 256
)

// Limits are the limits of requests that servers named; see dispatch.Limits.
type Limits interface {
	MaySend(server string) bool
	Take(server string) bool
	Next(server string) time.Duration
}

// Options are the dependencies of a Guard.
type Options struct {
	Bus   peers.Bus
	Fleet *fleet.Set
	// IsListed reports whether the other instances are known.
	IsListed func() bool
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// Limits hold besides the room of brittle servers.
	Limits Limits
	Log    *events.Logger
}

// Guard decides whether a brittle server has room for a request. It is safe for concurrent
// use; a nil *Guard records nothing.
type Guard struct {
	Options
	servers *announced.Table
	arbiter *arbiter
	start   start
	// process distinguishes successive processes of this instance. It is not zero, the value of an
	// account without a process.
	process uint64

	mu sync.Mutex
	// full holds, by server, the time until which it gets no request.
	full map[string]time.Time
	// unreachable holds the arbiters that did not answer, and until when they are not asked.
	unreachable map[string]time.Time
	// claims holds the last claim of each server.
	claims   map[serverKey]claim
	holdings map[serverKey]*holdings
	// lastSlot and sequence are the numbers of the last slot and of the last message about slots.
	lastSlot slotID
	sequence uint64
	// list holds the instances as of listedAt.
	list     *members
	listedAt time.Time
}

// New returns a Guard and registers its message handlers.
func New(o Options) *Guard {
	g := &Guard{
		Options: o, process: rand.Uint64() | 1, full: make(map[string]time.Time), unreachable: make(map[string]time.Time),
		start: start{began: time.Now()}, claims: make(map[serverKey]claim), holdings: make(map[serverKey]*holdings),
		servers: announced.New(announced.Options{
			Bus: o.Bus, Fleet: o.Fleet, Kind: peers.KindServerBrittle, Began: events.ServerBrittle, Ended: events.ServerBrittleEnded, Log: o.Log,
		}),
	}
	g.arbiter = newArbiter(g.claim)
	o.Bus.Handle(peers.KindServerFull, g.handleFull)
	o.Bus.Handle(peers.KindSlot, g.handleSlot)
	o.Bus.Handle(peers.KindSlotClaim, g.handleClaim)
	return g
}

// Announced records that a server announced in an answer that it falls over if it has to turn
// away more than a number of requests in a second.
func (g *Guard) Announced(server *fleet.Server, rejections float64) {
	if g != nil {
		g.servers.Announced(server, rejections)
	}
}

// NotAnnounced records that the answer to a request that was sent at a time announced nothing.
func (g *Guard) NotAnnounced(server *fleet.Server, sentAt time.Time) {
	if g != nil {
		g.servers.NotAnnounced(server, sentAt)
	}
}

// Rejected records that a server turned a request away for lack of room.
func (g *Guard) Rejected(server *fleet.Server) {
	if !g.isBrittle(server) {
		return
	}
	g.mu.Lock()
	g.holdingsOf(keyOf(server)).isRejected = true
	g.mu.Unlock()
	if g.markFull(server, "") {
		g.Bus.Broadcast(peers.KindServerFull, fullMessage{Server: server.ID, Started: server.Registration.Started})
	}
}

// isBrittle reports whether a server announced that it is brittle, or others of its service did
// lately.
func (g *Guard) isBrittle(server *fleet.Server) bool {
	_, announced := g.servers.Current(server.ID)
	return announced || g.servers.IsRecent(server.Registration.Service)
}

// handleFull applies a notice that a server turned a request of a peer away.
func (g *Guard) handleFull(_ context.Context, msg peers.Message) (any, error) {
	var m fullMessage
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode server-full notice")
	}
	server, known := g.Fleet.Snapshot().Server(m.Server)
	if known && server.Registration.Started == m.Started {
		g.markFull(server, msg.From)
	}
	return nil, nil
}

// handleSlot applies a message of a peer about the slots of a server of which this instance is the
// arbiter.
func (g *Guard) handleSlot(_ context.Context, msg peers.Message) (any, error) {
	var m slotMessage
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode a message about slots")
	}
	return slotReply{Granted: g.decide(msg.From, &m)}, nil
}

// decide records the slots that an instance occupies and reports whether it gets another one.
func (g *Guard) decide(from string, m *slotMessage) bool {
	server, known := g.Fleet.Snapshot().Server(m.Server)
	if !known || server.Registration.Started != m.Started || !g.IsListed() {
		return false
	}
	return g.arbiter.handle(from, m, server, g.members())
}

// markFull records that a server turned away a request, of this instance unless a peer is given, and
// reports whether it had room before.
func (g *Guard) markFull(server *fleet.Server, peer string) bool {
	g.Log.Log(events.ServerFull, events.Fields{
		Server: server.ID, Peer: peer, Count: int(server.OwnLoad().Requests), Load: float64(server.TotalLoad().Requests),
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	wasFull := now.Before(g.full[server.ID])
	dropOutdated(g.full, now)
	g.full[server.ID] = now.Add(fullFor)
	return !wasFull
}

// dropOutdated removes the ended states if there are many.
func dropOutdated(states map[string]time.Time, now time.Time) {
	if len(states) < maxRecent {
		return
	}
	for id, until := range states {
		if !now.Before(until) {
			delete(states, id)
		}
	}
}

// members returns the instances.
func (g *Guard) members() *members {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.list == nil || now.Sub(g.listedAt) >= listAge {
		g.list, g.listedAt = newMembers(g.list, g.Bus.Self(), g.FailureDomain, g.Bus.Peers(), now), now
	}
	return g.list
}

// MaySend reports whether a request may be sent to a server now, as far as this instance knows
// without asking the server's arbiter.
func (g *Guard) MaySend(server string) bool { return g.Limits.MaySend(server) && g.mayAsk(server) }

// mayAsk reports whether a slot of a server may be asked for.
func (g *Guard) mayAsk(id string) bool {
	if g.servers.Empty() {
		return true
	}
	server, known := g.Fleet.Snapshot().Server(id)
	if !known || !g.isBrittle(server) {
		return true
	}
	arbiter := g.arbiterOf(server, g.members())
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return !now.Before(g.full[id]) && !now.Before(g.unreachable[arbiter])
}

// Next returns how long this instance must not send to a server because of the limit that it
// named; zero if it may now. When a server will have room is not known.
func (g *Guard) Next(server string) time.Duration { return g.Limits.Next(server) }
