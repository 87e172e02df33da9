// Package tracing makes a span for each hop of a request. Spans of recent
// requests are kept in bounded memory for operators; a sample of the traces is
// sent to a collector by OTLP over HTTP where one is configured, and dropped,
// never waited for, when the collector is slow.
package tracing

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// The names of the spans, one for each hop.
const (
	HopEntry   = "entry"
	HopQueue   = "queue"
	HopClaim   = "claim"
	HopAttempt = "attempt"
	HopRating  = "rating"
	HopBill    = "bill"
	HopPeer    = "peer"
	HopStore   = "store"
)

// RequestIDKey is the attribute that names the request a span belongs to.
// Spans below one that carries it get it too.
const RequestIDKey = attribute.Key("request_id")

const (
	tracerName      = "github.com/basilrail/basilrail"
	exportQueue     = 2048
	exportBatch     = 256
	exportInterval  = 5 * time.Second
	exportTimeout   = 10 * time.Second
	attributesLimit = 16
	textLimitBytes  = 256
)

// Options is what a Tracing needs.
type Options struct {
	Instance      string
	FailureDomain string
	// Endpoint is the collector; nil sends nothing.
	Endpoint *url.URL
	// Sample is the part of the traces sent to the collector, 0 to 1.
	Sample float64
	// Requests is the number of requests whose spans are kept in memory; zero keeps none.
	Requests int
	// Client sends to the collector; nil takes a client of its own.
	Client *http.Client
}

// Tracing makes spans.
type Tracing struct {
	provider *sdktrace.TracerProvider
	recorder *Recorder
}

// New makes a Tracing. Making it does not connect to the collector.
func New(ctx context.Context, o Options) (*Tracing, error) {
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "basilraild"),
			attribute.String("service.instance.id", o.Instance),
			attribute.String("failure_domain", o.FailureDomain),
		)),
		sdktrace.WithSampler(sampler{ratio: sdktrace.TraceIDRatioBased(o.sample())}),
		sdktrace.WithRawSpanLimits(spanLimits()),
	}
	t := &Tracing{recorder: NewRecorder(o.Requests)}
	if o.Requests > 0 {
		options = append(options, sdktrace.WithSpanProcessor(t.recorder))
	}
	if o.Endpoint != nil {
		exporter, err := newExporter(ctx, o)
		if err != nil {
			return nil, errors.Wrap(err, "make the trace exporter")
		}
		options = append(options, sdktrace.WithSpanProcessor(exporter))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	return t, nil
}

// sample is the sampled part; without a collector nothing is sampled.
func (o Options) sample() float64 {
	if o.Endpoint == nil {
		return 0
	}
	return o.Sample
}

func spanLimits() sdktrace.SpanLimits {
	limits := sdktrace.NewSpanLimits()
	limits.AttributeCountLimit = attributesLimit
	limits.AttributeValueLengthLimit = textLimitBytes
	limits.EventCountLimit = attributesLimit
	return limits
}

// newExporter makes the batching processor, which drops what its queue can't hold.
func newExporter(ctx context.Context, o Options) (sdktrace.SpanProcessor, error) {
	options := []otlptracehttp.Option{
		otlptracehttp.WithEndpointURL(o.Endpoint.String()),
		otlptracehttp.WithTimeout(exportTimeout),
	}
	if o.Client != nil {
		options = append(options, otlptracehttp.WithHTTPClient(o.Client))
	}
	exporter, err := otlptracehttp.New(ctx, options...)
	if err != nil {
		return nil, err
	}
	return sdktrace.NewBatchSpanProcessor(exporter,
		sdktrace.WithMaxQueueSize(exportQueue),
		sdktrace.WithMaxExportBatchSize(exportBatch),
		sdktrace.WithBatchTimeout(exportInterval),
		sdktrace.WithExportTimeout(exportTimeout),
	), nil
}

// Tracer starts spans.
func (t *Tracing) Tracer() trace.Tracer { return t.provider.Tracer(tracerName) }

// Recorder holds the spans of recent requests.
func (t *Tracing) Recorder() *Recorder { return t.recorder }

// Shutdown sends what is queued, until the context ends.
func (t *Tracing) Shutdown(ctx context.Context) error {
	return errors.Wrap(t.provider.Shutdown(ctx), "shut tracing down")
}

// sampler samples by trace id and records every span for the memory. A
// caller's own sampling flag is not followed: it would let a caller decide how
// much this process sends.
type sampler struct {
	ratio sdktrace.Sampler
}

// ShouldSample decides about one span.
func (s sampler) ShouldSample(p sdktrace.SamplingParameters) sdktrace.SamplingResult {
	result := s.ratio.ShouldSample(p)
	if result.Decision == sdktrace.Drop {
		result.Decision = sdktrace.RecordOnly
	}
	return result
}

// Description names the sampler.
func (s sampler) Description() string { return "record all, sample " + s.ratio.Description() }

var propagator = propagation.TraceContext{}

// Extract continues the trace that the W3C header of a call names, if any.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject adds the W3C header of the context's span to a call.
func Inject(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}
