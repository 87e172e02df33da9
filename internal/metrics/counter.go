package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counter is a monotonic counter with one value per label. A nil *Counter does nothing.
type Counter struct {
	byLabel expvar.Map
	// labels is the number of labels in byLabel.
	labels atomic.Int64
}

var _ expvar.Var = (*Counter)(nil)

// Add adds n to the value of a label.
func (c *Counter) Add(label string, n int64) {
	if c != nil {
		c.byLabel.Add(c.boundedLabel(label), n)
	}
}

// boundedLabel returns label if it is already in use or fewer than maxLabels are,
// and OverflowLabel otherwise. Concurrent calls may each add a label, so the limit
// can be exceeded by the number of concurrent calls.
func (c *Counter) boundedLabel(label string) string {
	if c.byLabel.Get(label) != nil {
		return label
	}
	if c.labels.Load() >= maxLabels {
		return OverflowLabel
	}
	c.labels.Add(1)
	return label
}

// String renders the counter as JSON.
func (c *Counter) String() string { return c.byLabel.String() }

// The value range, in microseconds, and the precision of a Histogram.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// Histogram records durations. A nil *Histogram records nothing.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

var _ expvar.Var = (*Histogram)(nil)

func newHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

// Record adds a duration. Durations above an hour are recorded as an hour.
func (h *Histogram) Record(d time.Duration) {
	if h == nil {
		return
	}
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	h.mu.Lock()
	defer h.mu.Unlock()
	// RecordValue fails only for values out of range; micros is clamped to the range.
	_ = h.values.RecordValue(micros)
}

// Summary is the published form of a Histogram, in microseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P95   int64   `json:"p95"`
	P99   int64   `json:"p99"`
	Max   int64   `json:"max"`
}

// Summary returns the statistics of all values recorded so far.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Count: h.values.TotalCount(),
		Mean:  h.values.Mean(),
		P50:   h.values.ValueAtQuantile(50),
		P95:   h.values.ValueAtQuantile(95),
		P99:   h.values.ValueAtQuantile(99),
		Max:   h.values.Max(),
	}
}

// String renders the summary as JSON.
func (h *Histogram) String() string {
	// Marshal does not fail for a struct of finite numbers.
	encoded, _ := json.Marshal(h.Summary())
	return string(encoded)
}
