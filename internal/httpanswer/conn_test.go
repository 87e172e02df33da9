package httpanswer

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
)

var errReset = errors.New("connection reset by peer")

// scriptedConn is a connection of which the test says when an answer, its end and the results of
// writes arrive.
type scriptedConn struct {
	net.Conn
	answer chan string
	writes chan error
}

func newScriptedConn() *scriptedConn {
	return &scriptedConn{answer: make(chan string, 1), writes: make(chan error, 1)}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	text, ok := <-c.answer
	if !ok {
		return 0, io.EOF
	}
	return copy(p, text), nil
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	if err := <-c.writes; err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *scriptedConn) Close() error { return nil }

// TestEndOfAnAnswerWaitsForTheRequest guards against parts of answers that look whole because the
// write of the request took the error of a reset, whichever of the two is reported first.
func TestEndOfAnAnswerWaitsForTheRequest(t *testing.T) {
	for name, c := range map[string]struct {
		// run lets the end of the answer and the results of writes arrive.
		run  func(c *Conn, s *scriptedConn)
		want error
	}{
		"the write failed before the end": {func(c *Conn, s *scriptedConn) {
			s.writes <- errReset
			_, err := c.Write(nil)
			c.EndRequest(err)
			close(s.answer)
		}, ErrRequestNotWritten},
		"the write fails after the end": {func(c *Conn, s *scriptedConn) {
			time.AfterFunc(time.Second, func() { s.writes <- errReset })
			close(s.answer)
			_, err := c.Write(nil)
			c.EndRequest(err)
		}, ErrRequestNotWritten},
		"the write begins after the end": {func(c *Conn, s *scriptedConn) {
			close(s.answer)
			time.Sleep(time.Second)
			s.writes <- errReset
			_, err := c.Write(nil)
			c.EndRequest(err)
		}, ErrRequestNotWritten},
		"the last of several writes fails": {func(c *Conn, s *scriptedConn) {
			close(s.answer)
			for _, result := range []error{nil, nil, errReset} {
				time.Sleep(time.Second)
				s.writes <- result
				_, _ = c.Write(nil)
			}
		}, ErrRequestNotWritten},
		"the connection is closed before the request is written": {func(c *Conn, s *scriptedConn) {
			close(s.answer)
			time.Sleep(time.Second)
			_ = c.Close()
		}, ErrRequestNotWritten},
		"the request is written after the end": {func(c *Conn, s *scriptedConn) {
			close(s.answer)
			for range 3 {
				time.Sleep(time.Second)
				s.writes <- nil
				_, _ = c.Write(nil)
			}
			c.EndRequest(nil)
		}, io.EOF},
		"the request was written": {func(c *Conn, s *scriptedConn) {
			c.EndRequest(nil)
			close(s.answer)
		}, io.EOF},
		"the connection is closed after the request was written": {func(c *Conn, s *scriptedConn) {
			c.EndRequest(nil)
			_ = c.Close()
			close(s.answer)
		}, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newScriptedConn()
				checked := NewConn(s)
				checked.BeginRequest()
				s.answer <- "part"
				ended := make(chan error)
				go func() {
					_, err := io.Copy(io.Discard, onlyReader{checked})
					ended <- err
				}()
				c.run(checked, s)
				err := <-ended
				if c.want == io.EOF {
					require.NoError(t, err)
					return
				}
				assert.ErrorIs(t, err, c.want)
				assert.False(t, checked.IsRequestWritten())
			})
		})
	}
}

// onlyReader hides what else a connection does from io.Copy.
type onlyReader struct{ io.Reader }

// TestEndBeforeAnAnswerIsReportedAtOnce guards against kept connections that the server has closed
// and on which the end is not noticed before the next request is written.
func TestEndBeforeAnAnswerIsReportedAtOnce(t *testing.T) {
	s := newScriptedConn()
	c := NewConn(s)
	c.BeginRequest()
	c.EndRequest(nil)
	s.answer <- "answer to the request before"
	_, err := c.Read(make([]byte, 64))
	require.NoError(t, err)
	c.BeginRequest()
	close(s.answer)
	_, err = c.Read(make([]byte, 64))
	assert.Equal(t, io.EOF, err)
}

// TestWritesWithoutMarks checks the end of answers on connections on which requests are not marked.
func TestWritesWithoutMarks(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		for _, result := range []error{nil, errReset} {
			s := newScriptedConn()
			c := NewConn(s)
			s.answer <- "part"
			_, err := c.Read(make([]byte, 64))
			require.NoError(t, err)
			go func() { _, _ = c.Write(nil) }()
			synctest.Wait()
			close(s.answer)
			time.AfterFunc(time.Second, func() { s.writes <- result })
			_, err = c.Read(make([]byte, 64))
			assert.Equal(t, result == nil, err == io.EOF)
		}
	})
}
