package flowcontrol

import (
	"container/heap"
	"math"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// maxWaiting is the maximum number of waiting requests per client account and
	// queue.
	maxWaiting = 256
	// maxFlows is the number of client accounts at which idle ones begin to be removed.
	maxFlows = 1_024
	// activePeriod is how long a client account counts as active after a request.
	activePeriod = 10 * time.Second
	// recentPeriod is how long after a request a part of the window is reserved in
	// case the client account sends another.
	recentPeriod = 10 * time.Minute
	// reserveDivisor divides the window to give the number of slots reserved for
	// client accounts that use well below their share.
	reserveDivisor = 12
	// reserveShareFactor is the fraction of its share up to which a client account
	// may use the reserved slots.
	reserveShareFactor = 0.75
	// windowEpsilon compensates for rounding errors in a window that should be a
	// whole number.
	windowEpsilon = 1e-6
	// minReserveWindow is the minimum window from which slots are reserved.
	minReserveWindow = 8
	// ewmaWeight is the weight of a new value in the smoothed cost and holding time
	// of a request.
	ewmaWeight = 1.0 / 16
	// minRetryAfter is the minimum RetryAfter of a refusal.
	minRetryAfter = time.Second
)

// Ticket describes a request to be admitted.
type Ticket struct {
	Account settings.AccountID
	// Weight is the account's relative share under contention; zero means 1.
	Weight float64
	// Cost is the estimated number of tokens, input and output.
	Cost int64
	// Deadline is the time by which the response must be complete; zero for none.
	Deadline time.Time
	// ServiceTime is how long the request is expected to take once started; zero
	// if unknown.
	ServiceTime time.Duration
	// Pool is the pool that the request needs: "model@version", or the name of a
	// plain service.
	Pool string
}

// startBy returns the latest useful start; zero for none.
func (t *Ticket) startBy() time.Time {
	if t.Deadline.IsZero() {
		return time.Time{}
	}
	return t.Deadline.Add(-t.ServiceTime)
}

// Item is a Ticket in a Queue.
type Item struct {
	Ticket
	// Priority is the priority to send to the engine; set when the item is started.
	Priority Priority

	flow      *flow
	startedAt time.Time
	// ready is closed when the item is started; nil outside a Controller.
	ready chan struct{}
}

// Priority is an engine priority; lower values are served first.
type Priority int

// Priorities of started requests.
const (
	// PriorityHigh is for client accounts that use less than half their share.
	PriorityHigh Priority = iota
	// PriorityNormal is for those that use about their share.
	PriorityNormal
	// PriorityLow is for those that use more than their share.
	PriorityLow
)

// flow is one client account in a queue.
type flow struct {
	account settings.AccountID
	weight  float64
	// start is the virtual start time of the first waiting item, and the
	// virtual finish time of the last started one while none waits.
	start      float64
	waiting    []*Item
	backlog    int64
	inFlight   int
	lastActive time.Time
	// peak is the maximum number of requests in flight and waiting since the last
	// Demand, smoothed is its smoothed value, and demand is the value reported to
	// peers.
	peak     int
	smoothed float64
	demand   float64
	// position is the index in the heap; negative while no item waits.
	position int
}

// Queue shares a window of requests in flight among client accounts by start-time
// fair queueing on cost: each account has a virtual time, which each started
// request advances by its cost divided by the account's weight, and the account with
// the lowest virtual time is served next. A part of the window is reserved for
// accounts that use less than their share, so that they need not wait for a request to
// end.
//
// A Queue has no clock of its own and is not safe for concurrent use.
type Queue struct {
	window      float64
	inFlight    int
	virtualTime float64
	flows       map[settings.AccountID]*flow
	backlog     flowHeap

	// meanCost is the smoothed number of tokens per request, and meanHold the
	// smoothed time in seconds for which a request occupies its slot.
	meanCost float64
	meanHold float64

	// activeWeight is the sum of the weights of the active accounts, and
	// recentCount the number of accounts with a request in the last recentPeriod,
	// both as of activeAt.
	activeWeight float64
	recentCount  int
	activeAt     time.Time
	// demandAt is the time of the last Demand.
	demandAt time.Time
}

