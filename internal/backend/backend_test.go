package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/settings"
)

const testAnswerLimit = 1 << 10

func startServer(t *testing.T, h http.HandlerFunc) (*Client, *datastore.Server) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return NewClient(&http.Transport{}, testAnswerLimit), serverAt(address)
}

func serverAt(address string) *datastore.Server {
	store := datastore.New()
	tree := settings.Tree{Servers: map[string]settings.Server{"s1": {Address: address}}}
	store.SetSettings(settings.Compile(1, tree))
	return store.Snapshot().Servers["s1"]
}

func closeConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

func TestDoClassifiesAttemptOutcome(t *testing.T) {
	tests := []struct {
		desc    string
		handler http.HandlerFunc
		outcome Outcome
		ran     apierror.ExecutionStatus
	}{
		{
			desc: "a refusal with X-Not-Run did not run",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderNotRun, "true")
				w.WriteHeader(http.StatusServiceUnavailable)
			},
			outcome: Refused, ran: apierror.NotRun,
		},
		{
			desc:    "a request whose connection is lost after sending may have run",
			handler: func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) },
			outcome: OutcomeUnknown, ran: apierror.MayHaveRun,
		},
		{
			desc: "an answer to another attempt is not returned",
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderAttemptID, "another")
				fmt.Fprint(w, "somebody else's answer")
			},
			outcome: OutcomeUnknown, ran: apierror.MayHaveRun,
		},
		{
			desc: "a truncated answer is not returned",
			handler: func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID))
				w.Header().Set("Content-Length", "100")
				fmt.Fprint(w, "half")
			},
			outcome: OutcomeUnknown, ran: apierror.MayHaveRun,
		},
		{
			desc: "an answer over the size limit is not returned",
			handler: func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID))
				fmt.Fprint(w, strings.Repeat("x", testAnswerLimit+1))
			},
			outcome: OutcomeUnknown, ran: apierror.MayHaveRun,
		},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			client, server := startServer(t, tt.handler)
			_, err := client.Do(context.Background(), Call{AttemptID: "a1", Server: server, Method: "POST", Path: "/x"})
			var failure *Error
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, tt.outcome, failure.Outcome)
			assert.Equal(t, tt.ran, failure.Outcome.Execution())
		})
	}
}

func TestDoReportsNotSentIfConnectionIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()

	client := NewClient(&http.Transport{}, testAnswerLimit)
	_, err = client.Do(context.Background(), Call{AttemptID: "a1", Server: serverAt(address), Method: "POST", Path: "/x"})
	var failure *Error
	require.ErrorAs(t, err, &failure)
	assert.Equal(t, NotSent, failure.Outcome)
}

// net/http resends a request with an Idempotency-Key if a reused connection is
// lost before the answer. The client must prevent that, or a booking runs twice.
func TestDoNeverResendsAfterReusedConnectionIsLost(t *testing.T) {
	var received atomic.Int32
	client, server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1) > 1 {
			closeConnection(w)
			return
		}
		w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID))
	})
	bodies := map[string][]byte{"with a body": []byte("booking"), "with an empty body": nil}
	for desc, body := range bodies {
		t.Run(desc, func(t *testing.T) {
			received.Store(0)
			call := Call{
				AttemptID: "a1", Server: server, Method: "POST", Path: "/bookings",
				Header: http.Header{"Idempotency-Key": []string{"k"}}, Body: body,
			}
			_, err := client.Do(context.Background(), call)
			require.NoError(t, err, "the first call leaves the connection open for reuse")
			_, err = client.Do(context.Background(), call)
			require.Error(t, err)
			assert.Equal(t, int32(2), received.Load(), "requests the server received")
		})
	}
}

func event(id string, offset int, text string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"offset\":%d,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, offset, text)
}

func TestStreamReturnsOnlyOwnChunksInOrder(t *testing.T) {
	tests := []struct {
		desc     string
		body     string
		chunks   int
		dropped  int
		complete bool
	}{
		{desc: "complete stream", body: event("a1", 0, "x") + event("a1", 1, "y") + "data: [DONE]\n\n", chunks: 2, complete: true},
		{desc: "duplicate chunk", body: event("a1", 0, "x") + event("a1", 0, "x") + "data: [DONE]\n\n", chunks: 1, dropped: 1, complete: true},
		{desc: "chunk of another attempt", body: event("a2", 0, "z") + event("a1", 0, "x") + "data: [DONE]\n\n", chunks: 1, dropped: 1, complete: true},
		{desc: "no terminal event", body: event("a1", 0, "x"), chunks: 1},
		{desc: "missing chunk", body: event("a1", 0, "x") + event("a1", 2, "z") + "data: [DONE]\n\n", chunks: 1},
		{desc: "invalid JSON", body: event("a1", 0, "x") + "data: {\n\n", chunks: 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			client, server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderAttemptID, r.Header.Get(HeaderAttemptID))
				fmt.Fprint(w, tt.body)
			})
			stream, err := client.Stream(context.Background(), Chat{AttemptID: "a1", Server: server})
			require.NoError(t, err)
			defer stream.Close()
			chunks, err := drain(stream)
			assert.Equal(t, tt.chunks, chunks)
			assert.Equal(t, tt.dropped, stream.Dropped)
			assert.Equal(t, tt.complete, errors.Is(err, ErrStreamEnd), "ended with %v", err)
		})
	}
}

func drain(s *Stream) (chunks int, err error) {
	for {
		if _, err = s.Next(); err != nil {
			return chunks, err
		}
		chunks++
	}
}

func FuzzDecodeChunk(f *testing.F) {
	f.Add([]byte(`{"id":"a1","offset":0,"choices":[{"delta":{"content":"x"}}]}`))
	f.Add([]byte(`{"id":"a1","usage":{"prompt_tokens":1}}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"offset":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		chunk, err := DecodeChunk(data)
		assert.Equal(t, err == nil, chunk != nil)
	})
}
