package backend

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unframed answers with a text that has neither a length nor chunks and ends with its
// connection, by a reset if isReset is set.
func unframed(body string, isReset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", HeaderAttemptID, r.Header.Get(HeaderAttemptID), body)
		if isReset {
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// TestAnswersWithoutLengthOrChunks guards against answers that are not read to the end of
// their connection, and against those cut off by a reset that look complete.
func TestAnswersWithoutLengthOrChunks(t *testing.T) {
	client, server := startServer(t, unframed("booked", false))
	answer, err := client.Do(t.Context(), Call{AttemptID: "me", Server: server, Method: http.MethodPost, Path: "/"})
	require.NoError(t, err)
	assert.Equal(t, "booked", string(answer.Body))

	client, server = startServer(t, unframed("boo", true))
	_, err = client.Do(t.Context(), Call{AttemptID: "me", Server: server, Method: http.MethodPost, Path: "/"})
	var failed *Error
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, OutcomeUnknown, failed.Outcome)
}

// TestStreamsThatEndInsideAnEvent guards against streams without length or chunks that look
// complete, or hand out part of an event, although their connection ended inside one.
func TestStreamsThatEndInsideAnEvent(t *testing.T) {
	whole := event("me", 0, "a")
	for name, c := range map[string]struct {
		body     string
		isReset  bool
		chunks   int
		complete bool
	}{
		"complete":                      {whole + event("me", 1, "b") + "data: [DONE]\n\n", false, 2, true},
		"no terminal event":             {whole, false, 1, false},
		"reset after an event":          {whole, true, 1, false},
		"inside a line":                 {whole + event("me", 1, "b")[:20], false, 1, false},
		"before the end of a line":      {whole + event("me", 1, "b")[:len(event("me", 1, "b"))-2], false, 1, false},
		"before the closing blank line": {whole + event("me", 1, "b")[:len(event("me", 1, "b"))-1], false, 1, false},
		"inside the terminal event":     {whole + "data: [DONE]", false, 1, false},
		"before its closing blank line": {whole + "data: [DONE]\n", false, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := startServer(t, unframed(c.body, c.isReset))
			stream, err := client.Stream(t.Context(), Chat{Server: server, AttemptID: "me"})
			require.NoError(t, err)
			defer stream.Close()
			chunks, err := drain(stream)
			assert.Equal(t, c.chunks, chunks)
			if c.complete {
				assert.ErrorIs(t, err, ErrStreamEnd)
				return
			}
			var failed *Error
			require.ErrorAs(t, err, &failed)
			assert.Equal(t, OutcomeUnknown, failed.Outcome)
		})
	}
}
