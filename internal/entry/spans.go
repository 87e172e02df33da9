package entry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/basilrail/basilrail/internal/claim"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/tracing"
)

// startHop starts a child span of a request's span. Without one it starts none,
// so that background loops produce no traces.
func startHop(ctx context.Context, tracer trace.Tracer, hop string, attributes ...attribute.KeyValue) (context.Context, trace.Span) {
	parent := trace.SpanFromContext(ctx)
	if !parent.IsRecording() {
		return ctx, parent
	}
	return tracer.Start(ctx, hop, trace.WithAttributes(attributes...))
}

// endHop ends a span started by startHop; ctx is the context passed to startHop.
func endHop(ctx context.Context, span trace.Span, failed bool) {
	if span == trace.SpanFromContext(ctx) {
		return
	}
	if failed {
		span.SetStatus(codes.Error, "")
	}
	span.End()
}

// tracedCommitter records a span for each commit that a request waits for.
type tracedCommitter struct {
	claim.Committer
	tracer trace.Tracer
}

// Commit commits a transaction.
func (t tracedCommitter) Commit(ctx context.Context, txn tablestore.Txn) tablestore.Result {
	inner, span := startHop(ctx, t.tracer, tracing.HopStore)
	result := t.Committer.Commit(inner, txn)
	endHop(ctx, span, result.Outcome == tablestore.OutcomeUnknown || result.Outcome == tablestore.OutcomeNotApplied)
	return result
}

// tracedReader records a span for each read that a request waits for.
type tracedReader struct {
	claim.Reader
	tracer trace.Tracer
}

// Get reads the rows with the given keys.
func (t tracedReader) Get(ctx context.Context, keys ...string) ([]tablestore.Row, error) {
	inner, span := startHop(ctx, t.tracer, tracing.HopStore)
	rows, err := t.Reader.Get(inner, keys...)
	endHop(ctx, span, err != nil)
	return rows, err
}

// tracedBus records a span for each peer call made on behalf of a request.
type tracedBus struct {
	peers.Bus
	tracer trace.Tracer
}

// Request sends a request to a peer and decodes its reply.
func (t tracedBus) Request(ctx context.Context, peer string, kind peers.Kind, body, reply any) error {
	inner, span := startHop(ctx, t.tracer, tracing.HopPeer, attribute.String("peer", peer))
	err := t.Bus.Request(inner, peer, kind, body, reply)
	endHop(ctx, span, err != nil)
	return err
}
