package tracing

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// maxSpansPerRequest is the maximum number of spans kept for one request.
const maxSpansPerRequest = 64

// Attribute is one attribute of a span.
type Attribute struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Span is the in-memory record of one hop of a request.
type Span struct {
	Hop string `json:"hop"`
	// ID and ParentID are hexadecimal span ids; an entry span's parent is the caller's span.
	ID       string        `json:"id"`
	ParentID string        `json:"parent_id,omitempty"`
	Start    time.Time     `json:"start"`
	Duration time.Duration `json:"duration_ns"`
	Failed   bool          `json:"failed,omitempty"`
	// Attributes are the span's attributes without the request id.
	Attributes []Attribute `json:"attributes,omitempty"`
}

// Recorder is a span processor that keeps the spans of the most recent requests.
type Recorder struct {
	mu       sync.Mutex
	requests *lru.Cache[string, []Span]
}

var _ sdktrace.SpanProcessor = (*Recorder)(nil)

// NewRecorder returns a Recorder for the spans of the given number of requests; zero or less keeps none.
func NewRecorder(requests int) *Recorder {
	if requests <= 0 {
		return &Recorder{}
	}
	// lru.New fails only for a size below one.
	cache, _ := lru.New[string, []Span](requests)
	return &Recorder{requests: cache}
}

// Spans returns the recorded spans of a request, in the order in which they ended.
func (r *Recorder) Spans(requestID string) []Span {
	if r == nil || r.requests == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	spans, _ := r.requests.Peek(requestID)
	return append([]Span(nil), spans...)
}

// OnStart copies the request id from the parent span to a span without one.
func (r *Recorder) OnStart(parent context.Context, s sdktrace.ReadWriteSpan) {
	if requestID(s.Attributes()) != "" {
		return
	}
	parentSpan, ok := trace.SpanFromContext(parent).(sdktrace.ReadOnlySpan)
	if !ok {
		return
	}
	if id := requestID(parentSpan.Attributes()); id != "" {
		s.SetAttributes(RequestIDKey.String(id))
	}
}

// OnEnd records a span that belongs to a request.
func (r *Recorder) OnEnd(s sdktrace.ReadOnlySpan) {
	id := requestID(s.Attributes())
	if id == "" || r.requests == nil {
		return
	}
	span := newSpan(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	spans, _ := r.requests.Get(id)
	if len(spans) < maxSpansPerRequest {
		r.requests.Add(id, append(spans, span))
	}
}

// Shutdown does nothing: spans are only kept in memory.
func (r *Recorder) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing: nothing is queued.
func (r *Recorder) ForceFlush(context.Context) error { return nil }

func requestID(attributes []attribute.KeyValue) string {
	for _, a := range attributes {
		if a.Key == RequestIDKey {
			return a.Value.AsString()
		}
	}
	return ""
}

func newSpan(s sdktrace.ReadOnlySpan) Span {
	span := Span{
		Hop:      s.Name(),
		ID:       s.SpanContext().SpanID().String(),
		Start:    s.StartTime(),
		Duration: s.EndTime().Sub(s.StartTime()),
		Failed:   s.Status().Code == codes.Error,
	}
	if s.Parent().HasSpanID() {
		span.ParentID = s.Parent().SpanID().String()
	}
	for _, a := range s.Attributes() {
		if a.Key != RequestIDKey {
			span.Attributes = append(span.Attributes, Attribute{Name: string(a.Key), Value: a.Value.String()})
		}
	}
	return span
}
