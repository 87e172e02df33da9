package mesh

import (
	"sync"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// maxQueuedFrames and maxQueuedBytes bound the queue of a slow peer.
	maxQueuedFrames = 512
	maxQueuedBytes  = 512 << 10
)

// outgoing is an encoded frame to be sent.
type outgoing struct {
	kind  peers.Kind
	frame []byte
}

// queue is the bounded send queue of one link. A frame that does not fit is
// rejected, but an empty queue accepts a frame of any size.
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

// recentBroadcasts is a set of the latest broadcasts, kept in two generations of which
// the older is discarded when the newer is full.
type recentBroadcasts struct {
	mu      sync.Mutex
	current map[broadcastID]struct{}
	old     map[broadcastID]struct{}
}

type broadcastID struct {
	origin   string
	sequence uint64
}

// generationSize is the number of broadcasts in one generation.
const generationSize = 4096

func newRecentBroadcasts() *recentBroadcasts {
	return &recentBroadcasts{current: make(map[broadcastID]struct{})}
}

// addIfNew reports whether a broadcast is new, and records it.
func (s *recentBroadcasts) addIfNew(id broadcastID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.current[id]; ok {
		return false
	}
	if _, ok := s.old[id]; ok {
		return false
	}
	if len(s.current) >= generationSize {
		s.old = s.current
		s.current = make(map[broadcastID]struct{}, generationSize)
	}
	s.current[id] = struct{}{}
	return true
}
