package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/httpanswer"
)

// maxStreams bounds the streams that an instance carries for others.
const maxStreams = 256

// probeInterval is how often a stream is probed while a write to its server is in progress.
const probeInterval = 500 * time.Millisecond

// Links are the links of the relay to the backend servers.
type Links interface {
	// DialServer connects to the server with an id. The error wraps ErrServerUnreachable if
	// other servers of its service are reached.
	DialServer(ctx context.Context, server string) (net.Conn, error)
	// ReachesPeersOf reports whether a server of the same service is reached at present.
	ReachesPeersOf(ctx context.Context, server string) bool
}

// Server carries the streams of other instances. It is safe for concurrent use.
type Server struct {
	links Links

	mu       sync.Mutex
	open     int
	stopping bool
	// acceptUntil is when the server begins to refuse streams; zero for never.
	acceptUntil time.Time
	// idle is closed when the last stream ends after Stop.
	idle chan struct{}
}

// NewServer returns a Server that connects over the links.
func NewServer(links Links) *Server {
	return &Server{links: links, idle: make(chan struct{})}
}

// Open returns the number of streams.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// AcceptUntil makes the server refuse further streams from a time on. It reads the clock, as Stop
// may come late.
func (s *Server) AcceptUntil(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptUntil = until
}

// Stop refuses further streams and waits for the end of those that are open, or of the
// context, whose error it then returns.
func (s *Server) Stop(ctx context.Context) error {
	s.mu.Lock()
	if !s.stopping && s.open == 0 {
		close(s.idle)
	}
	s.stopping = true
	s.mu.Unlock()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Reasons why a relay takes no stream.
var (
	errStopping       = errors.New("the relay is stopping")
	errTooManyStreams = errors.Errorf("the relay carries %d streams", maxStreams)
)

func (s *Server) acquire() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopping, !s.acceptUntil.IsZero() && !time.Now().Before(s.acceptUntil):
		return errStopping
	case s.open >= maxStreams:
		return errTooManyStreams
	}
	s.open++
	return nil
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if s.stopping && s.open == 0 {
		close(s.idle)
	}
}

// Serve carries one stream to a server. It returns when the stream has ended.
func (s *Server) Serve(ctx context.Context, server string, ws *websocket.Conn) {
	if err := s.acquire(); err != nil {
		_ = refuse(ctx, ws, err)
		return
	}
	defer s.release()
	target, err := s.links.DialServer(ctx, server)
	if err != nil {
		_ = refuse(ctx, ws, err)
		return
	}
	defer target.Close()
	ws.SetReadLimit(2 * chunkBytes)
	if answer(ctx, ws, opened{Outcome: outcomeOpen}) != nil {
		return
	}
	checked := httpanswer.NewConn(target)
	peer, peerLeft := context.WithCancel(ctx)
	var work sync.WaitGroup
	work.Go(func() {
		// The end of the near end also ends the work of the server.
		defer checked.Close()
		defer peerLeft()
		forward(ctx, checked, ws)
	})
	work.Go(func() {
		if err := probe(peer, checked, ws); err != nil {
			peerLeft()
			_ = checked.Close()
		}
	})
	status, isOver := s.backward(ctx, server, ws, checked, peer.Done())
	_ = checked.Close()
	if isOver {
		// The peer may be gone already.
		_ = ws.Close(status, "")
	}
	_ = ws.CloseNow()
	work.Wait()
}

// refuse reports why a stream is not opened.
func refuse(ctx context.Context, ws *websocket.Conn, reason error) error {
	m := opened{Outcome: outcomeUnavailable, Reason: reason.Error()}
	if errors.Is(reason, ErrServerUnreachable) {
		m.Outcome = outcomeServerUnreachable
	}
	return answer(ctx, ws, m)
}

// answer reports the result of opening a stream. If that fails, the stream has ended.
func answer(ctx context.Context, ws *websocket.Conn, m opened) error {
	body, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	return ws.Write(ctx, websocket.MessageBinary, body)
}

// forward copies the bytes of the peer to the server until the peer ends the stream. An empty
// message marks the start of the request, the next one its end; peers of earlier releases send none.
func forward(ctx context.Context, target *httpanswer.Conn, ws *websocket.Conn) {
	request := requestWriter{target: target}
	hasBegun := false
	for {
		_, message, err := ws.Reader(ctx)
		if err != nil {
			return
		}
		n, err := io.Copy(&request, message)
		switch {
		case err != nil:
			return
		case n > 0:
		case hasBegun:
			target.EndRequest(nil)
		default:
			hasBegun = true
			target.BeginRequest()
		}
	}
}

// probe returns an error if the peer has closed the stream while a write to the server is in
// progress. Meanwhile forward reads nothing from the peer, and a server that does not read its
// request would keep the stream open. Peers ignore empty messages; one to a peer that has closed
// the stream fails, or makes the next one fail. It returns nil at the end of the stream.
func probe(ctx context.Context, target *httpanswer.Conn, ws *websocket.Conn) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !target.IsWriting() {
			continue
		}
		if err := ws.Write(ctx, websocket.MessageBinary, nil); err != nil {
			return err
		}
	}
}

// requestWriter writes a request to a server, and drops what follows a failed write: the server may
// have answered before it has read the request to its end. The connection notes the failure.
type requestWriter struct {
	target *httpanswer.Conn
	failed bool
}

// Write implements io.Writer. It never fails.
func (w *requestWriter) Write(p []byte) (int, error) {
	if !w.failed {
		_, err := w.target.Write(p)
		w.failed = err != nil
	}
	return len(p), nil
}

// backward copies the bytes of the server to the peer until either ends. It returns how to close
// the stream; isOver is false if the peer has ended it.
func (s *Server) backward(ctx context.Context, server string, ws *websocket.Conn, target net.Conn, gone <-chan struct{}) (status websocket.StatusCode, isOver bool) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := target.Read(buffer)
		if n > 0 && ws.Write(ctx, websocket.MessageBinary, buffer[:n]) != nil {
			return statusRelayLost, false
		}
		if err == nil {
			continue
		}
		select {
		case <-gone:
			return statusRelayLost, false
		default:
		}
		switch {
		case err == io.EOF:
			return websocket.StatusNormalClosure, true
		case s.links.ReachesPeersOf(ctx, server):
			return statusServerLost, true
		}
		return statusRelayLost, true
	}
}
