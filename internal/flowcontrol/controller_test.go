package flowcontrol

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/settings"
)

// fillWindow occupies the whole window and returns the grants. It first runs a round
// of one-second requests to initialize the estimates.
func fillWindow(t *testing.T, c *Controller, window int) []*Grant {
	t.Helper()
	c.SetWindow("p", float64(window))
	grants := make([]*Grant, 0, window)
	for range 2 {
		for _, g := range grants {
			g.Release(100)
		}
		grants = grants[:0]
		for range window {
			g, err := c.Acquire(t.Context(), Ticket{Account: "t/large", Cost: 100, Pool: "p"})
			require.NoError(t, err)
			grants = append(grants, g)
		}
		time.Sleep(time.Second)
	}
	return grants
}

// acquireWithin requests a service of one second that must complete within the
// given time, checks that it is refused, and returns how long the refusal took.
func acquireWithin(t *testing.T, c *Controller, within time.Duration) time.Duration {
	t.Helper()
	before := time.Now()
	_, err := c.Acquire(t.Context(), Ticket{
		Account: "t/small", Cost: 100, Pool: "p",
		ServiceTime: time.Second, Deadline: before.Add(within),
	})
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, DeadlineUnreachable, refused.Reason)
	assert.GreaterOrEqual(t, refused.RetryAfter, minRetryAfter)
	return time.Since(before)
}

func TestAcquireRefusesImmediatelyIfTheDeadlineIsUnreachable(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := New()
		fillWindow(t, c, 1)
		assert.Zero(t, acquireWithin(t, c, 1500*time.Millisecond), "refused without waiting")
	})
}

func TestAcquireTimesOutAtTheLatestUsefulStart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := New()
		fillWindow(t, c, 1)
		assert.Equal(t, 3*time.Second, acquireWithin(t, c, 4*time.Second))
		assert.Zero(t, c.pool("p").queue.Waiting())
	})
}

func TestAcquireCancelled(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := New()
		held := fillWindow(t, c, 1)
		ctx, cancel := context.WithCancel(t.Context())
		result := make(chan error, 1)
		go func() {
			_, err := c.Acquire(ctx, Ticket{Account: "t/small", Cost: 100, Pool: "p"})
			result <- err
		}()
		synctest.Wait()
		cancel()
		require.ErrorIs(t, <-result, context.Canceled)
		assert.Zero(t, c.pool("p").queue.Waiting())

		held[0].Release(100)
		held[0].Release(100)
		assert.Zero(t, c.pool("p").queue.InFlight(), "a second Release has no effect")
	})
}

func TestAcquireStartsWaitingRequestsWhenTheWindowGrows(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		c := New()
		result := make(chan error, 1)
		go func() {
			_, err := c.Acquire(t.Context(), Ticket{Account: "t/small", Cost: 100, Pool: "p"})
			result <- err
		}()
		synctest.Wait()
		c.SetShare("p", Share{Window: 2, From: 0.25, To: 0.5})
		require.NoError(t, <-result)
		g, err := c.Acquire(t.Context(), Ticket{Account: "t/small", Cost: 100, Pool: "p"})
		require.NoError(t, err)
		assert.Equal(t, Share{Window: 2, From: 0.25, To: 0.5}, g.Share)
	})
}

func TestAcquireNeverExceedsTheWindow(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const window, requests = 8, 400
		c := New()
		c.SetWindow("p", window)
		done := make(chan error, requests)
		for i := range requests {
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%7+1)*time.Second)
				defer cancel()
				account := settings.AccountID("t/a")
				if i%2 == 0 {
					account = "t/b"
				}
				g, err := c.Acquire(ctx, Ticket{Account: account, Cost: int64(i), Pool: "p"})
				if err == nil {
					time.Sleep(100 * time.Millisecond)
					g.Release(int64(i))
				}
				done <- err
			}()
		}
		maxInFlight := 0
		for range requests {
			<-done
			p := c.pool("p")
			p.mu.Lock()
			maxInFlight = max(maxInFlight, p.queue.InFlight())
			p.mu.Unlock()
		}
		assert.LessOrEqual(t, maxInFlight, window)
		assert.Zero(t, c.pool("p").queue.InFlight())
		assert.Zero(t, c.pool("p").queue.Waiting())
	})
}
