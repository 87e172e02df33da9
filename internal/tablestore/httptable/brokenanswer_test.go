package httptable

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/standin/rawanswer"
	"github.com/basilrail/basilrail/internal/tablestore"
)

// TestMalformedHeadOfTheStoreSaysNothing guards against writes that are taken for applied, or for
// not applied, and against lists that are taken for complete, on the word of a malformed answer.
func TestMalformedHeadOfTheStoreSaysNothing(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 204 OK\r\nX Odd: 1\r\n", "HTTP/1.1 503 Full\r\nX Odd: 1\r\n",
		"HTTP/1.1 429 Slow\r\nX Odd: 1\r\n", "HTTP/1.1 400 Bad\r\nX Odd: 1\r\n",
	} {
		server := httptest.NewServer(rawanswer.Handler(head + "\r\n{}"))
		client := New(&http.Client{}, server.URL, 0)
		assert.Equal(t, tablestore.OutcomeUnknown, client.Commit(t.Context(), tablestore.Txn{}).Outcome, "%q", head)
		_, err := client.Scan(t.Context(), "/", "", 1)
		assert.ErrorIs(t, err, tablestore.ErrUnavailable, "%q", head)
		_, err = client.List(t.Context())
		assert.ErrorIs(t, err, tablestore.ErrUnavailable, "%q", head)
		assert.ErrorIs(t, client.Deregister(t.Context(), "i"), tablestore.ErrUnavailable, "%q", head)
		server.Close()
	}
}

// TestAnswerOfTheStoreThatEndsEarlySaysNothing guards against rows that are read from part of an
// answer.
func TestAnswerOfTheStoreThatEndsEarlySaysNothing(t *testing.T) {
	const body = `{"rows":[],"members":[]}`
	for n := range len(body) {
		for _, framing := range []string{"", "Content-Length: 24\r\n"} {
			server := httptest.NewServer(rawanswer.Handler("HTTP/1.1 200 OK\r\n" + framing + "\r\n" + body[:n]))
			client := New(&http.Client{}, server.URL, 0)
			_, err := client.Scan(t.Context(), "/", "", 1)
			assert.ErrorIs(t, err, tablestore.ErrUnavailable, "%q", body[:n])
			assert.Equal(t, tablestore.OutcomeUnknown, client.Commit(t.Context(), tablestore.Txn{}).Outcome, "%q", body[:n])
			server.Close()
		}
	}
}
