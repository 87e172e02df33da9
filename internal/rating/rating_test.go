package rating

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/standin/rawanswer"
)

func TestRate(t *testing.T) {
	tests := []struct {
		desc   string
		status int
		body   string
		score  float64
		fails  bool
	}{
		{desc: "score", status: 200, body: `{"score":0.9}`, score: 0.9},
		{desc: "limited", status: 429, fails: true},
		{desc: "no score", status: 200, body: `{}`, fails: true},
		{desc: "score out of range", status: 200, body: `{"score":7}`, fails: true},
		{desc: "not JSON", status: 200, body: `x`, fails: true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			score, err := New(server.Client(), server.URL).Rate(context.Background(), gateway.Rating{})
			if tt.fails {
				require.ErrorIs(t, err, ErrUnavailable)
				return
			}
			require.NoError(t, err)
			assert.Equal(t, tt.score, score)
		})
	}
}

// TestMalformedAnswerIsNoRating guards against ratings read from a malformed answer.
func TestMalformedAnswerIsNoRating(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n{\"score\":1}", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\n{\"score\":1}", "HTTP/1.1 000 OK\r\n\r\n{\"score\":1}",
		"HTTP/1.1 200 OK\r\n\r\n{\"score\":1",
	} {
		server := httptest.NewServer(rawanswer.Handler(text))
		_, err := New(&http.Client{}, server.URL).Rate(t.Context(), gateway.Rating{})
		assert.ErrorIs(t, err, ErrUnavailable, "%q", text)
		server.Close()
	}
}

func TestFailingServiceGetsNoMoreCalls(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer server.Close()
	client := New(server.Client(), server.URL)
	for range 10 {
		_, err := client.Rate(context.Background(), gateway.Rating{})
		require.ErrorIs(t, err, ErrUnavailable)
	}
	assert.Equal(t, int32(1), calls.Load())
}
