// Package membus joins several buses in one process, with switches to cut them
// apart. Tests use it where the peer connections themselves don't matter.
package membus

import (
	"context"
	"sort"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
)

// ErrCut is returned by a Request to an instance that can't be reached.
var ErrCut = errors.WithMessage(peers.ErrNotConnected, "peer cut off")

// Network joins buses. The zero value is not usable; call New.
type Network struct {
	mu    sync.Mutex
	nodes map[string]*Bus
	cut   map[string]bool
}

// New makes a network without instances.
func New() *Network {
	return &Network{nodes: make(map[string]*Bus), cut: make(map[string]bool)}
}

// Bus is one instance's end of the network.
type Bus struct {
	network  *Network
	self     string
	domain   string
	handlers map[peers.Kind]peers.Handler
}

var _ peers.Bus = (*Bus)(nil)

// Join adds an instance.
func (n *Network) Join(id, failureDomain string) *Bus {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := &Bus{network: n, self: id, domain: failureDomain, handlers: make(map[peers.Kind]peers.Handler)}
	n.nodes[id] = b
	return b
}

// Cut separates an instance from all others, or joins it again.
func (n *Network) Cut(id string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[id] = cut
}

// Self is the instance's id.
func (b *Bus) Self() string { return b.self }

// Handle registers a handler.
func (b *Bus) Handle(kind peers.Kind, h peers.Handler) {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	b.handlers[kind] = h
}

// Broadcast delivers to every instance that is not cut off, before it returns.
func (b *Bus) Broadcast(kind peers.Kind, body any) {
	for _, p := range b.Peers() {
		if p.Connected {
			_ = b.Request(context.Background(), p.ID, kind, body, nil)
		}
	}
}

// Request delivers to one instance.
func (b *Bus) Request(ctx context.Context, peer string, kind peers.Kind, body, reply any) error {
	handler, err := b.route(peer, kind)
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	answer, err := handler(ctx, peers.Message{Kind: kind, From: b.self, Body: encoded})
	if err != nil || reply == nil {
		return err
	}
	encoded, err = cbor.Marshal(answer)
	if err != nil {
		return errors.Wrap(err, "encode reply")
	}
	return cbor.Unmarshal(encoded, reply)
}

func (b *Bus) route(peer string, kind peers.Kind) (peers.Handler, error) {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	node, ok := b.network.nodes[peer]
	if !ok || b.network.cut[peer] || b.network.cut[b.self] {
		return nil, ErrCut
	}
	handler, ok := node.handlers[kind]
	if !ok {
		return nil, errors.Errorf("no handler for message kind %d", kind)
	}
	return handler, nil
}

// Peers lists the other instances in the order of their ids.
func (b *Bus) Peers() []peers.Peer {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	var list []peers.Peer
	for id, node := range b.network.nodes {
		if id == b.self {
			continue
		}
		connected := !b.network.cut[id] && !b.network.cut[b.self]
		list = append(list, peers.Peer{ID: id, FailureDomain: node.domain, Connected: connected})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
