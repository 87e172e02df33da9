package measure

import (
	"time"

	"github.com/basilrail/basilrail/internal/flowcontrol"
)

// admittedRequest is a request that may be sent to a server.
type admittedRequest struct {
	arrival  *arrival
	priority flowcontrol.Priority
	item     *flowcontrol.Item
}

// admitter queues the requests of an instance and decides when they start.
type admitter interface {
	offer(now time.Time, a *arrival) bool
	next(now time.Time) (admittedRequest, bool)
	finish(now time.Time, s admittedRequest)
	demand(now time.Time) flowcontrol.Demand
	setWindow(window float64)
}

func newAdmitter(fair bool, window float64) admitter {
	if fair {
		return &fairAdmitter{queue: flowcontrol.NewQueue(window), items: make(map[*flowcontrol.Item]*arrival)}
	}
	return &fifoAdmitter{window: int(window)}
}

// fairAdmitter uses the router's own queue.
type fairAdmitter struct {
	queue *flowcontrol.Queue
	items map[*flowcontrol.Item]*arrival
}

func (f *fairAdmitter) offer(now time.Time, a *arrival) bool {
	item := &flowcontrol.Item{Ticket: flowcontrol.Ticket{Account: a.account, Cost: a.tokens(), Pool: poolName}}
	if f.queue.Offer(now, item) != nil {
		return false
	}
	f.items[item] = a
	return true
}

func (f *fairAdmitter) next(now time.Time) (admittedRequest, bool) {
	item := f.queue.Next(now)
	if item == nil {
		return admittedRequest{}, false
	}
	a := f.items[item]
	delete(f.items, item)
	return admittedRequest{arrival: a, priority: item.Priority, item: item}, true
}

func (f *fairAdmitter) finish(now time.Time, s admittedRequest) {
	f.queue.Finish(now, s.item, s.arrival.tokens())
}

func (f *fairAdmitter) demand(now time.Time) flowcontrol.Demand {
	return flowcontrol.Demand{Pools: []flowcontrol.PoolDemand{{Pool: poolName, Accounts: f.queue.Demand(now)}}}
}

func (f *fairAdmitter) setWindow(window float64) { f.queue.SetWindow(window) }

// maxFIFO is the maximum length of an instance's FIFO queue.
const maxFIFO = 256

// fifoAdmitter is the baseline: a FIFO queue with an equal share of the pool as
// its window.
type fifoAdmitter struct {
	window   int
	inFlight int
	waiting  []*arrival
}

func (f *fifoAdmitter) offer(_ time.Time, a *arrival) bool {
	if len(f.waiting) >= maxFIFO {
		return false
	}
	f.waiting = append(f.waiting, a)
	return true
}

func (f *fifoAdmitter) next(time.Time) (admittedRequest, bool) {
	if len(f.waiting) == 0 || f.inFlight >= f.window {
		return admittedRequest{}, false
	}
	a := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.inFlight++
	return admittedRequest{arrival: a}, true
}

func (f *fifoAdmitter) finish(time.Time, admittedRequest) { f.inFlight-- }

func (f *fifoAdmitter) demand(time.Time) flowcontrol.Demand { return flowcontrol.Demand{} }

func (f *fifoAdmitter) setWindow(float64) {}
