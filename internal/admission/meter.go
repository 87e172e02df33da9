package admission

import "time"

const (
	// interval is the time between two decisions, and the length of a bucket of the meters.
	interval = 100 * time.Millisecond
	// buckets is the number of intervals over which rates are taken, and window their time.
	buckets = 5
	window  = buckets * interval
)

// totals are the requests to a service within a window.
type totals struct {
	// demand is the cost of the requests that arrived, by class.
	demand map[Class]float64
	// started is the cost of the requests whose answer or first event came, and starts their number; waiting is the cost of the
	// admitted ones which wait for it now.
	started, starts, waiting float64
	// targets is the sum of the target latencies of the own requests that arrived, and arrivals their number.
	targets  time.Duration
	arrivals int
}

// add adds other totals.
func (t *totals) add(o *totals) {
	if t.demand == nil {
		t.demand = make(map[Class]float64)
	}
	for class, cost := range o.demand {
		t.demand[class] += cost
	}
	t.started += o.started
	t.starts += o.starts
	t.waiting += o.waiting
	t.targets += o.targets
	t.arrivals += o.arrivals
}

// totalDemand returns the cost of all requests that arrived.
func (t *totals) totalDemand() float64 {
	sum := 0.0
	for _, cost := range t.demand {
		sum += cost
	}
	return sum
}

// meter counts the requests of this instance to a service over a window.
type meter struct {
	ring [buckets]totals
	at   int
}

// current returns the present bucket.
func (m *meter) current() *totals {
	b := &m.ring[m.at]
	if b.demand == nil {
		b.demand = make(map[Class]float64)
	}
	return b
}

// advance begins a new bucket and drops the oldest.
func (m *meter) advance() {
	m.at = (m.at + 1) % buckets
	m.ring[m.at] = totals{}
}

// sum returns the totals of the window.
func (m *meter) sum() totals {
	var sum totals
	for i := range m.ring {
		sum.add(&m.ring[i])
	}
	return sum
}

// meanTarget returns the mean target latency of the requests that arrived; zero if there were none.
func (t *totals) meanTarget() time.Duration { return t.targets / time.Duration(max(1, t.arrivals)) }
