package mesh

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/peers"
)

// memNet is an in-memory network of listeners by address. A gate can freeze an instance.
type memNet struct {
	mu        sync.Mutex
	listeners map[string]*memListener
}

type memListener struct {
	net     *memNet
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	gate    *gate
}

// gate blocks the reads of a frozen instance.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
}

func (g *gate) wait() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	<-opened
}

type gatedConn struct {
	net.Conn
	gate *gate
}

func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.gate.wait()
	return n, err
}

func (n *memNet) listen(address string) *memListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{net: n, address: address, conns: make(chan net.Conn), done: make(chan struct{}), gate: newGate()}
	n.listeners[address] = l
	return l
}

func (n *memNet) dial(ctx context.Context, from *gate, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case l.conns <- gatedConn{far, l.gate}:
		return gatedConn{near, from}, nil
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *memListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

// testInstance is one instance of a test fleet.
type testInstance struct {
	*Mesh
	listener *memListener
	server   *http.Server
	stop     context.CancelFunc

	mu       sync.Mutex
	received []string
}

func (n *testInstance) record(_ context.Context, msg peers.Message) (any, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.received = append(n.received, msg.From)
	if string(msg.Body) == "\x64fail" {
		return nil, errors.New("refused here")
	}
	return n.Self(), nil
}

func (n *testInstance) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.received)
}

// testFleet is a set of instances, assigned to failure domains in turn.
type testFleet struct {
	t         *testing.T
	net       *memNet
	instances []*testInstance
}

const testDomains = 4

func domainOf(i int) string { return fmt.Sprintf("hall-%d", i%testDomains) }

func instanceID(i int) string { return fmt.Sprintf("e%04d", i) }

func newTestFleet(t *testing.T, size int) *testFleet {
	f := &testFleet{t: t, net: &memNet{listeners: make(map[string]*memListener)}}
	for i := range size {
		f.instances = append(f.instances, f.start(i, "secret"))
	}
	f.setPeers(f.instances)
	return f
}

func (f *testFleet) start(i int, secret string) *testInstance {
	id := instanceID(i)
	n := &testInstance{listener: f.net.listen(id)}
	n.Mesh = New(Config{
		Self:   id,
		Secret: []byte(secret),
		Rand:   rand.New(rand.NewPCG(1, uint64(i))),
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			host, _, _ := net.SplitHostPort(address)
			return f.net.dial(ctx, n.listener.gate, host)
		},
	})
	for _, kind := range []peers.Kind{peers.KindHeartbeat, peers.KindSettingsHint, peers.KindBill} {
		n.Handle(kind, n.record)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.server = &http.Server{Handler: n.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = n.server.Serve(n.listener) }()
	go n.Run(ctx)
	return n
}

// setPeers gives each instance the list of the others.
func (f *testFleet) setPeers(instances []*testInstance) {
	for _, n := range instances {
		var others []peers.Peer
		for i, other := range instances {
			if other != n {
				others = append(others, peers.Peer{ID: other.Self(), Address: other.Self() + ":1", FailureDomain: domainOf(i)})
			}
		}
		n.SetPeers(others)
	}
}

func (n *testInstance) kill() {
	n.stop()
	_ = n.server.Close()
}

func (f *testFleet) stopAll() {
	for _, n := range f.instances {
		n.kill()
	}
	synctest.Wait()
}

// run starts a fleet in virtual time, waits until it is connected and runs test.
func run(t *testing.T, size int, test func(t *testing.T, f *testFleet)) {
	bubble.Test(t, func(t *testing.T) {
		f := newTestFleet(t, size)
		time.Sleep(10 * time.Second)
		test(t, f)
		f.stopAll()
	})
}

func (f *testFleet) requireReceived(instances []*testInstance, want int) {
	f.t.Helper()
	for _, n := range instances {
		require.Equal(f.t, want, n.count(), n.Self())
	}
}
