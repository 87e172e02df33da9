package modelcommands

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/standin/rawanswer"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

// TestMalformedAnswersToCommandsSayNothing guards against commands that are taken for accepted, or
// for fenced, on the word of a malformed answer.
func TestMalformedAnswersToCommandsSayNothing(t *testing.T) {
	i := New(Options{Table: memtable.New(), Client: &http.Client{}, Rand: rand.New(rand.NewPCG(1, 1))})
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 204 OK\r\nX Odd: 1\r\n", "HTTP/1.1 409 Fenced\r\nX Odd: 1\r\n"} {
		server := httptest.NewServer(rawanswer.Handler(head + "\r\n"))
		err := send(t.Context(), i.client, strings.TrimPrefix(server.URL, "http://"), 1, Command{Ref: one})
		assert.Error(t, err, "%q", head)
		assert.NotErrorIs(t, err, ErrFenced, "%q", head)
		server.Close()
	}
}