// NewQueue returns a queue that allows window requests in flight.
func NewQueue(window float64) *Queue {
	return &Queue{window: window, flows: make(map[settings.AccountID]*flow)}
}

// SetWindow sets the number of requests allowed in flight.
func (q *Queue) SetWindow(window float64) { q.window = window }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	n := 0
	for _, f := range q.backlog {
		n += len(f.waiting)
	}
	return n
}

// InFlight returns the number of requests started and not finished.
func (q *Queue) InFlight() int { return q.inFlight }

// Offer queues an item. It returns a *RefusedError if the item would probably have
// to wait beyond its latest useful start or if its account has too many waiting.
func (q *Queue) Offer(now time.Time, item *Item) error {
	f := q.flow(now, &item.Ticket)
	item.flow = f
	wait := q.expectedWait(now, f, item)
	if len(f.waiting) >= maxWaiting {
		return &RefusedError{Reason: QueueFull, RetryAfter: max(minRetryAfter, wait)}
	}
	if late := lateBy(now, item, wait); late > 0 {
		return &RefusedError{Reason: DeadlineUnreachable, RetryAfter: max(minRetryAfter, late)}
	}
	q.push(f, item)
	return nil
}

// lateBy returns the time by which the item would miss its latest useful start; not
// positive if it would start in time.
func lateBy(now time.Time, item *Item, wait time.Duration) time.Duration {
	by := item.startBy()
	if by.IsZero() {
		return 0
	}
	return now.Add(wait).Sub(by)
}

func (q *Queue) flow(now time.Time, t *Ticket) *flow {
	f, ok := q.flows[t.Account]
	if !ok {
		q.prune(now)
		f = &flow{account: t.Account, position: -1}
		q.flows[t.Account] = f
		q.activeAt = time.Time{}
	}
	f.weight = t.Weight
	if f.weight <= 0 {
		f.weight = 1
	}
	f.lastActive = now
	return f
}

// prune removes idle accounts if there are at least maxFlows accounts.
func (q *Queue) prune(now time.Time) {
	if len(q.flows) < maxFlows {
		return
	}
	for id, f := range q.flows {
		if f.inFlight == 0 && len(f.waiting) == 0 && now.Sub(f.lastActive) > activePeriod {
			delete(q.flows, id)
		}
	}
}

func (q *Queue) push(f *flow, item *Item) {
	f.waiting = append(f.waiting, item)
	f.backlog += item.Cost
	f.peak = max(f.peak, f.inFlight+len(f.waiting))
	if len(f.waiting) == 1 {
		f.start = max(f.start, q.virtualTime)
		heap.Push(&q.backlog, f)
	}
}

// expectedWait estimates the time until the item starts, from the account's share
// of the rate at which the window serves tokens.
func (q *Queue) expectedWait(now time.Time, f *flow, item *Item) time.Duration {
	if q.window <= 0 {
		return minRetryAfter
	}
	if q.meanHold == 0 || (len(q.backlog) == 0 && q.hasRoomFor(now, f)) {
		return 0
	}
	weights := 0.0
	for _, other := range q.backlog {
		weights += other.weight
	}
	if len(f.waiting) == 0 {
		weights += f.weight
	}
	rate := q.window * q.meanCost / q.meanHold * f.weight / weights
	seconds := q.meanHold/q.window + float64(f.backlog)/rate
	return time.Duration(seconds * float64(time.Second))
}

// Next starts the next item, or returns nil if none may start now.
func (q *Queue) Next(now time.Time) *Item {
	f := q.nextFlow(now)
	if f == nil {
		return nil
	}
	item := f.waiting[0]
	q.pop(f, 0)
	q.virtualTime = max(q.virtualTime, f.start)
	f.start += float64(item.Cost) / f.weight
	q.reorder(f)
	f.inFlight++
	q.inFlight++
	item.startedAt = now
	item.Priority = q.priority(now, f)
	return item
}

