// Package memnet is an in-memory network. HTTP servers and clients connected
// by it run in virtual time under testing/synctest, which operating system
// sockets do not support.
package memnet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// ErrRefused is returned by Dial if nothing listens on the address. It is the
// operating system's error.
var ErrRefused error = syscall.ECONNREFUSED

// Network maps addresses to listeners. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
}

// New returns a network without listeners.
func New() *Network { return &Network{listeners: make(map[string]*Listener)} }

// Listener accepts the connections to one address.
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

// conn adds local and remote addresses to a pipe.
type conn struct {
	net.Conn
	local, remote address
}

func (c conn) LocalAddr() net.Addr  { return c.local }
func (c conn) RemoteAddr() net.Addr { return c.remote }

// Listen announces on an address, such as "10.0.0.1:80".
func (n *Network) Listen(addr string) (*Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, inUse := n.listeners[addr]; inUse {
		return nil, errors.Errorf("address %s is in use", addr)
	}
	l := &Listener{network: n, address: address(addr), conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to an address. Its signature is that of net.Dialer.DialContext.
func (n *Network) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l, ok := n.listeners[addr]
	n.mu.Unlock()
	if !ok {
		return nil, errors.Wrap(ErrRefused, addr)
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.conns <- conn{Conn: serverEnd, local: l.address, remote: "pipe-client"}:
		return conn{Conn: clientEnd, local: "pipe-client", remote: l.address}, nil
	case <-l.closed:
		return nil, errors.Wrap(ErrRefused, addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Client returns an HTTP client that dials through the network and keeps
// connections alive until its CloseIdleConnections is called.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.Dial}}
}

// Accept waits for the next connection, or returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close releases the address. Established connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, string(l.address))
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr returns the listener's address.
func (l *Listener) Addr() net.Addr { return l.address }
