// Package loadshare tells the instances of a failure domain what each has in
// flight at the backend servers, so that they don't all pick the same one.
//
// It answers the pattern of many dispatchers in front of few places: each sees a
// small part of a server's load, and a choice made on that part alone is little
// better than a random one. Requests mostly stay in their failure domain, so what
// its instances know together is nearly all there is.
package loadshare

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
	// tellEvery is the shortest time between two messages of an instance. At 17
	// instances in a domain it costs each 160 small frames a second.
	tellEvery = 100 * time.Millisecond
	// forgetAfter is the age at which a peer's load counts no more: it is gone, or
	// its requests are over.
	forgetAfter = 1500 * time.Millisecond
	// repeatAfter is how often an unchanged load is told again.
	repeatAfter = 700 * time.Millisecond
)

// entry is the load at one server, in a form of few bytes.
type entry struct {
	_ struct{} `cbor:",toarray"`
	// Server is the lower half of the hash of the server's id.
	Server   uint32
	Requests uint16
	// PrefillMS is in milliseconds.
	PrefillMS uint32
}

// report is what one peer has in flight.
type report struct {
	entries []entry
	at      time.Time
}

// Sharer tells of the own load and adds up the others'. It is safe for
// concurrent use.
type Sharer struct {
	bus   peers.Bus
	fleet *fleet.Set

	mu      sync.Mutex
	reports map[string]report
}

// New makes a Sharer and registers its message handler.
func New(bus peers.Bus, set *fleet.Set) *Sharer {
	s := &Sharer{bus: bus, fleet: set, reports: make(map[string]report)}
	bus.Handle(peers.KindLoad, s.handle)
	return s
}

// Run tells and adds up until the context ends.
func (s *Sharer) Run(ctx context.Context) {
	var told []entry
	var toldAt time.Time
	wait.Every(ctx, tellEvery, func() {
		own := s.own()
		changed := !equal(own, told)
		if changed || (len(own) > 0 && time.Since(toldAt) > repeatAfter) {
			s.bus.Broadcast(peers.KindLoad, own)
			told, toldAt = own, time.Now()
		}
		s.addUp()
	})
}

// own lists the servers at which this instance has something in flight.
func (s *Sharer) own() []entry {
	var list []entry
	s.fleet.Snapshot().Each(func(server *fleet.Server) {
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

// equal reports whether two lists tell the same, in any order.
func equal(a, b []entry) bool {
	if len(a) != len(b) {
		return false
	}
	known := make(map[uint32]entry, len(a))
	for _, e := range a {
		known[e.Server] = e
	}
	for _, e := range b {
		if known[e.Server] != e {
			return false
		}
	}
	return true
}

// handle takes in a peer's load.
func (s *Sharer) handle(_ context.Context, msg peers.Message) (any, error) {
	var entries []entry
	if err := cbor.Unmarshal(msg.Body, &entries); err != nil {
		return nil, errors.Wrap(err, "decode a peer's load")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[msg.From] = report{entries: entries, at: time.Now()}
	return nil, nil
}

// addUp gives each server the sum of what the peers told.
func (s *Sharer) addUp() {
	sums := s.sums()
	s.fleet.Snapshot().Each(func(server *fleet.Server) {
		server.SetOthersLoad(sums[uint32(server.Hash)])
	})
}

func (s *Sharer) sums() map[uint32]datastore.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	sums := make(map[uint32]datastore.Load)
	for peer, r := range s.reports {
		if time.Since(r.at) > forgetAfter {
			delete(s.reports, peer)
			continue
		}
		for _, e := range r.entries {
			sums[e.Server] = sums[e.Server].Plus(datastore.Load{
				Requests: int64(e.Requests),
				Prefill:  time.Duration(e.PrefillMS) * time.Millisecond,
			})
		}
	}
	return sums
}
