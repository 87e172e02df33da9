package backend

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// attemptMark stands for the attempt's id in the text of a raw answer.
const attemptMark = "ATTEMPT"

// raw answers with a text, byte by byte as it is, and closes the connection.
func raw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, attemptMark, r.Header.Get(HeaderAttemptID)))
	}
}

// requireUnknown requires that an attempt at a server which answers with a text has an unknown
// outcome, whole and streamed.
func requireUnknown(t *testing.T, text string) {
	t.Helper()
	client, server := startServer(t, raw(text))
	answer, err := client.Do(t.Context(), Call{AttemptID: "me", Server: server, Method: http.MethodPost, Path: "/"})
	var failed *Error
	require.ErrorAs(t, err, &failed, "%q: %+v", text, answer)
	assert.Equal(t, OutcomeUnknown, failed.Outcome, "%q", text)

	stream, err := client.Stream(t.Context(), Chat{Server: server, AttemptID: "me"})
	if err == nil {
		_, err = drain(stream)
		stream.Close()
	}
	require.ErrorAs(t, err, &failed, "%q", text)
	assert.Equal(t, OutcomeUnknown, failed.Outcome, "%q", text)
}

// TestInvalidStatusIsNoAnswer guards against an answer, or a promise that the request did not run,
// whose status HTTP does not know.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const id, body = HeaderAttemptID + ": " + attemptMark + "\r\n", "Content-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "099", "600", "999", "+20", "-00", "0", "20", "2000", "20x"} {
		for _, headers := range []string{id, id + HeaderNotRun + ": true\r\n"} {
			requireUnknown(t, "HTTP/1.1 "+status+" OK\r\n"+headers+body)
		}
	}
	requireUnknown(t, "HTTP/1.1 101 Switching Protocols\r\n"+id+"Connection: Upgrade\r\nUpgrade: x\r\n\r\n")
}
