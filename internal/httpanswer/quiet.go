package httpanswer

import (
	"io"
	"net"
	"syscall"
)

// IsQuiet reports whether the connection is open and no bytes wait to be read, as far as its socket is known.
//
// The kernel reports a reset only once. If this call gets the report, a later Read returns it in place of the end.
func (c *Conn) IsQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost != nil {
		return false
	}
	err := peek(c.Conn)
	if err != nil && err != syscall.EAGAIN && err != syscall.EINTR && err != io.EOF && err != errBytesWait {
		c.lost = err
	}
	return err == syscall.EAGAIN
}

// IsQuiet reports whether a connection is open and no bytes wait to be read, as far as its socket is known.
func IsQuiet(c net.Conn) bool { return peek(c) == syscall.EAGAIN }

// errBytesWait means that bytes wait to be read.
var errBytesWait = io.ErrShortBuffer

// peek returns what a read of the socket would: EAGAIN if it would block, errBytesWait if bytes wait, io.EOF at the end, and
// otherwise the error of the connection, which the kernel does not report again. A connection without a known
// socket would block.
func peek(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return net.ErrClosed
	}
	var buf [1]byte
	var n int
	var peeked error
	if err := raw.Control(func(fd uintptr) {
		n, _, peeked = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		return net.ErrClosed
	}
	switch {
	case peeked != nil:
		return peeked
	case n > 0:
		return errBytesWait
	}
	return io.EOF
}
