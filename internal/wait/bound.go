package wait

import (
	"context"
	"sync"
	"time"
)

// boundSteps is the number of steps in which Bound counts its time.
const boundSteps = 8

// Bound returns a context that ends after d in which this process ran, with
// context.DeadlineExceeded as its cause. It is for waits whose end is taken for the fault of
// another process: each time that this one does not run, for lack of processor time or
// because it was stopped, counts as d/8 at most. The returned function releases the context.
func Bound(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	step := d / boundSteps
	var mu sync.Mutex
	left := boundSteps
	var timer *time.Timer
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(step, func() {
		mu.Lock()
		defer mu.Unlock()
		left--
		switch {
		case ctx.Err() != nil:
		case left == 0:
			cancel(context.DeadlineExceeded)
		default:
			timer.Reset(step)
		}
	})
	return ctx, func() {
		cancel(context.Canceled)
		timer.Stop()
	}
}
