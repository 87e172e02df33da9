package mesh

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// connectInterval is the time between two checks for missing links.
	connectInterval = 500 * time.Millisecond
	// higherIDDialDelay is how long the instance with the higher id waits for the
	// other to dial, so that they do not both dial.
	higherIDDialDelay = 2 * time.Second
	// minDialBackoff and maxDialBackoff bound the wait after a failed dial, before
	// jitter.
	minDialBackoff = 500 * time.Millisecond
	maxDialBackoff = 8 * time.Second
)

// dialState is the dial schedule of a missing link.
type dialState struct {
	next    time.Time
	backoff time.Duration
	dialing bool
}

// Run keeps the links up until the context ends.
func (m *Mesh) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { m.deliverLoop(ctx) })
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.prune()
		m.closeIdleTransient()
		for _, p := range m.peersToDial() {
			loops.Go(func() { m.dial(ctx, p) })
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-m.changed:
		}
	}
	m.closeAll()
	loops.Wait()
}

// peersToDial returns the neighbours without a link whose dial is due.
func (m *Mesh) peersToDial() []peers.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var due []peers.Peer
	wanted := m.topology.neighbours(m.others)
	dials := make(map[string]*dialState, len(wanted))
	for _, p := range wanted {
		if m.links[p.ID] != nil {
			continue
		}
		state := m.dials[p.ID]
		if state == nil {
			state = m.newDialState(p.ID)
		}
		dials[p.ID] = state
		if !state.dialing && !time.Now().Before(state.next) {
			state.dialing = true
			due = append(due, p)
		}
	}
	m.dials = dials
	return due
}

func (m *Mesh) newDialState(peer string) *dialState {
	state := &dialState{next: time.Now(), backoff: minDialBackoff}
	if m.self.ID > peer {
		state.next = state.next.Add(higherIDDialDelay)
	}
	return state
}

// dial connects to a neighbour and runs the link until it closes.
func (m *Mesh) dial(ctx context.Context, p peers.Peer) {
	l, err := m.connect(ctx, p, false)
	m.recordDial(p.ID, err)
	if err != nil {
		return
	}
	if !m.add(l) {
		l.close()
		return
	}
	m.runLink(ctx, l)
}

// recordDial records the result of a dial and schedules the next one.
func (m *Mesh) recordDial(peer string, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.dials[peer]
	if state == nil {
		return
	}
	state.dialing = false
	if err == nil {
		state.backoff = minDialBackoff
	}
	jitter := 0.5 + m.cfg.Rand.Float64()
	state.next = time.Now().Add(time.Duration(float64(state.backoff) * jitter))
	state.backoff = min(2*state.backoff, maxDialBackoff)
}

// add registers a link as the only one to its peer and reports whether it is kept. If
// two processes dial each other at once, the link dialed by the lower id is kept. A
// link to a new process of the peer replaces the link to an earlier one.
func (m *Mesh) add(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.links[l.peer.ID]
	if old == nil && len(m.links) >= maxLinks {
		return false
	}
	if old != nil && old.peer == l.peer && m.dialedByLowerID(old) && !m.dialedByLowerID(l) {
		return false
	}
	if old != nil {
		old.close()
	}
	m.links[l.peer.ID] = l
	m.cfg.Log.Log(events.PeerConnected, events.Fields{Peer: l.peer.ID})
	return true
}

// dialedByLowerID reports whether the end with the lower id dialed the link.
func (m *Mesh) dialedByLowerID(l *link) bool { return l.dialed == (m.self.ID < l.peer.ID) }

func (m *Mesh) runLink(ctx context.Context, l *link) {
	l.run(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer.ID] == l {
		delete(m.links, l.peer.ID)
		m.cfg.Log.Log(events.PeerDisconnected, events.Fields{Peer: l.peer.ID})
	}
}

// prune closes the links dialed by this instance whose peers are no longer neighbours;
// the other end closes the links that it dialed.
func (m *Mesh) prune() {
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := make(map[string]bool)
	for _, p := range m.topology.neighbours(m.others) {
		wanted[p.ID] = true
	}
	for id, l := range m.links {
		if l.dialed && !wanted[id] {
			l.close()
		}
	}
}

func (m *Mesh) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.close()
	}
	for _, s := range m.transient {
		s.close()
	}
}

// Handler returns the HTTP handler that accepts the connections of peers at Path.
func (m *Mesh) Handler() http.Handler { return http.HandlerFunc(m.accept) }

func (m *Mesh) accept(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	ctx := m.ctx
	m.mu.Unlock()
	if ctx == nil || ctx.Err() != nil {
		http.Error(w, "not running", http.StatusServiceUnavailable)
		return
	}
	conn, greeting := m.authenticate(ctx, w, r)
	switch {
	case conn == nil:
		return
	case greeting.Target != "":
		m.serveStream(ctx, greeting.Target, conn)
		return
	}
	l := newLink(m, conn, greeting.From, false)
	switch {
	case greeting.Transient:
		m.serveTransient(ctx, l)
	case m.add(l):
		m.runLink(ctx, l)
	default:
		l.close()
	}
}

// authenticate upgrades a connection and authenticates its peer; it returns nil if the
// connection was refused.
func (m *Mesh) authenticate(ctx context.Context, w http.ResponseWriter, r *http.Request) (*websocket.Conn, hello) {
	if len(m.sharedSecret()) == 0 {
		http.Error(w, "the shared secret is not known yet", http.StatusServiceUnavailable)
		return nil, hello{}
	}
	select {
	case m.handshakes <- struct{}{}:
		defer func() { <-m.handshakes }()
	default:
		http.Error(w, "too many connections at once", http.StatusServiceUnavailable)
		return nil, hello{}
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, hello{}
	}
	greeting, err := acceptHandshake(ctx, conn, m.sharedSecret(), m.self)
	if err != nil {
		m.counters.rejected.Add(1)
		m.cfg.Log.Log(events.PeerRejected, events.Fields{Peer: truncate(greeting.From.ID, maxNameBytes), Err: err})
		_ = conn.CloseNow()
		return nil, hello{}
	}
	return conn, greeting
}
