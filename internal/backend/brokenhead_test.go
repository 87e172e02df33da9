package backend

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/standin/rawanswer"
)

// requireUnknown requires that an attempt at a server which answers with a text has an unknown
// outcome, whole and streamed.
func requireUnknown(t *testing.T, text string) {
	t.Helper()
	client, server := startServer(t, rawanswer.Handler(text, HeaderAttemptID))
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

// attemptID is the line of an answer that names its attempt.
var attemptID = HeaderAttemptID + ": " + rawanswer.Echo(HeaderAttemptID) + "\r\n"

// TestInvalidStatusIsNoAnswer guards against an answer, or a promise that the request did not run,
// whose status or version HTTP/1.1 does not know.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "099", "600", "999", "+20", "-00", "0", "20", "2000", "20x"} {
		for _, headers := range []string{attemptID, attemptID + HeaderNotRun + ": true\r\n"} {
			requireUnknown(t, "HTTP/1.1 "+status+" OK\r\n"+headers+body)
		}
	}
	for _, version := range []string{"0.9", "2.0", "3.0", "9.9"} {
		requireUnknown(t, "HTTP/"+version+" 200 OK\r\n"+attemptID+body)
		requireUnknown(t, "HTTP/"+version+" 503 Full\r\n"+attemptID+HeaderNotRun+": true\r\n"+body)
	}
	requireUnknown(t, "HTTP/1.1 101 Switching Protocols\r\n"+attemptID+"Connection: Upgrade\r\nUpgrade: x\r\n\r\n")
}

// TestInvalidFieldNameIsNoAnswer guards against answers, or a promise that the request did not run,
// with an invalid field name in the head: their bodies may be framed by a line that was not read.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	const event = "data: {\"id\":\"me\",\"offset\":0}\n\ndata: [DONE]\n\n"
	for _, line := range []string{
		"X Odd: 1", "X-Odd : 1", ": 1", "X\x01Odd: 1", "X\tOdd: 1", "X-Odd\t: 1", "X\x7fOdd: 1", "X\x00Odd: 1", "X(Odd): 1", "no field",
	} {
		for _, status := range []string{"200 OK", "500 Failed", "503 Full"} {
			for _, headers := range []string{attemptID, attemptID + HeaderNotRun + ": true\r\n"} {
				requireUnknown(t, "HTTP/1.1 "+status+"\r\n"+headers+line+"\r\nContent-Length: 2\r\n\r\nok")
				requireUnknown(t, "HTTP/1.1 "+status+"\r\n"+line+"\r\n"+headers+"Content-Length: 2\r\n\r\nok")
			}
		}
		requireUnknown(t, "HTTP/1.1 200 OK\r\n"+attemptID+"Content-Type: text/event-stream\r\n"+line+"\r\n\r\n"+event)
		requireUnknown(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n"+attemptID+"Content-Length: 2\r\n\r\nok")
	}
	// A blank at the start of a later line continues the line before.
	requireUnknown(t, "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n"+attemptID+"Content-Length: 2\r\n\r\nok")
	requireUnknown(t, "HTTP/1.1 200 OK\r\n"+attemptID+"Content-Length : 2\r\n\r\nok, not this")
	requireUnknown(t, "HTTP/1.1 200 OK\r\n"+attemptID+"Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
}

// TestInvalidTrailerIsNoAnswer guards against answers that are whole although the fields after
// their bodies are none.
func TestInvalidTrailerIsNoAnswer(t *testing.T) {
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "X\x01Odd: 1", "no field"} {
		client, server := startServer(t, rawanswer.Handler("HTTP/1.1 200 OK\r\n"+attemptID+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+line+"\r\n\r\n", HeaderAttemptID))
		_, err := client.Do(t.Context(), Call{AttemptID: "me", Server: server, Method: http.MethodPost, Path: "/"})
		var failed *Error
		require.ErrorAs(t, err, &failed, "%q", line)
		assert.Equal(t, OutcomeUnknown, failed.Outcome)
	}
}

// TestEndlessInterimResponsesEnd guards against a server that sends interim responses until the
// deadline.
func TestEndlessInterimResponsesEnd(t *testing.T) {
	client, server := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		for err == nil {
			_, err = conn.Write([]byte("HTTP/1.1 103 Early Hints\r\n\r\n"))
		}
	})
	_, err := client.Do(t.Context(), Call{AttemptID: "me", Server: server, Method: http.MethodPost, Path: "/"})
	var failed *Error
	require.ErrorAs(t, err, &failed)
	assert.Equal(t, OutcomeUnknown, failed.Outcome)
}

// TestSoundHeadsAreAnswers guards against sound answers that are taken for malformed ones.
func TestSoundHeadsAreAnswers(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n" + attemptID + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200\r\n" + attemptID + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.9 200 OK\r\n" + attemptID + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\n" + attemptID + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + attemptID + "X!#$%&'*+-.^_`|~9: 1\r\nx-lower:\t\"caf\xe9\"\t\r\nX-Empty:\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n" + attemptID + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + attemptID + "X-Log: GET /x HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 599 Odd\r\n" + attemptID + "Content-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\n" + attemptID + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n2\r\nok\r\n0\r\nX-End: 1\r\n\r\n",
	} {
		client, server := startServer(t, rawanswer.Handler(head, HeaderAttemptID))
		answer, err := client.Do(t.Context(), Call{AttemptID: "me", Server: server, Method: http.MethodPost, Path: "/"})
		require.NoError(t, err, "%q", head)
		assert.Equal(t, "ok", string(answer.Body))
	}
}
