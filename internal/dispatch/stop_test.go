package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/retry"
)

// stopLate makes an instance stop that accepts nothing any more and ends after a time.
func (b *setup) stopLate(left time.Duration) {
	b.d.Stop(time.Now().Add(-time.Second), time.Now().Add(left))
}

// TestWhatIsSentLateInAStop guards against attempts that a stopping instance begins too late, and against
// requests that it gives up although no other instance can do better.
func TestWhatIsSentLateInAStop(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		steps    []step
		left     time.Duration
		attempts int
		served   bool
		status   apierror.ExecutionStatus
	}{
		"first attempt": {path: "/chat/", steps: []step{streams(90, 1, 2, nil)}, left: time.Second, status: apierror.NotRun},
		"first attempt with a deadline in the end": {path: "/chat/", steps: []step{streams(90, 1, 2, nil)}, left: time.Hour, attempts: 1, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newSetup(c.steps...)
			b.stopLate(c.left)
			out := b.serve(c.path)
			assert.Len(t, b.script.attempts, c.attempts)
			assert.Equal(t, c.served, out.refusal == nil)
			if out.refusal != nil {
				assert.Equal(t, Stopping, out.refusal.Reason)
				assert.Equal(t, c.status, out.refusal.Execution)
				assert.Equal(t, stoppingRetryAfter, out.refusal.RetryAfter)
			}
		})
	}
}

// TestRepeatsLateInAStop guards against repeats that go out too late, and against streams and
// repeatable requests that end although another server could answer.
func TestRepeatsLateInAStop(t *testing.T) {
	stopsThen := func(b *setup, then step) step {
		return func(ctx context.Context, a *Attempt) (Answer, error) {
			b.stopLate(5 * time.Second)
			return then(ctx, a)
		}
	}
	t.Run("refused by its server", func(t *testing.T) {
		b := newSetup(fails(retry.OutcomeNoCapacity), streams(90, 1, 2, nil))
		b.script.steps[0] = stopsThen(b, b.script.steps[0])
		out := b.serve("/chat/")
		require.NotNil(t, out.refusal)
		assert.Equal(t, apierror.NotRun, out.refusal.Execution)
		assert.Len(t, b.script.attempts, 1)
	})
	t.Run("stream that has begun", func(t *testing.T) {
		b := newSetup(streams(90, 1, 2, NewSendError(retry.OutcomeDisconnected, errTest)), streams(90, 3, 4, nil))
		b.script.steps[0] = stopsThen(b, b.script.steps[0])
		out := b.serve("/chat/")
		assert.Nil(t, out.refusal)
		assert.Len(t, b.script.attempts, 2)
	})
	t.Run("answer of a smaller model", func(t *testing.T) {
		b := newSetup(streams(20, 1, 2, nil), streams(90, 1, 2, nil))
		b.script.steps[0] = stopsThen(b, b.script.steps[0])
		out := b.serve("/chat/")
		assert.Nil(t, out.refusal)
		assert.Equal(t, "1 2 ", out.text)
		assert.Len(t, b.script.attempts, 1)
	})
}
