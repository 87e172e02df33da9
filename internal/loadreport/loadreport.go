// Package loadreport exchanges the load in flight at the backend servers among the
// instances of a failure domain, so that they don't all pick the same server.
//
// Without it, each of many dispatchers in front of few slots sees only a small part
// of a server's load, and a choice based on that part is little better than a random
// one. Requests mostly stay in their failure domain, so the load of its instances is
// nearly the whole load of its servers.
package loadreport

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// broadcastInterval is the minimum time between two messages of an instance.
	// With 17 instances in a failure domain this costs each of them 160 small
	// frames per second.
	broadcastInterval = 100 * time.Millisecond
	// reportTTL is the age at which a peer's report expires: the peer is disconnected or
	// has no requests in flight.
	reportTTL = 1500 * time.Millisecond
	// rebroadcastInterval is the time after which an unchanged load is sent again.
	rebroadcastInterval = 700 * time.Millisecond
)

// entry is the load at one server, in a compact encoding.
type entry struct {
	_ struct{} `cbor:",toarray"`
	// Server is the lower 32 bits of the hash of the server's ID.
	Server   uint32
	Requests uint16
	// PrefillMS is the estimated prefill time of the prompts in flight, in
	// milliseconds.
	PrefillMS uint32
}

// report is the load in flight of one peer and the time it was received.
type report struct {
	entries []entry
	at      time.Time
}

// Exchange broadcasts this instance's load and sums up that of its peers. It is safe
// for concurrent use.
type Exchange struct {
	bus   peers.Bus
	fleet *fleet.Set

	mu      sync.Mutex
	reports map[string]report
}

// New returns an Exchange and registers its message handler.
func New(bus peers.Bus, set *fleet.Set) *Exchange {
	x := &Exchange{bus: bus, fleet: set, reports: make(map[string]report)}
	bus.Handle(peers.KindLoad, x.handle)
	return x
}

// Run broadcasts this instance's load and applies that of its peers until the
// context is done.
func (x *Exchange) Run(ctx context.Context) {
	var sent []entry
	var sentAt time.Time
	wait.Every(ctx, broadcastInterval, func() {
		own := x.own()
		changed := !equal(own, sent)
		if changed || (len(own) > 0 && time.Since(sentAt) > rebroadcastInterval) {
			x.bus.Broadcast(peers.KindLoad, own)
			sent, sentAt = own, time.Now()
		}
		x.applyPeerLoads()
	})
}

// own returns the load of this instance at each server where it has requests in
// flight.
func (x *Exchange) own() []entry {
	var list []entry
	x.fleet.Snapshot().Each(func(server *fleet.Server) {
		load := server.OwnLoad()
		if load.Requests > 0 {
			list = append(list, entry{
				Server:    uint32(server.Hash),
				Requests:  uint16(min(load.Requests, 1<<16-1)),
				PrefillMS: uint32(max(0, load.Prefill.Milliseconds())),
			})
		}
	})
	return list
}

// equal reports whether two lists have the same entries, in any order.
func equal(a, b []entry) bool {
	if len(a) != len(b) {
		return false
	}
	byServer := make(map[uint32]entry, len(a))
	for _, e := range a {
		byServer[e.Server] = e
	}
	for _, e := range b {
		if byServer[e.Server] != e {
			return false
		}
	}
	return true
}

// handle records a peer's load.
func (x *Exchange) handle(_ context.Context, msg peers.Message) (any, error) {
	var entries []entry
	if err := cbor.Unmarshal(msg.Body, &entries); err != nil {
		return nil, errors.Wrap(err, "decode a peer's load")
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reports[msg.From] = report{entries: entries, at: time.Now()}
	return nil, nil
}

// applyPeerLoads sets the others' load of each server to the sum over the peers.
func (x *Exchange) applyPeerLoads() {
	peerLoads := x.peerLoads()
	x.fleet.Snapshot().Each(func(server *fleet.Server) {
		server.SetOthersLoad(peerLoads[uint32(server.Hash)])
	})
}

// peerLoads returns the sum of the peers' loads by server, and removes expired reports.
func (x *Exchange) peerLoads() map[uint32]datastore.Load {
	x.mu.Lock()
	defer x.mu.Unlock()
	peerLoads := make(map[uint32]datastore.Load)
	for peer, r := range x.reports {
		if time.Since(r.at) > reportTTL {
			delete(x.reports, peer)
			continue
		}
		for _, e := range r.entries {
			peerLoads[e.Server] = peerLoads[e.Server].Add(datastore.Load{
				Requests: int64(e.Requests),
				Prefill:  time.Duration(e.PrefillMS) * time.Millisecond,
			})
		}
	}
	return peerLoads
}
