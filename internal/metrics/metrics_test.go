package metrics

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// scrape requests the metrics over HTTP and decodes them by name.
func scrape(t *testing.T, r *Registry) map[string]json.RawMessage {
	t.Helper()
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	var got map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
	return got
}

func TestEveryMetricIsServedAndDocumented(t *testing.T) {
	r := New(Sources{ServersKnown: func() float64 { return 18 }})
	r.Requests.Add("answered", 2)
	got := scrape(t, r)
	for _, d := range r.Definitions() {
		assert.Contains(t, got, d.Name)
		assert.NotEmpty(t, d.Unit, d.Name)
		assert.NotEmpty(t, d.Help, d.Name)
	}
	assert.Len(t, got, len(r.Definitions()))
	assert.JSONEq(t, `{"answered":2}`, string(got["requests_total"]))
	assert.JSONEq(t, `18`, string(got["servers_known"]))
	assert.JSONEq(t, `0`, string(got["servers_down"]))
}

func TestLabelsAreBounded(t *testing.T) {
	r := New(Sources{})
	for i := range maxLabels + 36 {
		r.Cost.Add(fmt.Sprint("team/", i), 1)
	}
	var got map[string]int
	require.NoError(t, json.Unmarshal(scrape(t, r)["cost_micro_units_total"], &got))
	assert.Len(t, got, maxLabels+1)
	assert.Equal(t, 36, got[OverflowLabel])
}

func TestHistogramQuantiles(t *testing.T) {
	h := newHistogram()
	for i := 1; i <= 100; i++ {
		h.Record(time.Duration(i) * time.Millisecond)
	}
	h.Record(48 * time.Hour)
	s := h.Summary()
	assert.EqualValues(t, 101, s.Count)
	assert.InEpsilon(t, 50_000, s.P50, 0.03)
	assert.InEpsilon(t, 95_000, s.P95, 0.03)
	assert.InEpsilon(t, time.Hour.Microseconds(), s.Max, 0.01)
}

func TestNilMetricsAreNoOps(t *testing.T) {
	var c *Counter
	var h *Histogram
	assert.NotPanics(t, func() {
		c.Add("x", 1)
		h.Record(time.Second)
	})
}
