// Package flowcontrol decides when a request may start, so that no client
// account is slowed down by another. Each pool of backend servers has a window of
// requests in flight, which the accounts share fairly by cost. A request that can't
// start in time is refused immediately, with the time after which to retry.
package flowcontrol

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// RefusedError reports that a request was not started.
type RefusedError struct {
	Reason RefusedReason
	// RetryAfter is the delay after which the caller may retry.
	RetryAfter time.Duration
}

// RefusedReason states why a request was refused.
type RefusedReason string

// Reasons for refusing a request.
const (
	// DeadlineUnreachable means that the request would start too late.
	DeadlineUnreachable RefusedReason = "the deadline can't be met"
	// QueueFull means that too many requests of the client account are waiting.
	QueueFull RefusedReason = "too many requests of the client account wait"
)

// Error returns the reason and the delay before a retry.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s; retry after %s", e.Reason, e.RetryAfter)
}

// Controller admits requests through one queue per pool. It is safe for
// concurrent use.
type Controller struct {
	mu    sync.Mutex
	pools map[string]*pool
}

// pool is a queue, its lock and this instance's share of the pool.
type pool struct {
	mu    sync.Mutex
	queue *Queue
	share Share
}

// New returns a Controller without pools.
func New() *Controller { return &Controller{pools: make(map[string]*pool)} }

// SetWindow sets the number of requests that this instance may have in flight in
// a pool, and starts the waiting requests that fit.
func (c *Controller) SetWindow(name string, window float64) {
	c.SetShare(name, Share{Window: window})
}

// SetShare sets this instance's share of a pool, and starts the waiting requests
// that fit.
func (c *Controller) SetShare(name string, share Share) {
	p := c.pool(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = share
	p.queue.SetWindow(share.Window)
	p.startWaiting(time.Now())
}

// pool returns the named pool, creating it with a window of zero if necessary.
func (c *Controller) pool(name string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[name]
	if !ok {
		p = &pool{queue: NewQueue(0)}
		c.pools[name] = p
	}
	return p
}

// Grant is a started request.
type Grant struct {
	// Priority is the priority to send to the engine.
	Priority Priority
	// Share is this instance's share of the pool when the request started.
	Share Share
	// Waited is how long the request was queued.
	Waited time.Duration

	pool *pool
	item *Item
	once sync.Once
}

// Acquire waits until the request may start; the caller must then call Release on
// the Grant. It returns a *RefusedError if the queue is full or the request can't
// start in time, or the context's error; no slot is held in these cases.
func (c *Controller) Acquire(ctx context.Context, t Ticket) (*Grant, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	offered := time.Now()
	p := c.pool(t.Pool)
	item := &Item{Ticket: t, ready: make(chan struct{})}
	if err := p.offer(offered, item); err != nil {
		return nil, err
	}
	if err := p.wait(ctx, item); err != nil {
		return nil, err
	}
	return p.grant(item, time.Since(offered)), nil
}

func (p *pool) grant(item *Item, waited time.Duration) *Grant {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &Grant{Priority: item.Priority, Share: p.share, Waited: waited, pool: p, item: item}
}

func (p *pool) offer(now time.Time, item *Item) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.queue.Offer(now, item); err != nil {
		return err
	}
	p.startWaiting(now)
	return nil
}

// startWaiting starts all requests that may start. The lock must be held.
func (p *pool) startWaiting(now time.Time) {
	for item := p.queue.Next(now); item != nil; item = p.queue.Next(now) {
		close(item.ready)
	}
}

// wait blocks until the item is started or cancelled, or its latest useful start
// has passed.
func (p *pool) wait(ctx context.Context, item *Item) error {
	late, stop := lateTimer(item)
	defer stop()
	select {
	case <-item.ready:
		return nil
	case <-ctx.Done():
		p.abandon(item)
		return ctx.Err()
	case <-late:
		if p.withdraw(item) {
			return &RefusedError{Reason: DeadlineUnreachable, RetryAfter: minRetryAfter}
		}
		return nil
	}
}

// lateTimer fires at the item's latest useful start.
func lateTimer(item *Item) (late <-chan time.Time, stop func()) {
	by := item.startBy()
	if by.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(time.Until(by))
	return timer.C, func() { timer.Stop() }
}

// withdraw removes a waiting item. It returns false if the item has been started
// in the meantime.
func (p *pool) withdraw(item *Item) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.queue.Remove(item) {
		return false
	}
	p.startWaiting(time.Now())
	return true
}

// abandon removes an item, and finishes it if it has been started in the meantime.
func (p *pool) abandon(item *Item) {
	if !p.withdraw(item) {
		p.finish(item, 0)
	}
}

func (p *pool) finish(item *Item, actual int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.queue.Finish(now, item, actual)
	p.startWaiting(now)
}

// Release frees the slot and records the actual number of tokens of the request.
// Only the first call has an effect.
func (g *Grant) Release(actualTokens int64) {
	g.once.Do(func() { g.pool.finish(g.item, actualTokens) })
}
