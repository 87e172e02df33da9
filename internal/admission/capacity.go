package admission

import "time"

const (
	// shortFraction is the fraction of the target latency that the requests take on average to their answer or first event from
	// which a service is short of capacity, if that lasts for shortIntervals: arrivals come in clumps, which the servers' queues
	// bear. Above lateFraction it is short at once. waitFraction is aimed at: the times of single requests vary.
	shortFraction  = 0.6
	shortIntervals = 3
	lateFraction   = 1.0
	waitFraction   = 0.4
	// minStarts is the number of requests that started in a window from which waits are judged: one slow request among a few says
	// nothing about the capacity.
	minStarts = 20
	// minUtilization is the fraction of the slots in use below which waits are put down to faulty servers: refusals would not
	// help.
	minUtilization = 0.9
	// freeUtilization is the fraction of the slots in use below which nothing is refused.
	freeUtilization = 0.5
	// adjustTime is the time in which the number of waiting requests is brought to what is aimed at.
	adjustTime = 150 * time.Millisecond
	// throughputGain is the weight of the last intervals in the throughput of a service whose requests wait.
	throughputGain = 0.4
	// minCapacityFraction bounds the capacity from below, as a fraction of the throughput: while a long queue gets shorter some
	// requests of each class go on.
	minCapacityFraction = 0.25
	// minThroughputFraction bounds the throughput from below, as a fraction of the highest one since the service became short: after servers
	// hung it grows back by raiseFactor within three seconds.
	minThroughputFraction = 0.1
	// raiseFactor is the growth of the throughput in each interval in which fewer requests wait than could.
	raiseFactor = 1.1
	// endFactor is how many times the demand the capacity must be until the service counts as no longer short.
	endFactor = 1.2
	// defaultTarget is the target latency of requests without one.
	defaultTarget = time.Second
)

// load is the load on a service by the instances of the failure domain.
type load struct {
	// utilization is the fraction of the slots of the failure domain's servers in use; 1 if it has none.
	utilization float64
	// target is the mean target latency of the requests that arrived here.
	target time.Duration
}

// control decides how much of the demand on a service is admitted, so that its requests wait for a slot no longer than their
// target latency allows.
type control struct {
	// throughput is the cost per second that the servers start while all their slots are in use; zero while the service
	// is not short.
	throughput float64
	// highest is the highest throughput since the service became short.
	highest float64
	// capacity is the cost per second that is admitted.
	capacity float64
	// waited is the number of successive intervals in which the requests waited too long.
	waited int
}

// isShort reports whether the service is short of capacity.
func (c *control) isShort() bool { return c.throughput > 0 }

// update adjusts the capacity to the totals of the last intervals and the present load.
func (c *control) update(t *totals, l load) {
	started, demand := t.started/window.Seconds(), t.totalDemand()/window.Seconds()
	if demand == 0 || l.utilization < freeUtilization {
		*c = control{}
		return
	}
	target := l.target
	if target <= 0 {
		target = defaultTarget
	}
	// By Little's law the waiting requests are the throughput times the mean wait.
	waits := func(fraction, throughput float64) float64 { return throughput * fraction * target.Seconds() }
	if !c.isShort() {
		c.countWait(t.starts >= minStarts && l.utilization >= minUtilization && t.waiting > waits(shortFraction, started))
		if c.waited < shortIntervals && (c.waited == 0 || t.waiting <= waits(lateFraction, started)) {
			return
		}
	}
	switch {
	case !c.isShort():
		c.throughput = started
	case t.waiting >= waits(waitFraction, c.throughput):
		c.throughput += throughputGain * (started - c.throughput)
	default:
		c.throughput = min(c.throughput*raiseFactor, max(c.throughput, endFactor*demand))
	}
	c.highest = max(c.highest, c.throughput)
	c.throughput = max(c.throughput, minThroughputFraction*c.highest)
	c.capacity = c.throughput + (waits(waitFraction, c.throughput)-t.waiting)/adjustTime.Seconds()
	c.capacity = max(c.capacity, minCapacityFraction*c.throughput)
	if c.throughput > 0 && t.waiting < waits(waitFraction, c.throughput) && c.capacity >= endFactor*demand {
		*c = control{}
	}
}

// countWait counts an interval in which the requests waited too long, or ends the count.
func (c *control) countWait(isTooLong bool) {
	if isTooLong {
		c.waited++
	} else {
		c.waited = 0
	}
}
