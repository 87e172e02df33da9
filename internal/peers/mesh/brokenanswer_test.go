package mesh

import (
	"net"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/httpanswer"
	"github.com/basilrail/basilrail/internal/standin/rawanswer"
)

// TestMalformedAnswerIsNoPeer guards against links to a peer whose answer to the dial is malformed.
func TestMalformedAnswerIsNoPeer(t *testing.T) {
	m := New(Config{Dial: (&net.Dialer{}).DialContext})
	server := httptest.NewServer(rawanswer.Handler("HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n"))
	defer server.Close()
	_, err := m.client.Get(server.URL)
	assert.ErrorIs(t, err, httpanswer.ErrMalformed)
}
