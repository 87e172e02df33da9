package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testLinks connect to one server.
type testLinks struct {
	address string
	dialErr error
	reaches atomic.Bool
}

func (l *testLinks) DialServer(context.Context, string) (net.Conn, error) {
	if l.dialErr != nil {
		return nil, l.dialErr
	}
	return net.Dial("tcp", l.address)
}

func (l *testLinks) ReachesPeersOf(context.Context, string) bool { return l.reaches.Load() }

// testRelay is a relay in front of a server that runs serve for each connection.
type testRelay struct {
	links  *testLinks
	server *Server
	url    string
	http   *httptest.Server
	conns  chan *websocket.Conn
}

func newTestRelay(t *testing.T, serve func(c *net.TCPConn)) *testRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	r := &testRelay{links: &testLinks{address: listener.Addr().String()}, conns: make(chan *websocket.Conn, 8)}
	r.links.reaches.Store(true)
	r.server = NewServer(r.links)
	r.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		conn, err := websocket.Accept(w, req, nil)
		if err != nil {
			return
		}
		r.conns <- conn
		r.server.Serve(context.Background(), "s1", conn)
		_ = conn.CloseNow()
	}))
	t.Cleanup(r.http.Close)
	r.url = "ws" + strings.TrimPrefix(r.http.URL, "http")
	return r
}

// OpenStream implements Opener.
func (r *testRelay) OpenStream(ctx context.Context, _, _ string) (*websocket.Conn, error) {
	conn, _, err := websocket.Dial(ctx, r.url, nil)
	return conn, err
}

func (r *testRelay) dial(t *testing.T) net.Conn {
	c, err := Dial(t.Context(), r, "peer", "s1")
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c
}

func TestStreamCarriesBytesBothWays(t *testing.T) {
	request := bytes.Repeat([]byte("request "), 10_000)
	r := newTestRelay(t, func(c *net.TCPConn) {
		defer c.Close()
		body := make([]byte, len(request))
		if _, err := io.ReadFull(c, body); err == nil && bytes.Equal(body, request) {
			_, _ = c.Write(append([]byte("answer to "), body...))
		}
	})
	c := r.dial(t)
	go func() { _, _ = c.Write(request) }()
	answer, err := io.ReadAll(c)
	require.NoError(t, err, "the end of the server's connection is the end of the stream")
	assert.Equal(t, "answer to "+string(request), string(answer))
}

// TestLostStreamNeverLooksComplete guards against answers without a length that break off on the
// way and reach the caller as complete.
func TestLostStreamNeverLooksComplete(t *testing.T) {
	release := make(chan struct{})
	for name, c := range map[string]struct {
		reaches bool
		end     func(r *testRelay)
		want    error
	}{
		"server resets":                {true, func(*testRelay) { close(release) }, ErrServerLost},
		"relay loses its links":        {false, func(*testRelay) { close(release) }, ErrRelayLost},
		"relay ends":                   {true, func(r *testRelay) { _ = (<-r.conns).CloseNow() }, ErrRelayLost},
		"relay closes as it goes away": {true, func(r *testRelay) { _ = (<-r.conns).Close(websocket.StatusGoingAway, "") }, ErrRelayLost},
	} {
		t.Run(name, func(t *testing.T) {
			release = make(chan struct{})
			done := release
			r := newTestRelay(t, func(c *net.TCPConn) {
				_, _ = c.Write([]byte("half"))
				<-done
				_ = c.SetLinger(0)
				_ = c.Close()
			})
			r.links.reaches.Store(c.reaches)
			stream := r.dial(t)
			half := make([]byte, 4)
			_, err := io.ReadFull(stream, half)
			require.NoError(t, err)
			c.end(r)
			_, err = stream.Read(half)
			assert.ErrorIs(t, err, c.want)
			assert.NotErrorIs(t, err, io.EOF)
		})
	}
}

// TestClosingTheStreamEndsTheWorkOfTheServer guards against servers that go on with requests
// whose callers have left.
func TestClosingTheStreamEndsTheWorkOfTheServer(t *testing.T) {
	ended := make(chan struct{})
	r := newTestRelay(t, func(c *net.TCPConn) {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c)
	})
	c := r.dial(t)
	_, err := c.Write([]byte("request"))
	require.NoError(t, err)
	assert.Equal(t, 1, r.server.Open())
	require.NoError(t, c.Close())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		assert.Fail(t, "the server's connection is still open")
	}
	assert.Eventually(t, func() bool { return r.server.Open() == 0 }, 10*time.Second, 10*time.Millisecond)
}

func TestRefusedStreamsSayWhy(t *testing.T) {
	r := newTestRelay(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	for _, want := range []error{ErrServerUnreachable, ErrUnavailable} {
		r.links.dialErr = errors.WithMessage(want, "refused")
		_, err := Dial(t.Context(), r, "peer", "s1")
		assert.ErrorIs(t, err, want)
		assert.ErrorContains(t, err, "refused", "with the reason of the relay")
	}
	r.links.dialErr = nil
	c := r.dial(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, r.server.Stop(ctx), context.DeadlineExceeded, "a stream is open")
	_, err := Dial(t.Context(), r, "peer", "s1")
	assert.ErrorIs(t, err, ErrUnavailable, "a relay that stops takes no stream")
	assert.ErrorContains(t, err, errStopping.Error())
	require.NoError(t, c.Close())
	assert.NoError(t, r.server.Stop(t.Context()))
}

func TestRelayCarriesABoundedNumberOfStreams(t *testing.T) {
	r := newTestRelay(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	r.server.open = maxStreams
	_, err := Dial(t.Context(), r, "peer", "s1")
	assert.ErrorIs(t, err, ErrUnavailable)
	assert.ErrorContains(t, err, errTooManyStreams.Error())
	r.server.open = 0
	r.dial(t)
}

// TestStreamLostInsideAMessageNeverLooksComplete guards against a stream that ends as complete
// although the relay was lost while it passed bytes on.
func TestStreamLostInsideAMessageNeverLooksComplete(t *testing.T) {
	r := newTestRelay(t, func(c *net.TCPConn) {
		defer c.Close()
		_, _ = io.Copy(io.Discard, c)
	})
	stream := r.dial(t)
	relayed := <-r.conns
	message, err := relayed.Writer(t.Context(), websocket.MessageBinary)
	require.NoError(t, err)
	// A message that is longer than the buffer of the connection is sent in part.
	_, err = message.Write(bytes.Repeat([]byte("x"), chunkBytes))
	require.NoError(t, err)
	require.NoError(t, relayed.CloseNow())
	text, err := io.ReadAll(stream)
	assert.ErrorIs(t, err, ErrRelayLost)
	assert.NotErrorIs(t, err, io.EOF)
	assert.NotEmpty(t, text)
}

// TestRelayThatStopsLateTakesNoStream guards against streams that a stopping relay accepts because
// it had no processor time when it was to refuse them.
func TestRelayThatStopsLateTakesNoStream(t *testing.T) {
	r := newTestRelay(t, func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) })
	r.server.AcceptUntil(time.Now().Add(time.Hour))
	require.NoError(t, r.dial(t).Close())
	r.server.AcceptUntil(time.Now())
	_, err := Dial(t.Context(), r, "peer", "s1")
	assert.ErrorIs(t, err, ErrUnavailable)
}
