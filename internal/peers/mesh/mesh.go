// Package mesh implements the bus between entry instances over WebSocket connections
// with CBOR frames. A small fleet is fully connected; in a larger one each instance
// keeps a bounded number of neighbours and rare messages are relayed. Both ends of a
// connection prove that they have the shared secret before any other frame is read.
package mesh

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/httpanswer"
	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// Path is where Handler is served on the peer listener.
	Path = "/peers"
	// maxHandshakes bounds the accepted connections that are not authenticated yet.
	maxHandshakes = 64
	// maxLinks bounds the links of an instance, accepted ones included.
	maxLinks = 64
	// maxQueuedDeliveries bounds the broadcasts that wait for their handlers.
	maxQueuedDeliveries = 1024
)

// Config configures a Mesh.
type Config struct {
	Self string
	// FailureDomain is the failure domain of this instance. If all instances set it,
	// a large fleet is linked by domain: densely within each, with few links between
	// them.
	FailureDomain string
	// Secret is shared by all instances of the fleet. It may be set later; until
	// then there are no connections.
	Secret []byte
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// TLS, if set, is used for outgoing connections; the listener has its own.
	TLS  *tls.Config
	Rand *rand.Rand
	Log  *events.Logger
}

// Mesh implements peers.Bus.
type Mesh struct {
	cfg        Config
	self       identity
	topology   topology
	client     *http.Client
	scheme     string
	counters   counters
	seen       *recentBroadcasts
	sequence   atomic.Uint64
	secret     atomic.Pointer[[]byte]
	handshakes chan struct{}
	deliveries chan peers.Message
	changed    chan struct{}

	mu       sync.Mutex
	handlers map[peers.Kind]peers.Handler
	streams  StreamHandler
	others   []peers.Peer
	// fleetShape is derived from others.
	fleetShape        fleetShape
	links             map[string]*link
	transient         map[string]*transientLink
	acceptedTransient int
	dials             map[string]*dialState
	ctx               context.Context
}

var _ peers.Bus = (*Mesh)(nil)

// New returns a mesh without peers. SetPeers sets the peers and Run connects to them.
func New(cfg Config) *Mesh {
	m := &Mesh{
		cfg:        cfg,
		self:       identity{ID: cfg.Self, Incarnation: uuid.NewString()[:8]},
		topology:   topology{self: cfg.Self, domain: cfg.FailureDomain},
		scheme:     "ws",
		seen:       newRecentBroadcasts(),
		handshakes: make(chan struct{}, maxHandshakes),
		deliveries: make(chan peers.Message, maxQueuedDeliveries),
		changed:    make(chan struct{}, 1),
		handlers:   make(map[peers.Kind]peers.Handler),
		links:      make(map[string]*link),
		transient:  make(map[string]*transientLink),
		dials:      make(map[string]*dialState),
	}
	m.fleetShape = m.topology.fleetShape(nil)
	if len(cfg.Secret) > 0 {
		m.SetSecret(cfg.Secret)
	}
	if cfg.TLS != nil {
		m.scheme = "wss"
	}
	m.client = httpanswer.NewClient(&http.Client{Transport: &http.Transport{DialContext: cfg.Dial, TLSClientConfig: cfg.TLS}})
	// The sequence numbers of a restarted instance must be above its earlier ones.
	m.sequence.Store(uint64(time.Now().UnixNano()))
	return m
}

// SetSecret sets the secret shared by all instances.
func (m *Mesh) SetSecret(secret []byte) { m.secret.Store(&secret) }

// sharedSecret returns the secret, or nil if it has not been set.
func (m *Mesh) sharedSecret() []byte {
	if secret := m.secret.Load(); secret != nil {
		return *secret
	}
	return nil
}

// Self returns the id of this instance.
func (m *Mesh) Self() string { return m.self.ID }

// Handle registers the handler of a kind.
func (m *Mesh) Handle(kind peers.Kind, h peers.Handler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handlers[kind] = h
}

// SetPeers replaces the list of the other instances. It does not wait for connections.
func (m *Mesh) SetPeers(others []peers.Peer) {
	m.mu.Lock()
	m.others, m.fleetShape = others, m.topology.fleetShape(others)
	m.mu.Unlock()
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Peers returns the listed instances, and for each whether there is a link to it.
func (m *Mesh) Peers() []peers.Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]peers.Peer, len(m.others))
	copy(list, m.others)
	for i := range list {
		_, list[i].Connected = m.links[list[i].ID]
	}
	return list
}

// Broadcast sends a message to every instance at best effort; see peers.Bus.
func (m *Mesh) Broadcast(kind peers.Kind, body any) {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		m.counters.rejected.Add(1)
		return
	}
	e := envelope{Type: frameBroadcast, Kind: kind, Origin: m.self.ID, Sequence: m.sequence.Add(1), Body: encoded}
	m.relay(e, "", "")
}