// nextFlow returns the account that is furthest behind among those that may start a
// request, or nil.
func (q *Queue) nextFlow(now time.Time) *flow {
	var next *flow
	for _, f := range q.backlog {
		isBehind := next == nil || f.start < next.start
		if isBehind && q.hasRoomFor(now, f) {
			next = f
		}
		if next != nil && next == q.backlog[0] {
			return next
		}
	}
	return next
}

// pop removes the waiting item at index at.
func (q *Queue) pop(f *flow, at int) {
	f.backlog -= f.waiting[at].Cost
	copy(f.waiting[at:], f.waiting[at+1:])
	f.waiting[len(f.waiting)-1] = nil
	f.waiting = f.waiting[:len(f.waiting)-1]
}

// reorder restores the heap after a flow changed.
func (q *Queue) reorder(f *flow) {
	switch {
	case f.position < 0:
	case len(f.waiting) == 0:
		heap.Remove(&q.backlog, f.position)
	default:
		heap.Fix(&q.backlog, f.position)
	}
}

// hasRoomFor reports whether the account may start one more request.
func (q *Queue) hasRoomFor(now time.Time, f *flow) bool {
	free := math.Floor(q.window+windowEpsilon) - float64(q.inFlight)
	if free < 1 {
		return false
	}
	return free >= 1+q.reserve(now) || float64(f.inFlight)+1 <= reserveShareFactor*q.share(now, f)
}

// reserve returns the number of slots reserved for accounts below their share.
func (q *Queue) reserve(now time.Time) float64 {
	q.refreshActive(now)
	if q.recentCount < 2 || q.window < minReserveWindow {
		return 0
	}
	return math.Ceil(q.window / reserveDivisor)
}

// share returns the account's share of the window among the active accounts, in
// requests.
func (q *Queue) share(now time.Time, f *flow) float64 {
	q.refreshActive(now)
	return q.window * f.weight / max(q.activeWeight, f.weight)
}

// refreshActive updates activeWeight and recentCount, at most once a second.
func (q *Queue) refreshActive(now time.Time) {
	if now.Sub(q.activeAt) < time.Second {
		return
	}
	q.activeAt = now
	q.activeWeight, q.recentCount = 0, 0
	for _, f := range q.flows {
		idle := now.Sub(f.lastActive)
		if f.inFlight > 0 || idle <= activePeriod {
			q.activeWeight += f.weight
		}
		if idle <= recentPeriod {
			q.recentCount++
		}
	}
}

func (q *Queue) priority(now time.Time, f *flow) Priority {
	used, share := float64(f.inFlight), q.share(now, f)
	switch {
	case used <= max(1, share/2):
		return PriorityHigh
	case used <= share:
		return PriorityNormal
	}
	return PriorityLow
}

// Finish frees the slot of a started item. It corrects the account's virtual time by
// the difference between the actual and the estimated cost.
func (q *Queue) Finish(now time.Time, item *Item, actual int64) {
	f := item.flow
	f.inFlight--
	q.inFlight--
	f.start = max(0, f.start+float64(actual-item.Cost)/f.weight)
	q.reorder(f)
	q.smooth(float64(actual), now.Sub(item.startedAt).Seconds())
}

func (q *Queue) smooth(cost, hold float64) {
	if q.meanHold == 0 {
		q.meanCost, q.meanHold = cost, hold
		return
	}
	q.meanCost += ewmaWeight * (cost - q.meanCost)
	q.meanHold += ewmaWeight * (hold - q.meanHold)
}

// Remove removes a waiting item. It returns false if the item is no longer waiting.
func (q *Queue) Remove(item *Item) bool {
	for i, waiting := range item.flow.waiting {
		if waiting == item {
			q.pop(item.flow, i)
			q.reorder(item.flow)
			return true
		}
	}
	return false
}
