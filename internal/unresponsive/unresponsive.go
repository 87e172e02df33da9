// Package unresponsive notifies the other instances of the failure domain when a backend
// server can't be reached or stops responding.
//
// Without these notices, each of many instances would detect each failed server by
// losing requests there. A server that still responds to other instances stays in
// use: one that a peer can't connect to is ejected only if this instance can't either.
package unresponsive

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/serverpath"
)

// checkTimeout bounds the connection setup to a server that a peer can't connect to. Until the server
// is ejected, requests are sent to it.
const checkTimeout = 100 * time.Millisecond

// message is the body of peers.KindServerUnresponsive.
type message struct {
	Server string `cbor:"1,keyasint"`
	// Started distinguishes successive processes of a server with the same id.
	Started int64 `cbor:"2,keyasint"`
	// IsUnreachable means that the sender can't connect to the server.
	IsUnreachable bool `cbor:"3,keyasint,omitempty"`
}

// Options of a Notifier.
type Options struct {
	Bus   peers.Bus
	Fleet *fleet.Set
	// Dial connects to the server with an id over the links of this instance. An error that
	// wraps serverpath.ErrCutOff says nothing about the server.
	Dial func(ctx context.Context, server string) (net.Conn, error)
	// Keep takes an unused connection to an address.
	Keep func(address string, c net.Conn)
	Log  *events.Logger
}

// Notifier sends and receives notices of unresponsive servers. It is safe for
// concurrent use.
type Notifier struct {
	Options

	mu sync.Mutex
	// checking are the servers to which a connection is being set up after a notice.
	checking map[*fleet.Server]struct{}
}

// New returns a Notifier and registers its message handler.
func New(options Options) *Notifier {
	n := &Notifier{Options: options, checking: make(map[*fleet.Server]struct{})}
	n.Bus.Handle(peers.KindServerUnresponsive, n.handle)
	return n
}

// NotifyUnreachable broadcasts to the peers that this instance can't connect to a server.
func (n *Notifier) NotifyUnreachable(server *fleet.Server) {
	n.Bus.Broadcast(peers.KindServerUnresponsive, message{Server: server.ID, Started: server.Registration.Started, IsUnreachable: true})
}

// NotifySilent broadcasts to the peers that a server does not respond.
func (n *Notifier) NotifySilent(server *fleet.Server) {
	n.Bus.Broadcast(peers.KindServerUnresponsive, message{Server: server.ID, Started: server.Registration.Started})
}

// handle applies a notice from a peer.
func (n *Notifier) handle(_ context.Context, msg peers.Message) (any, error) {
	var m message
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode unresponsive-server notice")
	}
	server, known := n.Fleet.Snapshot().Server(m.Server)
	switch {
	case !known || server.Registration.Started != m.Started:
	case m.IsUnreachable:
		n.check(server, msg.From)
	default:
		n.eject(server, msg.From, nil)
	}
	return nil, nil
}

// check ejects a server that a peer can't connect to if this instance can't either: the fault may be
// one of the peer's links. It does not wait; notices during a check are part of it.
func (n *Notifier) check(server *fleet.Server, peer string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, isRunning := n.checking[server]; isRunning {
		return
	}
	n.checking[server] = struct{}{}
	go func() {
		defer func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			delete(n.checking, server)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		defer cancel()
		c, err := n.Dial(ctx, server.ID)
		switch {
		case err == nil:
			n.Keep(server.Registration.Address, c)
		case errors.Is(err, serverpath.ErrCutOff):
			// Logged where the path is found lost.
		default:
			n.eject(server, peer, err)
		}
	}()
}

// eject records that a server is unresponsive, as a peer has found, and err if this instance has
// checked it.
func (n *Notifier) eject(server *fleet.Server, peer string, err error) {
	if server.RecordReportedUnresponsive(time.Now()) {
		n.Log.Log(events.ServerEjected, events.Fields{Server: server.ID, Peer: peer, Reason: "reported unresponsive by a peer", Err: err})
	}
}
