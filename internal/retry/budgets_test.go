package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRequestsOfOneServiceFundNoRetriesOfAnother guards against retries that pile up at a
// failing service beyond its own requests, paid for by the requests of a healthy one.
func TestRequestsOfOneServiceFundNoRetriesOfAnother(t *testing.T) {
	const ratio, burst, requests = 0.72, 10.0, 100
	b := NewBudgets(ratio, burst)
	retries := 0
	for range requests {
		b.Request("failing")
		for range 3 {
			b.Request("healthy")
		}
		for range 2 {
			if b.Take("failing") {
				retries++
			}
		}
	}
	require.LessOrEqual(t, float64(retries), ratio*requests+burst)
}
