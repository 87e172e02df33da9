package measure

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
)

// TestFaultMeasuresMeetTheirTargets runs the failure measures in virtual time; the
// command runs them in real time.
func TestFaultMeasuresMeetTheirTargets(t *testing.T) {
	tests := []struct {
		desc string
		run  Func
	}{
		{desc: "exposure", run: measureExposure},
		{desc: "crasher", run: measureCrasher},
		{desc: "retry storm", run: measureRetryStorm},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				for _, row := range test.run(1) {
					assert.True(t, row.Pass, "%s: %s, target %s", row.Name, row.Ours, row.Target)
				}
			})
		})
	}
}
