package gateway

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/basilrail/basilrail/internal/tracing"
)

// startSpan starts a span for one hop of a request.
func startSpan(ctx context.Context, r *request, hop string) (context.Context, trace.Span) {
	ctx, span := r.gateway.Tracer.Start(ctx, hop, trace.WithAttributes(tracing.RequestIDKey.String(r.id)))
	return ctx, span
}

// startEntry starts the request's entry span, which continues the caller's trace.
func startEntry(ctx context.Context, r *request) (context.Context, trace.Span) {
	ctx, span := startSpan(tracing.Extract(ctx, r.http.Header), r, tracing.HopEntry)
	span.SetAttributes(attribute.String("client_account", string(r.view.ID)))
	r.record.TraceID = span.SpanContext().TraceID().String()
	return ctx, span
}
