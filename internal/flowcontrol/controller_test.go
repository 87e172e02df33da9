package flowcontrol

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/settings"
)

// fill takes the whole window for a second a request and warms the estimates up.
func fill(t *testing.T, c *Controller, window int) []*Grant {
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

// acquireWithin asks for a second's service to be done within some time, is
// refused, and returns how long that took.
func acquireWithin(t *testing.T, c *Controller, within time.Duration) time.Duration {
	t.Helper()
	before := time.Now()
	_, err := c.Acquire(t.Context(), Ticket{
		Account: "t/small", Cost: 100, Pool: "p",
		Service: time.Second, Deadline: before.Add(within),
	})
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, DeadlineUnreachable, refused.Reason)
	assert.GreaterOrEqual(t, refused.RetryAfter, minRetryAfter)
	return time.Since(before)
}

func TestAcquireRefusesAtOnceWhatCannotStartInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		fill(t, c, 1)
		assert.Zero(t, acquireWithin(t, c, 1500*time.Millisecond), "it is not held")
	})
}

func TestAcquireGivesUpAtTheLatestUsefulStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		fill(t, c, 1)
		assert.Equal(t, 3*time.Second, acquireWithin(t, c, 4*time.Second))
		assert.Zero(t, c.pool("p").queue.Waiting())
	})
}

func TestAcquireCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		held := fill(t, c, 1)
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
		assert.Zero(t, c.pool("p").queue.InFlight(), "a second Release does not count")
	})
}

func TestAcquireStartsWaitingWhenTheWindowGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
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
	synctest.Test(t, func(t *testing.T) {
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
		most := 0
		for range requests {
			<-done
			p := c.pool("p")
			p.mu.Lock()
			most = max(most, p.queue.InFlight())
			p.mu.Unlock()
		}
		assert.LessOrEqual(t, most, window)
		assert.Zero(t, c.pool("p").queue.InFlight())
		assert.Zero(t, c.pool("p").queue.Waiting())
	})
}
