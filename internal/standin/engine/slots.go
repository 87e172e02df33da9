package engine

import (
	"context"
	"sort"
	"sync"

	"github.com/pkg/errors"
)

// errQueueFull is returned when neither a slot nor a place in the queue is free.
var errQueueFull = errors.New("queue full")

type waiter struct {
	priority int
	tokens   int64
	ready    chan struct{}
}

// slots admits a bounded number of requests at once and queues a bounded
// number more, by priority and then by arrival.
type slots struct {
	mu            sync.Mutex
	free          int
	maxQueue      int
	queue         []*waiter
	queuedTokens  int64
	runningTokens int64
}

// acquire waits for a slot; the context ends the wait.
func (s *slots) acquire(ctx context.Context, priority int, tokens int64) error {
	w, err := s.enter(priority, tokens)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return s.leave(w, ctx.Err())
	}
}

// enter takes a free slot, and returns nil, or joins the queue.
func (s *slots) enter(priority int, tokens int64) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free > 0 {
		s.free--
		s.runningTokens += tokens
		return nil, nil
	}
	if len(s.queue) >= s.maxQueue {
		return nil, errQueueFull
	}
	w := &waiter{priority: priority, tokens: tokens, ready: make(chan struct{})}
	at := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].priority < priority })
	s.queue = append(s.queue, nil)
	copy(s.queue[at+1:], s.queue[at:])
	s.queue[at] = w
	s.queuedTokens += tokens
	return w, nil
}

// leave gives up a wait; a slot granted meanwhile is passed on.
func (s *slots) leave(w *waiter, cause error) error {
	s.mu.Lock()
	for i, queued := range s.queue {
		if queued == w {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			s.queuedTokens -= w.tokens
			s.mu.Unlock()
			return cause
		}
	}
	s.mu.Unlock()
	s.release(w.tokens)
	return cause
}

// release gives a slot back, to the first of the queue if there is one.
func (s *slots) release(tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningTokens -= tokens
	if len(s.queue) == 0 {
		s.free++
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	s.queuedTokens -= next.tokens
	s.runningTokens += next.tokens
	close(next.ready)
}

func (s *slots) load() (queued, running int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queuedTokens, s.runningTokens
}
