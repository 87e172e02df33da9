package mesh

import (
	"sync"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// maxQueuedFrames and maxQueuedBytes bound what waits for a slow peer.
	maxQueuedFrames = 512
	maxQueuedBytes  = 512 << 10
)

// outgoing is an encoded frame on its way.
type outgoing struct {
	kind  peers.Kind
	frame []byte
}

// queue holds the frames of one link. A frame that does not fit is refused;
// an empty queue takes any frame.
type queue struct {
	mu     sync.Mutex
	frames []outgoing
	bytes  int
	wake   chan struct{}
}

func newQueue() *queue { return &queue{wake: make(chan struct{}, 1)} }

func (q *queue) push(o outgoing) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	full := len(q.frames) >= maxQueuedFrames || q.bytes+len(o.frame) > maxQueuedBytes
	if full && len(q.frames) > 0 {
		return false
	}
	q.frames = append(q.frames, o)
	q.bytes += len(o.frame)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

func (q *queue) pop() (outgoing, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) == 0 {
		return outgoing{}, false
	}
	o := q.frames[0]
	q.frames[0] = outgoing{}
	q.frames = q.frames[1:]
	q.bytes -= len(o.frame)
	return o, true
}

// seen remembers the newest broadcasts in two generations.
type seen struct {
	mu      sync.Mutex
	current map[broadcastID]struct{}
	old     map[broadcastID]struct{}
}

type broadcastID struct {
	origin   string
	sequence uint64
}

// generation is how many broadcasts one generation holds.
const generation = 4096

func newSeen() *seen { return &seen{current: make(map[broadcastID]struct{})} }

// first reports whether a broadcast is new and remembers it.
func (s *seen) first(id broadcastID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.current[id]; ok {
		return false
	}
	if _, ok := s.old[id]; ok {
		return false
	}
	if len(s.current) >= generation {
		s.old = s.current
		s.current = make(map[broadcastID]struct{}, generation)
	}
	s.current[id] = struct{}{}
	return true
}
