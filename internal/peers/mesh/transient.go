package mesh

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// transientIdleTimeout is how long an unused transient link is kept.
	transientIdleTimeout = 30 * time.Second
	// maxTransientLinks bounds the transient links dialed by this instance, and
	// maxAcceptedTransient those dialed by peers.
	maxTransientLinks    = 64
	maxAcceptedTransient = 256
)

// transientLink is a link to a peer that is not a neighbour. It carries requests but
// no broadcasts.
type transientLink struct {
	*link
	lastUsed time.Time
}

// transientLinkTo returns a transient link to a peer, dialing it if there is none.
func (m *Mesh) transientLinkTo(ctx context.Context, peer string) (*link, error) {
	if l := m.existingTransient(peer); l != nil {
		return l, nil
	}
	target, ok := m.listedPeer(peer)
	if !ok {
		return nil, peers.ErrNotConnected
	}
	l, err := m.connect(ctx, target, true)
	if err != nil {
		return nil, errors.Wrap(peers.ErrNotConnected, err.Error())
	}
	return m.addTransient(l)
}

func (m *Mesh) existingTransient(peer string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.transient[peer]
	if s == nil {
		return nil
	}
	s.lastUsed = time.Now()
	return s.link
}

// addTransient registers a new transient link, unless another to the same peer was
// registered in the meantime, which is returned instead.
func (m *Mesh) addTransient(l *link) (*link, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.transient[l.peer.ID]; s != nil {
		l.close()
		return s.link, nil
	}
	if len(m.transient) >= maxTransientLinks || m.ctx == nil || m.ctx.Err() != nil {
		l.close()
		return nil, peers.ErrNotConnected
	}
	m.transient[l.peer.ID] = &transientLink{link: l, lastUsed: time.Now()}
	go m.runTransient(m.ctx, l)
	return l, nil
}

func (m *Mesh) runTransient(ctx context.Context, l *link) {
	l.run(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.transient[l.peer.ID]; s != nil && s.link == l {
		delete(m.transient, l.peer.ID)
	}
}

// closeIdleTransient closes the transient links that are idle for longer than
// transientIdleTimeout.
func (m *Mesh) closeIdleTransient() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.transient {
		if time.Since(s.lastUsed) > transientIdleTimeout {
			s.close()
		}
	}
}

// serveTransient runs a transient link that a peer dialed for its requests.
func (m *Mesh) serveTransient(ctx context.Context, l *link) {
	if !m.countAcceptedTransient(1) {
		l.close()
		return
	}
	defer m.countAcceptedTransient(-1)
	l.run(ctx)
}

func (m *Mesh) countAcceptedTransient(change int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.acceptedTransient+change > maxAcceptedTransient {
		return false
	}
	m.acceptedTransient += change
	return true
}
