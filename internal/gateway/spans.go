package gateway

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// The names of the spans, one for each hop.
const (
	spanEntry   = "entry"
	spanQueue   = "queue"
	spanClaim   = "claim"
	spanAttempt = "attempt"
	spanRating  = "rating"
	spanBill    = "bill"
)

// startSpan starts a span of a request; the tracer drops it when tracing is off.
func startSpan(ctx context.Context, r *request, name string) (context.Context, trace.Span) {
	ctx, span := r.gateway.Tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("request_id", r.id),
		attribute.String("client_account", string(r.view.ID)),
	))
	if r.record.TraceID == "" && span.SpanContext().HasTraceID() {
		r.record.TraceID = span.SpanContext().TraceID().String()
	}
	return ctx, span
}
