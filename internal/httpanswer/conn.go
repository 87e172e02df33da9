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

// Conn is a connection that carries one request at a time. An answer that ends with its connection
// is complete only if the request was written completely.
//
// The kernel reports a reset only once. If the write of the request gets the error, the next read
// returns io.EOF, as if the server had closed the connection properly. After bytes of an answer,
// Read therefore returns io.EOF only once the request was written, and an error that wraps
// ErrRequestNotWritten if that failed. It waits for a write in progress, as a server may close its
// side before it has read the request completely; if the write never ends, it waits until Close.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// changed wakes the readers that wait.
	changed sync.Cond
	// isOpen is set from the start of a request to its end, hasBegun from the first start on.
	isOpen, hasBegun bool
	// writes is the number of writes in progress.
	writes int
	// failure is the error of the first write that failed.
	failure error
	// hasAnswer is set if bytes were read since the request began; for the first one, since the
	// connection was made.
	hasAnswer bool
	// lost is the error of the connection that IsQuiet was told; nil for none.
	lost error
	// hasEnded is set once the end of the connection was read, isClosed by Close.
	hasEnded, isClosed bool
}

// NewConn returns a Conn over a connection.
func NewConn(c net.Conn) *Conn {
	conn := &Conn{Conn: c}
	conn.changed.L = &conn.mu
	return conn
}

// BeginRequest marks the start of a request. Without these marks a request counts as written while
// no write is in progress.
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
	if err == io.EOF && c.lost != nil {
		return n, errors.Wrap(c.lost, "the connection was lost")
	}
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

// RequestMarker is a connection through another process, which must know where a request starts and
// ends.
type RequestMarker interface {
	// MarkRequest marks the start of a request, or its end if it has started. If it fails, the
	// connection is lost, which Read reports.
	MarkRequest()
}

// MarkRequest marks the start or the end of a request on a connection that is a RequestMarker.
func MarkRequest(c net.Conn) {
	if marker, ok := c.(RequestMarker); ok {
		marker.MarkRequest()
	}
}
