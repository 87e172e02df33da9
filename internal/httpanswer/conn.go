package httpanswer

import (
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// ErrRequestNotWritten means that a connection ended after part of an answer, before its request was
// written.
var ErrRequestNotWritten = errors.New("the connection ended before the request was written")

// Conn is a connection that carries one request at a time. It decides whether an answer that ends
// with its connection is whole: only if the request was written to its end.
//
// A reset is reported to a socket once. The write of the request may take the error, and a read
// then gets the same end as that of a connection that the server closed properly. So Read returns
// an end that follows bytes of an answer only after the request was written, and else an error that
// wraps ErrRequestNotWritten. It waits for a write in progress, as a server may end its side before
// it has read the request to its end; if that write never ends, it waits until Close.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// changed wakes the readers that wait.
	changed sync.Cond
	// isOpen is set from the begin of a request to its end, hasBegun from the first begin on.
	isOpen, hasBegun bool
	// writes is the number of writes in progress.
	writes int
	// failure is the error of the first write that failed.
	failure error
	// hasAnswer is set if bytes were read since the request began; for the first one, since the
	// connection was made.
	hasAnswer bool
	// hasEnded is set once the end of the connection was read, isClosed by Close.
	hasEnded, isClosed bool
}

// NewConn returns a Conn over a connection.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{Conn: c}
	conn.changed.L = &conn.mu
	return conn
}

// BeginRequest marks the begin of a request. Without the marks of its begin and its end a request is
// taken for written while no write is in progress.
func (c *Conn) BeginRequest() {
	MarkRequest(c.Conn)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasAnswer = c.hasAnswer && !c.hasBegun
	c.isOpen, c.hasBegun = true, true
}

// EndRequest marks the end of a request, or reports that writing it failed.
func (c *Conn) EndRequest(err error) {
	if err == nil {
		MarkRequest(c.Conn)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isOpen = false
	c.fail(err)
	c.changed.Broadcast()
}

// IsRequestWritten reports whether the request was written to its end.
func (c *Conn) IsRequestWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isOpen && c.writes == 0 && c.failure == nil
}

// IsWriting reports whether a write is in progress.
func (c *Conn) IsWriting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes > 0
}

// HasEnded reports whether the end of the connection was read. A Read may still wait for the
// request to be written.
func (c *Conn) HasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasEnded
}

// fail notes the error of a write; nil for none. The caller holds the lock.
func (c *Conn) fail(err error) {
	if c.failure == nil {
		c.failure = err
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	c.fail(err)
	c.changed.Broadcast()
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && err != io.EOF {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasAnswer = c.hasAnswer || n > 0
	c.hasEnded = c.hasEnded || err == io.EOF
	if err != io.EOF || !c.hasAnswer {
		return n, err
	}
	for (c.isOpen || c.writes > 0) && c.failure == nil && !c.isClosed {
		c.changed.Wait()
	}
	switch {
	case c.failure != nil:
		return n, errors.WithMessage(ErrRequestNotWritten, c.failure.Error())
	case c.isOpen || c.writes > 0:
		return n, errors.WithMessage(ErrRequestNotWritten, net.ErrClosed.Error())
	}
	return n, io.EOF
}

// Close implements net.Conn. It ends a Read that waits.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.isClosed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// RequestMarker is a connection through a process that has to be told where a request begins and
// ends, as it writes the request to the server.
type RequestMarker interface {
	// MarkRequest marks the begin of a request, or its end if it has begun. If the mark is lost,
	// so is the connection.
	MarkRequest()
}

// MarkRequest marks the begin or the end of a request on a connection that is a RequestMarker.
func MarkRequest(c net.Conn) {
	if marker, ok := c.(RequestMarker); ok {
		marker.MarkRequest()
	}
}
