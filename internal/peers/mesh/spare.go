package mesh

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// spareIdle is how long an unused connection to no neighbour is kept.
	spareIdle = 30 * time.Second
	// maxSpares bounds such connections that this instance dialed, and
	// maxAcceptedSpares those that others dialed.
	maxSpares         = 64
	maxAcceptedSpares = 256
)

// spareLink is a connection to a peer that is no neighbour. It carries requests
// and no broadcasts.
type spareLink struct {
	*link
	used time.Time
}

// spare returns a connection to a peer that is no neighbour, dialing it if none
// stands.
func (m *Mesh) spare(ctx context.Context, peer string) (*link, error) {
	if l := m.standingSpare(peer); l != nil {
		return l, nil
	}
	target, ok := m.listed(peer)
	if !ok {
		return nil, peers.ErrNotConnected
	}
	l, err := m.connect(ctx, target, true)
	if err != nil {
		return nil, errors.Wrap(peers.ErrNotConnected, err.Error())
	}
	return m.addSpare(l)
}

func (m *Mesh) standingSpare(peer string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.spares[peer]
	if s == nil {
		return nil
	}
	s.used = time.Now()
	return s.link
}

// addSpare keeps a new connection, unless another was made at the same time.
func (m *Mesh) addSpare(l *link) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.spares[l.peer.ID]; s != nil {
		l.close()
		return s.link, nil
	}
	if len(m.spares) >= maxSpares || m.ctx == nil || m.ctx.Err() != nil {
		l.close()
		return nil, peers.ErrNotConnected
	}
	m.spares[l.peer.ID] = &spareLink{link: l, used: time.Now()}
	go m.runSpare(m.ctx, l)
	return l, nil
}

func (m *Mesh) runSpare(ctx context.Context, l *link) {
	l.run(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.spares[l.peer.ID]; s != nil && s.link == l {
		delete(m.spares, l.peer.ID)
	}
}

// pruneSpares closes the connections that were not used lately.
func (m *Mesh) pruneSpares() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.spares {
		if time.Since(s.used) > spareIdle {
			s.close()
		}
	}
}

// carrySpare serves a connection that a peer dialed for its requests.
func (m *Mesh) carrySpare(ctx context.Context, l *link) {
	if !m.countAccepted(1) {
		l.close()
		return
	}
	defer m.countAccepted(-1)
	l.run(ctx)
}

func (m *Mesh) countAccepted(change int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accepted+change > maxAcceptedSpares {
		return false
	}
	m.accepted += change
	return true
}