// relay sends a broadcast over the links chosen by fanOut, except to the peer that
// sent it and to its origin.
func (m *Mesh) relay(e envelope, from, origin string) {
	out := m.fanOut(e.Kind, from)
	if e.Origin == m.self.ID {
		e.Hops = initialHops(e.Kind, out.fullMesh)
	}
	e.Hops--
	frame, err := encodeEnvelope(e)
	if err != nil {
		m.counters.rejected.Add(1)
		return
	}
	for _, l := range out.links {
		if l.peer.ID != from && l.peer.ID != origin {
			l.send(outgoing{kind: e.Kind, frame: frame})
		}
	}
}

// fanOut is the set of links over which this instance sends a broadcast.
type fanOut struct {
	links    []*link
	fullMesh bool
}

// fanOut chooses the links for a broadcast received from a peer, or sent by this
// instance if from is empty. In a fully linked domain, a broadcast from a peer of the
// same domain is not relayed inside it, because that peer has sent it to all others.
func (m *Mesh) fanOut(kind peers.Kind, from string) fanOut {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := fanOut{fullMesh: m.fleetShape.fullMesh}
	inside := m.fleetShape.inside
	onlyOutside := m.fleetShape.domainMesh && from != "" && inside[from]
	// A broadcast from another domain has been sent over all links out of that domain. If
	// the domains are densely linked, these reach every other domain, so it is relayed
	// only inside this one.
	fromOutside := from != "" && !inside[from] && m.fleetShape.denselyLinked
	onlyInside := peers.IsInsideDomain(kind) && m.topology.domain != ""
	for id, l := range m.links {
		if (onlyOutside && inside[id]) || ((onlyInside || fromOutside) && !inside[id]) {
			continue
		}
		out.links = append(out.links, l)
	}
	return out
}

// receiveBroadcast delivers and relays a broadcast when it arrives for the first time.
func (m *Mesh) receiveBroadcast(from *link, e envelope) {
	if e.Origin == m.self.ID || !m.seen.addIfNew(broadcastID{e.Origin, e.Sequence}) {
		m.counters.repeated.Add(1)
		return
	}
	select {
	case m.deliveries <- peers.Message{Kind: e.Kind, From: e.Origin, Body: e.Body}:
	default:
		m.counters.dropped.Add(1)
	}
	if e.Hops > 0 {
		m.relay(e, from.peer.ID, e.Origin)
	}
}

// deliverLoop calls the handlers of broadcasts, so that a slow handler does not block
// the reading of frames.
func (m *Mesh) deliverLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-m.deliveries:
			_, _ = m.handle(ctx, msg)
		}
	}
}

func (m *Mesh) handle(ctx context.Context, msg peers.Message) (any, error) {
	m.mu.Lock()
	h := m.handlers[msg.Kind]
	m.mu.Unlock()
	if h == nil {
		return nil, errors.Errorf("no handler for message kind %d", msg.Kind)
	}
	return h(ctx, msg)
}

// Request sends a message to one peer and decodes its reply. If the peer is not a
// neighbour, the request uses a transient link, which stays open while it is in use.
func (m *Mesh) Request(ctx context.Context, peer string, kind peers.Kind, body, reply any) error {
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	answer, err := m.requestRaw(ctx, peer, kind, encoded)
	if err != nil {
		return err
	}
	if answer.Error != "" {
		return errors.New(answer.Error)
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(cbor.Unmarshal(answer.Body, reply), "decode reply")
}

func (m *Mesh) requestRaw(ctx context.Context, peer string, kind peers.Kind, body []byte) (envelope, error) {
	m.mu.Lock()
	l := m.links[peer]
	m.mu.Unlock()
	if l != nil {
		return l.request(ctx, kind, body)
	}
	l, err := m.transientLinkTo(ctx, peer)
	if err != nil {
		return envelope{}, err
	}
	return l.request(ctx, kind, body)
}

func (m *Mesh) listedPeer(id string) (peers.Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.others {
		if p.ID == id {
			return p, true
		}
	}
	return peers.Peer{}, false
}

// connect dials a peer and authenticates both ends.
func (m *Mesh) connect(ctx context.Context, target peers.Peer, transient bool) (*link, error) {
	conn, remote, err := m.dialPeer(ctx, target, hello{Version: protocolVersion, From: m.self, Transient: transient})
	if err != nil {
		return nil, err
	}
	return newLink(m, conn, remote, true), nil
}

// dialPeer dials a peer and authenticates both ends with a hello, whose nonce it adds.
func (m *Mesh) dialPeer(ctx context.Context, target peers.Peer, h hello) (*websocket.Conn, identity, error) {
	dialCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(dialCtx, m.scheme+"://"+target.Address+Path, &websocket.DialOptions{HTTPClient: m.client})
	if err != nil {
		return nil, identity{}, errors.Wrap(err, "dial peer")
	}
	remote, err := dialHandshake(ctx, conn, m.sharedSecret(), h)
	if err == nil && remote.ID != target.ID {
		err = errors.Errorf("peer at %s is %s, not %s", target.Address, remote.ID, target.ID)
	}
	if err != nil {
		_ = conn.CloseNow()
		m.counters.rejected.Add(1)
		return nil, identity{}, err
	}
	return conn, remote, nil
}
