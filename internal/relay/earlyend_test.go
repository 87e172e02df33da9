package relay

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/httpanswer"
	"github.com/basilrail/basilrail/internal/standin/rawanswer"
)

// exchange sends a request through a relay and returns what the server answers up to its end.
func (r *testRelay) exchange(t *testing.T, request []byte, isMarked bool) (string, error) {
	stream := r.dial(t)
	defer stream.Close()
	if isMarked {
		marked := httpanswer.NewConn(stream)
		marked.BeginRequest()
		go func() {
			_, err := marked.Write(request)
			marked.EndRequest(err)
		}()
		answer, err := io.ReadAll(marked)
		return string(answer), err
	}
	go func() { _, _ = stream.Write(request) }()
	answer, err := io.ReadAll(stream)
	return string(answer), err
}

// TestResetWhileTheRequestIsForwardedIsNoEnd guards against part of an answer without a length that
// looks whole, as the relay's write of the request takes the error of the reset.
func TestResetWhileTheRequestIsForwardedIsNoEnd(t *testing.T) {
	const attempts = 40
	for _, c := range []struct {
		bytes int
		pause time.Duration
	}{{64 << 10, 0}, {4 << 20, 2 * time.Millisecond}, {4 << 20, 30 * time.Millisecond}, {8 << 20, 30 * time.Millisecond}} {
		for _, isMarked := range []bool{true, false} {
			r := newTestRelay(t, func(server *net.TCPConn) {
				_, _ = io.ReadFull(server, make([]byte, 1000))
				_, _ = io.WriteString(server, "part of")
				time.Sleep(c.pause)
				rawanswer.Reset(server)
			})
			whole := 0
			for range attempts {
				_, err := r.exchange(t, make([]byte, c.bytes), isMarked)
				if err == nil {
					whole++
				}
				<-r.conns
			}
			assert.Zero(t, whole, "of %d answers to %d bytes, reset after %v, marked: %v", attempts, c.bytes, c.pause, isMarked)
		}
	}
}

// TestCloseWhileTheRequestIsForwardedIsNoEnd guards against an answer without a length that looks
// whole, although the server closed the connection before it had read the request.
func TestCloseWhileTheRequestIsForwardedIsNoEnd(t *testing.T) {
	half := make([]byte, 64<<10)
	closed := make(chan struct{}, 1)
	r := newTestRelay(t, func(server *net.TCPConn) {
		_, _ = io.ReadFull(server, make([]byte, len(half)))
		_, _ = io.WriteString(server, "part of")
		// All bytes that have arrived were read, so this is no reset.
		_ = server.Close()
		closed <- struct{}{}
	})
	for range 20 {
		stream := httpanswer.NewConn(r.dial(t))
		stream.BeginRequest()
		go func() {
			_, _ = stream.Write(half)
			<-closed
			time.Sleep(10 * time.Millisecond)
			// The first write after the close still succeeds.
			_, _ = stream.Write(half)
			time.Sleep(10 * time.Millisecond)
			_, err := stream.Write(half)
			stream.EndRequest(err)
		}()
		_, err := io.ReadAll(stream)
		assert.Error(t, err)
		<-r.conns
	}
}

// TestEarlyAnswerOfASoundServerIsWhole guards against answers that break off because the server ended
// its side before it had read the request.
func TestEarlyAnswerOfASoundServerIsWhole(t *testing.T) {
	request := bytes.Repeat([]byte("request "), 1<<19)
	received := make(chan int, 1)
	r := newTestRelay(t, func(server *net.TCPConn) {
		defer server.Close()
		head, _ := io.ReadFull(server, make([]byte, 1000))
		_, _ = io.WriteString(server, "whole")
		_ = server.CloseWrite()
		time.Sleep(30 * time.Millisecond)
		rest, _ := io.ReadFull(server, make([]byte, len(request)-head))
		received <- head + rest
	})
	for range 20 {
		answer, err := r.exchange(t, request, true)
		require.NoError(t, err)
		assert.Equal(t, "whole", answer)
		assert.Equal(t, len(request), <-received, "the relay writes the request to its end")
		<-r.conns
	}
}

// TestAnswerToAPeerWithoutMarksIsWhole guards against peers of earlier releases whose requests are
// held until their deadlines.
func TestAnswerToAPeerWithoutMarksIsWhole(t *testing.T) {
	request := bytes.Repeat([]byte("request "), 1<<16)
	r := newTestRelay(t, func(server *net.TCPConn) {
		defer server.Close()
		_, _ = io.ReadFull(server, make([]byte, len(request)))
		_, _ = io.WriteString(server, "whole")
	})
	answer, err := r.exchange(t, request, false)
	require.NoError(t, err)
	assert.Equal(t, "whole", answer)
}

// TestServerThatResetsIsReportedAsLost guards against a server's fault that is taken for one of the
// way to the relay.
func TestServerThatResetsIsReportedAsLost(t *testing.T) {
	r := newTestRelay(t, func(server *net.TCPConn) {
		_, _ = io.ReadFull(server, make([]byte, 1000))
		_, _ = io.WriteString(server, "part of")
		time.Sleep(30 * time.Millisecond)
		rawanswer.Reset(server)
	})
	for range 10 {
		_, err := r.exchange(t, make([]byte, 4<<20), true)
		assert.ErrorIs(t, err, ErrServerLost)
		<-r.conns
	}
}

// TestPeerThatLeavesWhileTheServerReadsNothingEndsTheStream guards against streams of a relay, and
// connections to servers, that stay open after the near end has closed: the relay reads nothing from
// the near end while the write of the request waits for the server.
func TestPeerThatLeavesWhileTheServerReadsNothingEndsTheStream(t *testing.T) {
	for name, answer := range map[string]func(server *net.TCPConn){
		"no answer": func(*net.TCPConn) {},
		"the server has ended its side": func(server *net.TCPConn) {
			_, _ = io.WriteString(server, "part of")
			_ = server.CloseWrite()
		},
	} {
		t.Run(name, func(t *testing.T) {
			stalled, done := make(chan struct{}), make(chan struct{})
			t.Cleanup(func() { close(done) })
			r := newTestRelay(t, func(server *net.TCPConn) {
				_, _ = io.ReadFull(server, make([]byte, 1000))
				answer(server)
				close(stalled)
				<-done
			})
			stream := httpanswer.NewConn(r.dial(t))
			stream.BeginRequest()
			written := make(chan error, 1)
			go func() {
				_, err := stream.Write(make([]byte, 64<<20))
				stream.EndRequest(err)
				written <- err
			}()
			<-stalled
			// The buffers on the way fill up.
			time.Sleep(200 * time.Millisecond)
			require.NoError(t, stream.Close())
			assert.Error(t, <-written)
			assert.Eventually(t, func() bool { return r.server.Open() == 0 }, 5*time.Second, 10*time.Millisecond, "the relay still carries the stream")
		})
	}
}
