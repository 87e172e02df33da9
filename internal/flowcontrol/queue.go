package flowcontrol

import (
	"container/heap"
	"math"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// maxWaiting bounds the requests of one client account in one queue.
	maxWaiting = 256
	// maxFlows is the number of client accounts above which idle ones are forgotten.
	maxFlows = 1_024
	// activeTime is how long a client account counts as active after a request.
	activeTime = 10 * time.Second
	// seenTime is how long after a request a part of the window is kept for
	// the client account to come back.
	seenTime = 10 * time.Minute
	// reserveDivisor is the part of the window, as one in so many, kept for
	// client accounts that use well below their share.
	reserveDivisor = 12
	// wellBelow is the part of its share up to which a client account may use
	// the places kept.
	wellBelow = 0.75
	// windowRounding makes up for the rounding of a window that should be whole.
	windowRounding = 1e-6
	// minReserveWindow is the least window of which a part is kept.
	minReserveWindow = 8
	// holdGain is the weight of a new value in the smoothed cost and time of
	// a request.
	holdGain = 1.0 / 16
	// minRetryAfter is the least time to come back that a refusal names.
	minRetryAfter = time.Second
)

// Ticket is a request that asks to start.
type Ticket struct {
	Account settings.AccountID
	// Weight is the account's share under contention; zero means 1.
	Weight float64
	// Cost is the estimated number of tokens, input and output.
	Cost int64
	// Deadline is when the answer must be complete; zero for none.
	Deadline time.Time
	// Service is how long the request is expected to take once started.
	Service time.Duration
	// Pool names what the request needs: "model@version", or a plain service.
	Pool string
}

// startBy is the latest useful start; zero for none.
func (t *Ticket) startBy() time.Time {
	if t.Deadline.IsZero() {
		return time.Time{}
	}
	return t.Deadline.Add(-t.Service)
}

// Item is a Ticket in a Queue.
type Item struct {
	Ticket
	// Priority is what to tell the engine, once the item is started.
	Priority Priority

	flow      *flow
	startedAt time.Time
	// ready is closed when the item is started; nil outside a Controller.
	ready chan struct{}
}

// Priority is an engine priority; a lower value goes first.
type Priority int

// The priorities.
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
	// peak is the most requests in flight and waiting since the last Demand,
	// smoothed is that smoothed, and demand what peers are told.
	peak     int
	smoothed float64
	demand   float64
	// position is the index in the heap; negative while nothing waits.
	position int
}

// Queue shares a window of requests in flight among client accounts, by
// start-time fair queueing on cost: each account has a virtual time that its
// started costs advance, divided by its weight, and the account furthest
// behind goes next. A part of the window is kept for accounts that use less
// than their share, so that they need not wait for a request to end.
//
// A Queue has no clock and no lock of its own.
type Queue struct {
	window   float64
	inFlight int
	virtual  float64
	flows    map[settings.AccountID]*flow
	backlog  flowHeap

	// meanCost and meanHold are the smoothed tokens and seconds of a request.
	meanCost float64
	meanHold float64

	// activeWeight is the sum over the active accounts, and seenCount the
	// number of those seen lately, as of activeAt.
	activeWeight float64
	seenCount    int
	activeAt     time.Time
	// demandAt is the time of the last Demand.
	demandAt time.Time
}

// NewQueue makes a queue with a window of requests in flight.
func NewQueue(window float64) *Queue {
	return &Queue{window: window, flows: make(map[settings.AccountID]*flow)}
}

// SetWindow changes the window.
func (q *Queue) SetWindow(window float64) { q.window = window }

// Waiting is the number of requests that wait.
func (q *Queue) Waiting() int {
	n := 0
	for _, f := range q.backlog {
		n += len(f.waiting)
	}
	return n
}

// InFlight is the number of requests started and not finished.
func (q *Queue) InFlight() int { return q.inFlight }

// Offer queues an item, or refuses it with a *RefusedError if it would have to
// wait beyond its latest useful start or its account has too many waiting.
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

// lateBy is by how much the item would start too late.
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

// prune forgets idle accounts once there are many.
func (q *Queue) prune(now time.Time) {
	if len(q.flows) < maxFlows {
		return
	}
	for id, f := range q.flows {
		if f.inFlight == 0 && len(f.waiting) == 0 && now.Sub(f.lastActive) > activeTime {
			delete(q.flows, id)
		}
	}
}

func (q *Queue) push(f *flow, item *Item) {
	f.waiting = append(f.waiting, item)
	f.backlog += item.Cost
	f.peak = max(f.peak, f.inFlight+len(f.waiting))
	if len(f.waiting) == 1 {
		f.start = max(f.start, q.virtual)
		heap.Push(&q.backlog, f)
	}
}

// expectedWait estimates the time until the item starts, from the account's
// part of the rate at which the window serves tokens.
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
	q.virtual = max(q.virtual, f.start)
	f.start += float64(item.Cost) / f.weight
	q.reorder(f)
	f.inFlight++
	q.inFlight++
	item.startedAt = now
	item.Priority = q.priority(now, f)
	return item
}

// nextFlow returns the account that is furthest behind and has room, or nil.
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

// pop removes the waiting item at an index.
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

// hasRoomFor tells whether the account may start one more request.
func (q *Queue) hasRoomFor(now time.Time, f *flow) bool {
	free := math.Floor(q.window+windowRounding) - float64(q.inFlight)
	if free < 1 {
		return false
	}
	return free >= 1+q.reserve(now) || float64(f.inFlight)+1 <= wellBelow*q.share(now, f)
}

// reserve is the number of places kept for accounts below their share.
func (q *Queue) reserve(now time.Time) float64 {
	q.refreshActive(now)
	if q.seenCount < 2 || q.window < minReserveWindow {
		return 0
	}
	return math.Ceil(q.window / reserveDivisor)
}

// share is the account's part of the window among the active accounts.
func (q *Queue) share(now time.Time, f *flow) float64 {
	q.refreshActive(now)
	return q.window * f.weight / max(q.activeWeight, f.weight)
}

// refreshActive sums up the accounts, at most once a second.
func (q *Queue) refreshActive(now time.Time) {
	if now.Sub(q.activeAt) < time.Second {
		return
	}
	q.activeAt = now
	q.activeWeight, q.seenCount = 0, 0
	for _, f := range q.flows {
		idle := now.Sub(f.lastActive)
		if f.inFlight > 0 || idle <= activeTime {
			q.activeWeight += f.weight
		}
		if idle <= seenTime {
			q.seenCount++
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

// Finish gives a started item's place back. The account's virtual time is
// corrected by the difference between its actual and its estimated cost.
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
	q.meanCost += holdGain * (cost - q.meanCost)
	q.meanHold += holdGain * (hold - q.meanHold)
}

// Remove takes back an item that waits; false if it does not wait any more.
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
