package mesh

import (
	"expvar"
	"sync/atomic"

	"github.com/basilrail/basilrail/internal/peers"
)

// maxKinds bounds the kinds that are counted separately. Index 0 counts keepalives and
// all kinds from maxKinds up.
const maxKinds = 40

// Traffic counts the frames and bytes of one kind, frame headers included.
type Traffic struct {
	SentFrames     int64 `json:"sent_frames"`
	SentBytes      int64 `json:"sent_bytes"`
	ReceivedFrames int64 `json:"received_frames"`
	ReceivedBytes  int64 `json:"received_bytes"`
}

// Stats is a snapshot of the mesh's counters since its start.
type Stats struct {
	// Links is the number of links to neighbours. TransientLinks is the number of
	// links to other peers that this instance dialed for requests.
	Links          int `json:"links"`
	TransientLinks int `json:"spares"`
	// Dropped counts frames and broadcasts that did not fit into a queue.
	Dropped int64 `json:"dropped"`
	// Repeated counts broadcasts that had already arrived by another path.
	Repeated int64 `json:"repeated"`
	// Rejected counts frames and connections that were malformed, of another
	// protocol version or not authenticated.
	Rejected int64 `json:"rejected"`
	// Kinds is indexed by message kind; index 0 is keepalives.
	Kinds [maxKinds]Traffic `json:"kinds"`
}

// Bytes returns the bytes sent and received, summed over all kinds.
func (s Stats) Bytes() (sent, received int64) {
	for _, traffic := range s.Kinds {
		sent += traffic.SentBytes
		received += traffic.ReceivedBytes
	}
	return sent, received
}

type counters struct {
	dropped, repeated, rejected atomic.Int64
	kinds                       [maxKinds]struct {
		sentFrames, sentBytes, receivedFrames, receivedBytes atomic.Int64
	}
}

func kindIndex(kind peers.Kind) int {
	if int(kind) >= maxKinds {
		return 0
	}
	return int(kind)
}

func (c *counters) sent(kind peers.Kind, bytes int) {
	c.kinds[kindIndex(kind)].sentFrames.Add(1)
	c.kinds[kindIndex(kind)].sentBytes.Add(int64(bytes + headerBytes(bytes)))
}

func (c *counters) received(kind peers.Kind, bytes int) {
	c.kinds[kindIndex(kind)].receivedFrames.Add(1)
	c.kinds[kindIndex(kind)].receivedBytes.Add(int64(bytes + headerBytes(bytes)))
}

// headerBytes returns the mean size of a WebSocket frame header. Frames from the
// dialer have a mask of four bytes, so half of all frames are assumed to have one.
func headerBytes(payload int) int {
	const averageMask = 2
	switch {
	case payload < 126:
		return 2 + averageMask
	case payload < 1<<16:
		return 4 + averageMask
	default:
		return 10 + averageMask
	}
}

// Stats returns a snapshot of the counters.
func (m *Mesh) Stats() Stats {
	s := Stats{
		Dropped:  m.counters.dropped.Load(),
		Repeated: m.counters.repeated.Load(),
		Rejected: m.counters.rejected.Load(),
	}
	for i := range m.counters.kinds {
		k := &m.counters.kinds[i]
		s.Kinds[i] = Traffic{k.sentFrames.Load(), k.sentBytes.Load(), k.receivedFrames.Load(), k.receivedBytes.Load()}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Links = len(m.links)
	s.TransientLinks = len(m.transient)
	return s
}

// Var returns the counters as an expvar variable that the caller may publish.
func (m *Mesh) Var() expvar.Var { return expvar.Func(func() any { return m.Stats() }) }
