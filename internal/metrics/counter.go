package metrics

import (
	"encoding/json"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counter only rises, in one number by label. A nil *Counter counts nothing.
type Counter struct {
	byLabel expvar.Map
	// labels counts the labels kept.
	labels atomic.Int64
}

var _ expvar.Var = (*Counter)(nil)

// Add counts n more under a label.
func (c *Counter) Add(label string, n int64) {
	if c != nil {
		c.byLabel.Add(c.bounded(label), n)
	}
}

// bounded returns the label, or the one for all others once there are too
// many. Calls at the same instant may each add one, so that the bound can be
// passed by their number.
func (c *Counter) bounded(label string) string {
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

// The range and precision of a Histogram.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Hour / time.Microsecond)
	significantDigits = 2
)

// Histogram records times. A nil *Histogram records nothing.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

var _ expvar.Var = (*Histogram)(nil)

func newHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(lowestMicros, highestMicros, significantDigits)}
}

// Record adds a time; beyond an hour it counts as an hour.
func (h *Histogram) Record(d time.Duration) {
	if h == nil {
		return
	}
	micros := min(max(d.Microseconds(), lowestMicros), highestMicros)
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value was brought into the range above.
	_ = h.values.RecordValue(micros)
}

// Summary is a histogram as it is shown, in microseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P95   int64   `json:"p95"`
	P99   int64   `json:"p99"`
	Max   int64   `json:"max"`
}

// Summary returns the quantiles of all values so far.
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
	// A struct of numbers always encodes.
	encoded, _ := json.Marshal(h.Summary())
	return string(encoded)
}
