// Package leaving handles the announcements of backend servers that they are leaving.
// Such a server gets no new work from the instance that read the announcement. The other
// instances receive a notice, often before the server's registration changes.
package leaving

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
)

// message is the body of peers.KindServerLeaving.
type message struct {
	Server string `cbor:"1,keyasint"`
	// Started distinguishes successive processes of a server with the same id.
	Started int64 `cbor:"2,keyasint"`
}

// Notifier sends and receives notices of servers that are leaving. It is safe for
// concurrent use.
type Notifier struct {
	bus   peers.Bus
	fleet *fleet.Set
	log   *events.Logger
}

// New returns a Notifier and registers its message handler.
func New(bus peers.Bus, set *fleet.Set, log *events.Logger) *Notifier {
	n := &Notifier{bus: bus, fleet: set, log: log}
	bus.Handle(peers.KindServerLeaving, n.handle)
	return n
}

// Announced records that a server announced in an answer to this instance that it is
// leaving. The peers are notified once, unless the registration or a peer announced it
// before.
func (n *Notifier) Announced(server *fleet.Server) {
	isNews := !server.Status().Draining
	started := server.Registration.Started
	if !n.fleet.MarkLeaving(server.ID, started) {
		return
	}
	n.log.Log(events.ServerLeaving, events.Fields{Server: server.ID, Version: server.Registration.Release, Path: server.Registration.Service})
	if isNews {
		n.bus.Broadcast(peers.KindServerLeaving, message{Server: server.ID, Started: started})
	}
}

// handle applies a notice from a peer.
func (n *Notifier) handle(_ context.Context, msg peers.Message) (any, error) {
	var m message
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode leaving-server notice")
	}
	if n.fleet.MarkLeaving(m.Server, m.Started) {
		n.log.Log(events.ServerLeaving, events.Fields{Server: m.Server, Peer: msg.From})
	}
	return nil, nil
}
