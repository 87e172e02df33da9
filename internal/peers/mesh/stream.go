package mesh

import (
	"context"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
)

// streamVersion is the version of a hello that opens a stream. Instances that don't know
// streams refuse it.
const streamVersion = 2

// StreamHandler serves a stream that a peer opened to a target. The connection is closed when
// it returns.
type StreamHandler func(ctx context.Context, target string, conn *websocket.Conn)

// HandleStreams registers the handler of streams. It must be called before Run.
func (m *Mesh) HandleStreams(h StreamHandler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.streams = h
}

// OpenStream opens a stream to a target at a listed peer, on a connection of its own. Both
// ends have proved the shared secret when it returns. The error is peers.ErrNotConnected if
// the peer could not be reached.
func (m *Mesh) OpenStream(ctx context.Context, peer, target string) (*websocket.Conn, error) {
	listed, ok := m.listedPeer(peer)
	if !ok {
		return nil, peers.ErrNotConnected
	}
	conn, _, err := m.dialPeer(ctx, listed, hello{Version: streamVersion, From: m.self, Target: target})
	if err != nil {
		return nil, errors.Wrap(peers.ErrNotConnected, err.Error())
	}
	return conn, nil
}

// serveStream passes an accepted stream to the handler.
func (m *Mesh) serveStream(ctx context.Context, target string, conn *websocket.Conn) {
	defer func() { _ = conn.CloseNow() }()
	m.mu.Lock()
	h := m.streams
	m.mu.Unlock()
	if h != nil {
		h(ctx, target, conn)
	}
}
