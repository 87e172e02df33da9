// Package membus is an in-process implementation of peers.Bus with simulated network
// partitions, for tests that do not depend on the peer connections themselves.
package membus

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
)

// ErrPartitioned is returned by a Request if the target is unknown, or if the target or
// the sender is partitioned.
var ErrPartitioned = errors.WithMessage(peers.ErrNotConnected, "peer partitioned")

// Network connects the buses of several instances. The zero value is not usable; call
// New.
type Network struct {
	// Latency, if set before the first Join, returns how long a message is on the way.
	Latency func() time.Duration

	mu          sync.Mutex
	buses       map[string]*Bus
	partitioned map[string]bool
}

// New returns a network without instances.
func New() *Network {
	return &Network{buses: make(map[string]*Bus), partitioned: make(map[string]bool)}
}

// Bus is the peers.Bus of one instance.
type Bus struct {
	network  *Network
	self     string
	domain   string
	handlers map[peers.Kind]peers.Handler
}

var _ peers.Bus = (*Bus)(nil)

// Join adds an instance and returns its bus. An earlier bus of the same instance sends nothing any
// more.
func (n *Network) Join(id, failureDomain string) *Bus {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := &Bus{network: n, self: id, domain: failureDomain, handlers: make(map[peers.Kind]peers.Handler)}
	n.buses[id] = b
	return b
}

// SetPartitioned partitions an instance from all others, or reconnects it.
func (n *Network) SetPartitioned(id string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[id] = partitioned
}

// Self returns the id of this instance.
func (b *Bus) Self() string { return b.self }

// Handle registers the handler of a kind.
func (b *Bus) Handle(kind peers.Kind, h peers.Handler) {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	b.handlers[kind] = h
}

// Broadcast delivers to every instance, or to those of the sender's failure domain, if neither
// it nor the sender is partitioned. Without latency it returns after all handlers have run.
func (b *Bus) Broadcast(kind peers.Kind, body any) {
	for _, p := range b.Peers() {
		if !p.Connected || (p.FailureDomain != b.domain && peers.IsInsideDomain(kind)) {
			continue
		}
		send := func() { _ = b.Request(context.Background(), p.ID, kind, body, nil) }
		if b.network.Latency != nil {
			go send()
			continue
		}
		send()
	}
}

// Request delivers to one instance and decodes its reply.
func (b *Bus) Request(ctx context.Context, peer string, kind peers.Kind, body, reply any) error {
	handler, err := b.route(peer, kind)
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	b.network.travel()
	answer, err := handler(ctx, peers.Message{Kind: kind, From: b.self, Body: encoded})
	b.network.travel()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil || reply == nil {
		return err
	}
	encoded, err = cbor.Marshal(answer)
	if err != nil {
		return errors.Wrap(err, "encode reply")
	}
	return cbor.Unmarshal(encoded, reply)
}

// travel waits for the latency of one message.
func (n *Network) travel() {
	if n.Latency != nil {
		time.Sleep(n.Latency())
	}
}

func (b *Bus) route(peer string, kind peers.Kind) (peers.Handler, error) {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	target, ok := b.network.buses[peer]
	if !ok || b.network.partitioned[peer] || b.network.partitioned[b.self] || b.network.buses[b.self] != b {
		return nil, ErrPartitioned
	}
	handler, ok := target.handlers[kind]
	if !ok {
		return nil, errors.Errorf("no handler for message kind %d", kind)
	}
	return handler, nil
}

// Peers returns the other instances, ordered by id.
func (b *Bus) Peers() []peers.Peer {
	b.network.mu.Lock()
	defer b.network.mu.Unlock()
	var list []peers.Peer
	for id, bus := range b.network.buses {
		if id == b.self {
			continue
		}
		connected := !b.network.partitioned[id] && !b.network.partitioned[b.self]
		list = append(list, peers.Peer{ID: id, FailureDomain: bus.domain, Connected: connected})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
