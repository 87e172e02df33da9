package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/brittle"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/retry"
)

// countedLimits allows so many requests to each server.
type countedLimits struct {
	left map[string]int
	wait time.Duration
}

func (l *countedLimits) Next(server string) time.Duration {
	if l.left[server] == 0 {
		return l.wait
	}
	return 0
}

func (l *countedLimits) MaySend(server string) bool { return l.left[server] > 0 }

func (l *countedLimits) Rejected(*fleet.Server) {}

func (l *countedLimits) Take(server string, _ time.Time) (*brittle.Slot, bool) {
	l.left[server]--
	return nil, l.left[server] >= 0
}

// TestEverySendCountsForTheLimitOfAServer guards against repeats that go beyond the limit
// of a server: escalations, which prefer the same one, and resumed streams.
func TestEverySendCountsForTheLimitOfAServer(t *testing.T) {
	for name, steps := range map[string][]step{
		"escalation": {streams(10, 1, 2, nil), streams(90, 1, 2, nil)},
		"resumption": {streams(90, 1, 2, NewSendError(retry.OutcomeDisconnected, errTest)), streams(90, 3, 4, nil)},
		"retry":      {fails(retry.OutcomeNoCapacity), streams(90, 1, 2, nil)},
	} {
		t.Run(name, func(t *testing.T) {
			b := newSetup(steps...)
			limits := &countedLimits{left: map[string]int{"modelsa": 1, "modelsb": 1}, wait: time.Minute}
			b.d.Limits = limits
			c := b.serve("/chat/")
			assert.Nil(t, c.refusal)
			require.Len(t, b.script.attempts, 2)
			assert.NotEqual(t, b.script.attempts[0].Server.ID, b.script.attempts[1].Server.ID)
			for server, left := range limits.left {
				assert.Zero(t, left, server)
			}
		})
	}
}

// TestUsedUpLimitsRefuseAtOnce guards against requests that wait for a share of a limit
// that comes after their deadline, and against a time to return that is this instance's.
func TestUsedUpLimitsRefuseAtOnce(t *testing.T) {
	b := newSetup()
	b.d.Limits = &countedLimits{left: map[string]int{}, wait: time.Minute}
	began := time.Now()
	c := b.serve("/read/")
	require.NotNil(t, c.refusal)
	assert.Equal(t, ServersPaused, c.refusal.Reason)
	assert.Equal(t, apierror.NotRun, c.refusal.Execution)
	assert.LessOrEqual(t, c.refusal.RetryAfter, longRetryAfter+returnSpread)
	assert.Less(t, time.Since(began), 500*time.Millisecond)
	assert.Empty(t, b.script.attempts)
}
