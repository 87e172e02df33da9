package mesh

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// keepaliveInterval is the time between two keepalive frames.
	keepaliveInterval = time.Second
	// receiveTimeout is the time without a received frame after which the link is
	// closed.
	receiveTimeout = 3500 * time.Millisecond
	// maxCheckDelay is the time between two checks of receiveTimeout from which on the process
	// counts as late.
	maxCheckDelay = 2 * keepaliveInterval
	// writeTimeout bounds the write of one frame.
	writeTimeout = 3 * time.Second
	// maxRequestsAtOnce bounds the concurrent requests from one peer.
	maxRequestsAtOnce = 32
)

// errLinkClosed is returned by a request whose connection closed before the reply; the
// peer may have received the request.
var errLinkClosed = errors.New("connection to peer ended")

// link is one authenticated connection.
type link struct {
	mesh *Mesh
	conn *websocket.Conn
	peer identity
	// dialed is set if this instance opened the connection.
	dialed bool
	queue  *queue
	// opened is when the link was opened, and lastReceived the time from then to the last
	// received frame, in nanoseconds. The time of day may jump.
	opened       time.Time
	lastReceived atomic.Int64
	requestSlots chan struct{}
	closed       chan struct{}
	once         sync.Once

	mu             sync.Mutex
	sequence       uint64
	pendingReplies map[uint64]chan envelope
}

func newLink(m *Mesh, conn *websocket.Conn, peer identity, dialed bool) *link {
	conn.SetReadLimit(MaxMessageBytes)
	l := &link{
		mesh: m, conn: conn, peer: peer, dialed: dialed,
		queue:          newQueue(),
		requestSlots:   make(chan struct{}, maxRequestsAtOnce),
		closed:         make(chan struct{}),
		pendingReplies: make(map[uint64]chan envelope),
		opened:         time.Now(),
	}
	return l
}

// run sends and receives frames until the link closes.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	loops.Go(func() {
		defer l.close()
		l.writeLoop(ctx)
	})
	l.readLoop(ctx)
	l.close()
	cancel()
	loops.Wait()
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.conn.CloseNow()
	})
}

func (l *link) writeLoop(ctx context.Context) {
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	checkedAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.closed:
			return
		case <-l.queue.wake:
		case <-ticker.C:
			if l.isSilent(checkedAt) {
				return
			}
			checkedAt = time.Now()
			l.queueKeepalive()
		}
		if l.writeQueued(ctx) != nil {
			return
		}
	}
}

// isSilent reports whether no frame arrived within receiveTimeout. If the last check was long ago
// this process was late, and frames may have arrived that were not read yet.
func (l *link) isSilent(checkedAt time.Time) bool {
	if time.Since(checkedAt) >= maxCheckDelay {
		l.received()
	}
	return l.sinceLastReceived() > receiveTimeout
}

// received records that a frame arrived.
func (l *link) received() { l.lastReceived.Store(int64(time.Since(l.opened))) }

func (l *link) sinceLastReceived() time.Duration {
	return time.Since(l.opened) - time.Duration(l.lastReceived.Load())
}

func (l *link) queueKeepalive() {
	if frame, err := encodeEnvelope(envelope{Type: frameKeepalive}); err == nil {
		l.queue.push(outgoing{frame: frame})
	}
}

func (l *link) writeQueued(ctx context.Context) error {
	for {
		o, ok := l.queue.pop()
		if !ok {
			return nil
		}
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := l.conn.Write(writeCtx, websocket.MessageBinary, o.frame)
		cancel()
		if err != nil {
			return err
		}
		l.mesh.counters.sent(o.kind, len(o.frame))
	}
}

// send queues a frame and reports whether it fit; a frame that does not fit is dropped
// and counted.
func (l *link) send(o outgoing) bool {
	if l.queue.push(o) {
		return true
	}
	l.mesh.counters.dropped.Add(1)
	return false
}

func (l *link) readLoop(ctx context.Context) {
	for {
		_, frame, err := l.conn.Read(ctx)
		if err != nil {
			return
		}
		l.received()
		e, err := decodeEnvelope(frame)
		if err != nil {
			l.mesh.counters.rejected.Add(1)
			continue
		}
		l.mesh.counters.received(e.Kind, len(frame))
		l.dispatch(ctx, e)
	}
}

func (l *link) dispatch(ctx context.Context, e envelope) {
	switch e.Type {
	case frameBroadcast:
		l.mesh.receiveBroadcast(l, e)
	case frameRequest:
		l.serveRequest(ctx, e)
	case frameReply:
		l.deliverReply(e)
	}
}

// serveRequest handles a request in a goroutine, so that it does not block readLoop.
func (l *link) serveRequest(ctx context.Context, e envelope) {
	select {
	case l.requestSlots <- struct{}{}:
	default:
		l.reply(e, nil, errors.New("too many requests at once"))
		return
	}
	go func() {
		defer func() { <-l.requestSlots }()
		answer, err := l.mesh.handle(ctx, peers.Message{Kind: e.Kind, From: l.peer.ID, Body: e.Body})
		l.reply(e, answer, err)
	}()
}

func (l *link) reply(request envelope, answer any, err error) {
	r := envelope{Type: frameReply, Kind: request.Kind, Sequence: request.Sequence}
	if err == nil {
		r.Body, err = cbor.Marshal(answer)
	}
	frame, tooLarge := encodeEnvelope(r)
	if err == nil {
		err = tooLarge
	}
	if err != nil {
		r.Body = nil
		r.Error = truncate(err.Error(), maxErrorBytes)
		frame, _ = encodeEnvelope(r)
	}
	l.send(outgoing{kind: r.Kind, frame: frame})
}

func truncate(s string, limit int) string { return s[:min(len(s), limit)] }

func (l *link) deliverReply(e envelope) {
	l.mu.Lock()
	pending := l.pendingReplies[e.Sequence]
	delete(l.pendingReplies, e.Sequence)
	l.mu.Unlock()
	if pending != nil {
		pending <- e
	}
}

// request sends a request and waits for its reply.
func (l *link) request(ctx context.Context, kind peers.Kind, body []byte) (envelope, error) {
	sequence, answer := l.expectReply()
	defer l.forgetReply(sequence)
	frame, err := encodeEnvelope(envelope{Type: frameRequest, Kind: kind, Sequence: sequence, Body: body})
	if err != nil {
		return envelope{}, err
	}
	if !l.send(outgoing{kind: kind, frame: frame}) {
		return envelope{}, errors.New("queue to peer is full")
	}
	select {
	case e := <-answer:
		return e, nil
	case <-l.closed:
		return envelope{}, errLinkClosed
	case <-ctx.Done():
		return envelope{}, ctx.Err()
	}
}

func (l *link) expectReply() (uint64, chan envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	answer := make(chan envelope, 1)
	l.pendingReplies[l.sequence] = answer
	return l.sequence, answer
}

func (l *link) forgetReply(sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingReplies, sequence)
}
