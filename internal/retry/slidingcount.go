package retry

import "time"

// slidingSteps is the number of steps into which the window of a slidingCount is divided.
const slidingSteps = 20

// slidingCount counts events in a window that ends now. Events count until they are
// between the window less one step and the window old.
type slidingCount struct {
	step   time.Duration
	counts [slidingSteps]float64
	sum    float64
	// newest is the index of the step that began at newestAt.
	newest   int
	newestAt time.Time
}

func newSlidingCount(window time.Duration) *slidingCount {
	return &slidingCount{step: window / slidingSteps}
}

// add counts one event.
func (c *slidingCount) add(now time.Time) {
	c.advance(now)
	c.counts[c.newest]++
	c.sum++
}

// total returns the number of events in the window.
func (c *slidingCount) total(now time.Time) float64 {
	c.advance(now)
	return c.sum
}

// advance drops the steps that have left the window.
func (c *slidingCount) advance(now time.Time) {
	if passed := now.Sub(c.newestAt); passed >= slidingSteps*c.step {
		*c = slidingCount{step: c.step, newestAt: now}
		return
	}
	for now.Sub(c.newestAt) >= c.step {
		c.newest = (c.newest + 1) % slidingSteps
		c.newestAt = c.newestAt.Add(c.step)
		c.sum -= c.counts[c.newest]
		c.counts[c.newest] = 0
	}
}
