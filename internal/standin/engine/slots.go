package engine

import (
	"context"
	"sort"
	"sync"

	"github.com/pkg/errors"
)

// errQueueFull is returned if all slots are taken and the queue is full.
var errQueueFull = errors.New("queue full")

type waiter struct {
	priority int
	tokens   int64
	ready    chan struct{}
}

// slots limits the number of concurrent requests. It queues further requests, up
// to maxQueue, by priority and then by arrival.
type slots struct {
	mu            sync.Mutex
	free          int
	maxQueue      int
	queue         []*waiter
	queuedTokens  int64
	runningTokens int64
}

// acquire waits for a slot until the context is done.
func (s *slots) acquire(ctx context.Context, priority int, tokens int64) error {
	w, err := s.acquireOrEnqueue(priority, tokens)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		return s.cancelWait(w, ctx.Err())
	}
}

// acquireOrEnqueue takes a free slot and returns a nil waiter, or adds a waiter
// to the queue.
func (s *slots) acquireOrEnqueue(priority int, tokens int64) (*waiter, error) {
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
	index := sort.Search(len(s.queue), func(i int) bool { return s.queue[i].priority < priority })
	s.queue = append(s.queue, nil)
	copy(s.queue[index+1:], s.queue[index:])
	s.queue[index] = w
	s.queuedTokens += tokens
	return w, nil
}

// cancelWait removes a waiter from the queue. If the waiter was granted a slot in
// the meantime, cancelWait releases it.
func (s *slots) cancelWait(w *waiter, cause error) error {
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

// release frees a slot, or passes it to the first waiter in the queue.
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

// load returns the number of tokens of queued and of running requests.
func (s *slots) load() (queued, running int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queuedTokens, s.runningTokens
}
