package serverwatch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/standin/rawanswer"
)

// TestMalformedReportsAreFailedProbes guards against servers that are taken for healthy although
// their reports are malformed or end early.
func TestMalformedReportsAreFailedProbes(t *testing.T) {
	w := New(Options{Client: &http.Client{}, Bus: membus.New().Join("entry", "a")})
	const report = `{"instance":"p1"}`
	for text, isSound := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n" + report:                                true,
		"HTTP/1.1 404 None\r\n\r\n":                                       true,
		"HTTP/1.1 200 OK\r\n\r\n" + report[:9]:                            false,
		"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n" + report[:9]:      false,
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n" + report:                    false,
		"HTTP/1.1 200 OK\r\nContent-Length : 17\r\n\r\n" + report + "and": false,
		"HTTP/1.1 404 None\r\nX Odd: 1\r\n\r\n":                           false,
		"HTTP/1.1 000 OK\r\n\r\n" + report:                                false,
	} {
		server := httptest.NewServer(rawanswer.Handler(text))
		_, err := w.fetchStatus(t.Context(), strings.TrimPrefix(server.URL, "http://"))
		assert.Equal(t, isSound, err == nil, "%q: %v", text, err)
		server.Close()
	}
}
