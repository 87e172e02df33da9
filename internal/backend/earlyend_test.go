package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/standin/rawanswer"
)

// uploadBytes does not fit the buffers of a connection, so that the request is still being written
// when the answer arrives.
const uploadBytes = 8 << 20

// startUploadServer starts a server that answers uploads before it has read them.
func startUploadServer(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) (*Client, *datastore.Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go rawanswer.ServeUploads(listener, serve)
	return NewClient(&http.Transport{}, testAnswerLimit), serverAt(listener.Addr().String())
}

// TestResetWhileTheRequestIsWrittenIsNoEnd guards against part of an answer without a length that
// looks whole, as the write of the request takes the error of the reset.
func TestResetWhileTheRequestIsWrittenIsNoEnd(t *testing.T) {
	const attempts = 40
	for _, pause := range []time.Duration{2 * time.Millisecond, 30 * time.Millisecond} {
		client, server := startUploadServer(t, func(c *net.TCPConn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart of", HeaderAttemptID, r.Header.Get(HeaderAttemptID))
			time.Sleep(pause)
			rawanswer.Reset(c)
		})
		whole := 0
		for range attempts {
			_, err := client.Do(t.Context(), Call{AttemptID: "me", Server: server, Method: http.MethodPost, Path: "/", Body: make([]byte, uploadBytes)})
			if err == nil {
				whole++
				continue
			}
			var failed *Error
			require.ErrorAs(t, err, &failed)
			assert.Equal(t, OutcomeUnknown, failed.Outcome)
		}
		assert.Zero(t, whole, "of %d answers, reset after %v", attempts, pause)
	}
}

// TestEarlyAnswersOfSoundServersAreWhole guards against sound answers that are taken for broken ones
// because they began before the request was written.
func TestEarlyAnswersOfSoundServersAreWhole(t *testing.T) {
	for name, serve := range map[string]func(c *net.TCPConn, head string, upload io.Reader){
		"length": func(c *net.TCPConn, head string, upload io.Reader) {
			fmt.Fprintf(c, "%sConnection: close\r\nContent-Length: 5\r\n\r\nwhole", head)
			_, _ = io.Copy(io.Discard, upload)
		},
		"chunks": func(c *net.TCPConn, head string, upload io.Reader) {
			fmt.Fprintf(c, "%sConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", head)
			_, _ = io.Copy(io.Discard, upload)
		},
		"no length, the server ends its side": func(c *net.TCPConn, head string, upload io.Reader) {
			fmt.Fprintf(c, "%s\r\nwhole", head)
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, upload)
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := startUploadServer(t, func(c *net.TCPConn, r *http.Request) {
				serve(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n", HeaderAttemptID, r.Header.Get(HeaderAttemptID)), r.Body)
			})
			for range 10 {
				answer, err := client.Do(t.Context(), Call{AttemptID: "me", Server: server, Method: http.MethodPost, Path: "/", Body: make([]byte, uploadBytes)})
				require.NoError(t, err)
				assert.Equal(t, "whole", string(answer.Body))
			}
		})
	}
}

// TestAnswerWithoutLengthToAnUnreadRequestEndsAtTheDeadline guards against attempts that never end:
// whether such an answer is whole is known only once the request was written; and against
// connections and goroutines that stay behind.
func TestAnswerWithoutLengthToAnUnreadRequestEndsAtTheDeadline(t *testing.T) {
	ended, closed := make(chan struct{}), make(chan struct{})
	client, server := startUploadServer(t, func(c *net.TCPConn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\nwhole", HeaderAttemptID, r.Header.Get(HeaderAttemptID))
		_ = c.CloseWrite()
		<-ended
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	})
	before := runtime.NumGoroutine()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, Call{AttemptID: "me", Server: server, Method: http.MethodPost, Path: "/", Body: make([]byte, uploadBytes)})
	var failed *Error
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, OutcomeUnknown, failed.Outcome)
	assert.False(t, failed.Crashed)
	close(ended)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		assert.Fail(t, "the connection is still open")
	}
	for start := time.Now(); runtime.NumGoroutine() > before && time.Since(start) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
	}
	assert.LessOrEqual(t, runtime.NumGoroutine(), before, "goroutines stay behind")
}
