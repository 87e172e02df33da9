// Package fifo lets callers wait for a resource that returns all at once and admits them
// in the order of their arrival, spaced in time.
package fifo

import (
	"sync"
	"time"
)

// Queue is a queue of callers. It is safe for concurrent use.
type Queue struct {
	spacing time.Duration
	mu      sync.Mutex
	places  []*Place
}

// New returns an empty queue. After a caller has left the front of the queue, the next
// one follows after the spacing.
func New(spacing time.Duration) *Queue { return &Queue{spacing: spacing} }

// Place is a caller's place in a Queue.
type Place struct {
	queue *Queue
	// front is closed when the place is at the front.
	front chan struct{}
}

// Len returns the number of callers in the queue.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.places)
}

// Join adds a caller at the end of the queue. The caller must leave.
func (q *Queue) Join() *Place {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := &Place{queue: q, front: make(chan struct{})}
	q.places = append(q.places, p)
	if len(q.places) == 1 {
		close(p.front)
	}
	return p
}

// Front is closed when the caller is at the front of the queue.
func (p *Place) Front() <-chan struct{} { return p.front }

// Ahead returns the number of callers before this one.
func (p *Place) Ahead() int {
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	return p.index()
}

// Leave removes the caller from the queue. It may be called more than once.
func (p *Place) Leave() {
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	i := p.index()
	if i == len(q.places) {
		return
	}
	q.places = append(q.places[:i:i], q.places[i+1:]...)
	if i == 0 && len(q.places) > 0 {
		next := q.places[0]
		time.AfterFunc(q.spacing, func() { close(next.front) })
	}
}

// index returns the place's position, or the length of the queue after Leave. The caller
// holds the lock.
func (p *Place) index() int {
	for i, other := range p.queue.places {
		if other == p {
			return i
		}
	}
	return len(p.queue.places)
}
