package tracing

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace"
)

func newTracing(t *testing.T, o Options) *Tracing {
	t.Helper()
	tracing, err := New(context.Background(), o)
	require.NoError(t, err)
	return tracing
}

// request creates the spans of one request.
func request(ctx context.Context, t *Tracing, id string) {
	ctx, entry := t.Tracer().Start(ctx, HopEntry, trace.WithAttributes(RequestIDKey.String(id)))
	_, attempt := t.Tracer().Start(ctx, HopAttempt)
	attempt.End()
	entry.End()
}

func TestRecorderKeepsSpansOfRecentRequests(t *testing.T) {
	tracing := newTracing(t, Options{Requests: 2})
	for i := range 3 {
		request(context.Background(), tracing, fmt.Sprint("r-", i))
	}
	assert.Empty(t, tracing.Recorder().Spans("r-0"), "the oldest request is evicted")
	spans := tracing.Recorder().Spans("r-2")
	require.Len(t, spans, 2)
	assert.Equal(t, []string{HopAttempt, HopEntry}, []string{spans[0].Hop, spans[1].Hop})
	assert.Equal(t, spans[1].ID, spans[0].ParentID)
}

func TestSpansPerRequestAreBounded(t *testing.T) {
	tracing := newTracing(t, Options{Requests: 1})
	for range maxSpansPerRequest + 10 {
		request(context.Background(), tracing, "r")
	}
	assert.Len(t, tracing.Recorder().Spans("r"), maxSpansPerRequest)
}

func TestRequestsSharingATraceAreRecordedSeparately(t *testing.T) {
	header := http.Header{"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}}
	tracing := newTracing(t, Options{Requests: 4})
	request(Extract(context.Background(), header), tracing, "r-1")
	request(Extract(context.Background(), header), tracing, "r-2")
	spans := tracing.Recorder().Spans("r-1")
	require.Len(t, spans, 2)
	assert.Equal(t, "b7ad6b7169203331", spans[1].ParentID)
}

func TestInjectPropagatesTraceContext(t *testing.T) {
	tracing := newTracing(t, Options{})
	ctx, span := tracing.Tracer().Start(context.Background(), HopEntry)
	defer span.End()
	header := http.Header{}
	Inject(ctx, header)
	assert.Contains(t, header.Get("Traceparent"), span.SpanContext().TraceID().String())
}

func TestCollectorReceivesSampledTraces(t *testing.T) {
	tests := []struct {
		desc   string
		sample float64
		sent   bool
	}{
		{desc: "all", sample: 1, sent: true},
		{desc: "none, although the caller sets the sampled flag", sample: 0, sent: false},
	}
	header := http.Header{"Traceparent": {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			var received atomic.Int64
			collector := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/v1/traces") {
					received.Add(1)
				}
			}))
			defer collector.Close()
			endpoint, err := url.Parse(collector.URL + "/v1/traces")
			require.NoError(t, err)
			tracing := newTracing(t, Options{Endpoint: endpoint, Sample: test.sample})
			request(Extract(context.Background(), header), tracing, "r")
			require.NoError(t, tracing.Shutdown(context.Background()))
			assert.Equal(t, test.sent, received.Load() > 0)
		})
	}
}

// TestSlowCollectorDoesNotBlock guards against requests that block on the export queue:
// it creates more spans than the queue holds while the collector does not answer.
func TestSlowCollectorDoesNotBlock(t *testing.T) {
	release := make(chan struct{})
	collector := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer collector.Close()
	defer close(release)
	endpoint, err := url.Parse(collector.URL)
	require.NoError(t, err)
	tracing := newTracing(t, Options{Endpoint: endpoint, Sample: 1})
	for range 3 * maxExportQueue {
		request(context.Background(), tracing, "r")
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Error(t, tracing.Shutdown(ended))
}
