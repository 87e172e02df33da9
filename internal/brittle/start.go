package brittle

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// fetchTimeout is the longest time that the first requests of a process wait for the list of
	// brittle servers, and fetchInterval the time between two attempts to get it.
	fetchTimeout  = 150 * time.Millisecond
	fetchInterval = 200 * time.Millisecond
	// fetchPeers is the number of peers that are asked: some may have just started as well.
	fetchPeers = 3
	// startTime is how long a process counts as new. Within it the peers repeat their notices.
	startTime = 4 * time.Second
)

// start is what a new process does until it knows which servers are brittle.
type start struct {
	began  time.Time
	isOver atomic.Bool

	mu sync.Mutex
	// triedAt is when peers were last asked, and fetched is closed when they have answered; nil
	// if none are being asked.
	triedAt time.Time
	fetched chan struct{}
}

// awaitBrittle makes sure that a new process knows which servers are brittle before it sends a
// request, if it has a link to any other instance.
func (g *Guard) awaitBrittle() {
	s := &g.start
	if s.isOver.Load() {
		return
	}
	now := time.Now()
	s.mu.Lock()
	fetched, isDue := s.fetched, now.Sub(s.triedAt) >= fetchInterval
	if fetched == nil && isDue {
		s.triedAt, s.fetched = now, make(chan struct{})
	}
	s.mu.Unlock()
	switch {
	case fetched != nil:
		<-fetched
	case isDue:
		isKnown := g.fetch() > 0
		s.mu.Lock()
		close(s.fetched)
		s.fetched = nil
		s.mu.Unlock()
		if isKnown || now.Sub(s.began) >= startTime {
			s.isOver.Store(true)
		}
	}
}

// fetch asks some peers which servers are brittle and returns the number of those that answered.
func (g *Guard) fetch() int {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	return peers.AskSome(ctx, g.Bus, fetchPeers, func(ctx context.Context, peer string) error {
		err := g.servers.Fetch(ctx, peer)
		if err != nil {
			g.Log.Log(events.BrittleServersUnknown, events.Fields{Peer: peer, Err: err})
		}
		return err
	})
}
