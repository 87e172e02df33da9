// Package tracing creates a span for each hop of a request. Spans of recent
// requests are kept in bounded memory for operators. If a collector is configured,
// a sample of the traces is sent to it by OTLP over HTTP; when the collector is
// slow, spans are dropped instead of blocking requests.
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

// Span names, one for each kind of hop.
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

// RequestIDKey is the attribute for the id of the request that a span belongs to.
// Child spans inherit it.
const RequestIDKey = attribute.Key("request_id")

const (
	tracerName      = "github.com/basilrail/basilrail"
	maxExportQueue  = 2048
	maxExportBatch  = 256
	exportInterval  = 5 * time.Second
	exportTimeout   = 10 * time.Second
	attributesLimit = 16
	textLimitBytes  = 256
)

// Options configures a Tracing.
type Options struct {
	Instance      string
	FailureDomain string
	// Endpoint is the collector's URL; nil disables sending.
	Endpoint *url.URL
	// Sample is the fraction of traces sent to the collector, 0 to 1.
	Sample float64
	// Requests is the number of requests whose spans are kept in memory; zero keeps none.
	Requests int
	// Client is the HTTP client for the collector; nil uses the exporter's default.
	Client *http.Client
}

// Tracing creates, records and exports spans.
type Tracing struct {
	provider *sdktrace.TracerProvider
	recorder *Recorder
}

// New returns a Tracing. It does not connect to the collector.
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
			return nil, errors.Wrap(err, "create trace exporter")
		}
		options = append(options, sdktrace.WithSpanProcessor(exporter))
	}
	t.provider = sdktrace.NewTracerProvider(options...)
	return t, nil
}

// sample returns the fraction of traces to sample; zero without a collector.
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

// newExporter returns a batching span processor, which drops spans when its queue is full.
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
		sdktrace.WithMaxQueueSize(maxExportQueue),
		sdktrace.WithMaxExportBatchSize(maxExportBatch),
		sdktrace.WithBatchTimeout(exportInterval),
		sdktrace.WithExportTimeout(exportTimeout),
	), nil
}

// Tracer returns the tracer that starts spans.
func (t *Tracing) Tracer() trace.Tracer { return t.provider.Tracer(tracerName) }

// Recorder returns the recorder of recent requests' spans.
func (t *Tracing) Recorder() *Recorder { return t.recorder }

// Shutdown sends the queued spans; it gives up when the context ends.
func (t *Tracing) Shutdown(ctx context.Context) error {
	return errors.Wrap(t.provider.Shutdown(ctx), "shut down tracing")
}

// sampler samples by trace id and records every span for the Recorder. The
// caller's sampling flag is ignored: it would let a caller decide how much this
// process sends.
type sampler struct {
	ratio sdktrace.Sampler
}

// ShouldSample implements sdktrace.Sampler.
func (s sampler) ShouldSample(p sdktrace.SamplingParameters) sdktrace.SamplingResult {
	result := s.ratio.ShouldSample(p)
	if result.Decision == sdktrace.Drop {
		result.Decision = sdktrace.RecordOnly
	}
	return result
}

// Description implements sdktrace.Sampler.
func (s sampler) Description() string { return "record all, sample " + s.ratio.Description() }

var propagator = propagation.TraceContext{}

// Extract returns a context that continues the trace in the W3C trace context headers, if any.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject adds the W3C trace context headers for the context's span.
func Inject(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}
