// Package pipenet is a network of in-memory connections. HTTP servers and
// clients joined by it run in virtual time under testing/synctest, where
// sockets of the operating system would not.
package pipenet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// ErrRefused is returned by a dial to an address where nothing listens: the
// same error as the operating system's.
var ErrRefused error = syscall.ECONNREFUSED

// Network joins listeners by address. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// New makes a network without listeners.
func New() *Network { return &Network{listeners: make(map[string]*Listener)} }

// Listener accepts the connections dialled to one address.
type Listener struct {
	network *Network
	address address
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }

// conn gives a pipe the addresses of its two ends.
type conn struct {
	net.Conn
	local, remote address
}

func (c conn) LocalAddr() net.Addr  { return c.local }
func (c conn) RemoteAddr() net.Addr { return c.remote }

// Listen opens an address, such as "10.0.0.1:80".
func (n *Network) Listen(at string) (*Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.listeners[at]; taken {
		return nil, errors.Errorf("address %s is in use", at)
	}
	l := &Listener{network: n, address: address(at), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[at] = l
	return l, nil
}

// Dial connects to an address; the other arguments are those of net.Dialer.
func (n *Network) Dial(ctx context.Context, _, at string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[at]
	n.mu.Unlock()
	if !ok {
		return nil, errors.Wrap(ErrRefused, at)
	}
	near, far := net.Pipe()
	select {
	case l.conns <- conn{Conn: far, local: l.address, remote: "pipe-client"}:
		return conn{Conn: near, local: "pipe-client", remote: l.address}, nil
	case <-l.closed:
		return nil, errors.Wrap(ErrRefused, at)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Client returns an HTTP client of the network, which keeps connections alive
// until its CloseIdleConnections is called.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial}}
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close frees the address; connections that stand are kept.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, string(l.address))
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr is the listener's address.
func (l *Listener) Addr() net.Addr { return l.address }
