package rawanswer

import (
	"bufio"
	"net"
	"net/http"
)

// ServeUploads accepts connections until the listener is closed. For each one it reads the head of
// the first request, and passes the connection on with most of the body unread.
func ServeUploads(listener net.Listener, serve func(c *net.TCPConn, r *http.Request)) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				serve(c.(*net.TCPConn), r)
			}
		}()
	}
}

// Reset resets a connection.
func Reset(c *net.TCPConn) {
	// It fails only if the connection is closed.
	_ = c.SetLinger(0)
	_ = c.Close()
}
