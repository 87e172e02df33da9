// Package unresponsive notifies the other instances of the failure domain when a backend
// server can't be reached or stops responding.
//
// Without these notices, each of many instances would detect each failed server by
// losing requests there. A server that still responds to other instances stays in
// use.
package unresponsive

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
)

// message is the body of peers.KindServerUnresponsive.
type message struct {
	Server string `cbor:"1,keyasint"`
	// Started distinguishes successive processes of a server with the same id.
	Started int64 `cbor:"2,keyasint"`
}

// Notifier sends and receives notices of unresponsive servers. It is safe for
// concurrent use.
type Notifier struct {
	bus   peers.Bus
	fleet *fleet.Set
	log   *events.Logger
}

// New returns a Notifier and registers its message handler.
func New(bus peers.Bus, set *fleet.Set, log *events.Logger) *Notifier {
	n := &Notifier{bus: bus, fleet: set, log: log}
	bus.Handle(peers.KindServerUnresponsive, n.handle)
	return n
}

// Notify broadcasts to the peers that a server is unresponsive.
func (n *Notifier) Notify(server *fleet.Server) {
	n.bus.Broadcast(peers.KindServerUnresponsive, message{Server: server.ID, Started: server.Registration.Started})
}

// handle applies a notice from a peer.
func (n *Notifier) handle(_ context.Context, msg peers.Message) (any, error) {
	var m message
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode unresponsive-server notice")
	}
	server, known := n.fleet.Snapshot().Server(m.Server)
	if known && server.Registration.Started == m.Started && server.RecordReportedUnresponsive(time.Now()) {
		n.log.Log(events.ServerEjected, events.Fields{Server: m.Server, Peer: msg.From, Reason: "reported unresponsive by a peer"})
	}
	return nil, nil
}
