package prefill

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestEstimatorEstimatesEachModel(t *testing.T) {
	e := NewEstimator()
	small, large := Model{Service: "s", Name: "small"}, Model{Service: "s", Name: "large"}
	assert.Equal(t, 1000*defaultPerToken, e.Estimate(small, 1000))
	for i := range 2000 {
		// One fifth of the responses were delayed by something else.
		delay := time.Duration(0)
		if i%5 == 0 {
			delay = 300 * time.Millisecond
		}
		e.Observe(small, 1000, overhead+5*time.Millisecond+delay)
		e.Observe(large, 1000, overhead+50*time.Millisecond+delay)
	}
	assert.InDelta(t, float64(10*time.Millisecond), float64(e.Estimate(small, 2000)), float64(12*time.Millisecond))
	assert.InDelta(t, float64(100*time.Millisecond), float64(e.Estimate(large, 2000)), float64(12*time.Millisecond))
	e.Observe(small, 10, time.Second)
	assert.Less(t, e.Estimate(small, 2000), 25*time.Millisecond, "a short prompt is ignored")
}
