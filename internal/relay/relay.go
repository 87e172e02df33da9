// Package relay carries connections to backend servers through another instance, for one
// that reaches no server by itself.
//
// A relay passes bytes on and decides nothing: the instance that has the caller chooses the
// server, counts the request against limits and budgets, and judges the answer. The relay reports
// how the server's connection ended. It only connects over its own links, so that streams can't
// form loops.
package relay

import (
	"context"
	"io"
	"net"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/httpanswer"
)

// Errors of a stream that could not be opened; nothing was sent to the server.
var (
	// ErrServerUnreachable means that the relay reaches other servers of the service.
	ErrServerUnreachable = errors.New("the relay can't connect to the backend server")
	// ErrUnavailable means that the relay reaches no server of the service, has too many
	// streams or is stopping.
	ErrUnavailable = errors.New("the relay takes no stream")
)

// Errors of an open stream that ended before the server closed its connection.
var (
	// ErrServerLost means that the server's connection broke while the relay reached other
	// servers.
	ErrServerLost = errors.New("the backend server disconnected from the relay")
	// ErrRelayLost means that the relay or the way to it was lost.
	ErrRelayLost = errors.New("the stream through the relay was lost")
)

const (
	// statusServerLost closes a stream for which ErrServerLost holds.
	statusServerLost websocket.StatusCode = 4001
	// statusRelayLost closes a stream whose relay lost its path to the servers.
	statusRelayLost websocket.StatusCode = 4002
	// chunkBytes is the size of the messages in which the bytes of a stream are sent.
	chunkBytes = 16 << 10
)

// outcome is the result of opening a stream.
type outcome uint8

const (
	outcomeOpen outcome = iota + 1
	outcomeServerUnreachable
	outcomeUnavailable
)

// opened is the first message on a stream, sent by the relay.
type opened struct {
	Outcome outcome `cbor:"1,keyasint"`
	// Reason says in words why the stream was not opened.
	Reason string `cbor:"2,keyasint,omitempty"`
}

// Opener opens streams at peers.
type Opener interface {
	OpenStream(ctx context.Context, peer, target string) (*websocket.Conn, error)
}

// Dial connects to the backend server with an id through a peer. The error wraps
// ErrServerUnreachable or ErrUnavailable, with the relay's reason, or is that of the way to the
// peer.
func Dial(ctx context.Context, opener Opener, peer, server string) (net.Conn, error) {
	ws, err := opener.OpenStream(ctx, peer, server)
	if err != nil {
		return nil, err
	}
	if err := readOpened(ctx, ws); err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return &conn{Conn: websocket.NetConn(context.Background(), ws, websocket.MessageBinary), ws: ws}, nil
}

func readOpened(ctx context.Context, ws *websocket.Conn) error {
	_, body, err := ws.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "open a stream at a relay")
	}
	var m opened
	if err := cbor.Unmarshal(body, &m); err != nil {
		return errors.Wrap(err, "decode the answer of a relay")
	}
	switch m.Outcome {
	case outcomeOpen:
		return nil
	case outcomeServerUnreachable:
		return errors.WithMessage(ErrServerUnreachable, m.Reason)
	}
	return errors.WithMessage(ErrUnavailable, m.Reason)
}

// conn is the near end of a stream. Empty messages to the relay mark the start and the end of a
// request: an answer that ends with the server's connection is complete only if the relay has
// written the whole request. Relays of earlier releases ignore the marks.
type conn struct {
	net.Conn
	ws *websocket.Conn
	// message is the message that is being read; nil for none.
	message io.Reader
}

// Read implements net.Conn. It returns io.EOF only if the server closed its connection
// properly. Read of websocket.NetConn returns it also if the relay goes away.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if c.message == nil {
			_, message, err := c.ws.Reader(context.Background())
			if err != nil {
				return 0, endOf(err)
			}
			c.message = message
		}
		n, err := c.message.Read(p)
		switch {
		case err == io.EOF:
			c.message = nil
		case err != nil:
			return n, endOf(err)
		}
		if n > 0 {
			return n, nil
		}
	}
}

// endOf returns the error of a stream that ended.
func endOf(err error) error {
	switch websocket.CloseStatus(err) {
	case websocket.StatusNormalClosure:
		return io.EOF
	case statusServerLost:
		return errors.WithMessage(ErrServerLost, err.Error())
	}
	return errors.WithMessage(ErrRelayLost, err.Error())
}

var _ httpanswer.RequestMarker = (*conn)(nil)

// MarkRequest implements httpanswer.RequestMarker.
func (c *conn) MarkRequest() {
	// If the mark can't be sent, the stream has ended, and Read returns how.
	_, _ = c.Conn.Write(nil)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n, err := c.Conn.Write(p[:min(len(p), chunkBytes)])
		written += n
		if err != nil {
			return written, errors.WithMessage(ErrRelayLost, err.Error())
		}
		p = p[n:]
	}
	return written, nil
}

// Close closes the stream at once: the relay then closes the server's connection.
func (c *conn) Close() error {
	err := c.ws.CloseNow()
	// The connection is closed; this only stops the timers of its deadlines.
	_ = c.Conn.Close()
	return errors.Wrap(err, "close a stream")
}
