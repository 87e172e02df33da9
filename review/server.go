package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a backend server: a process on an address that registers itself in the store.
type server struct {
	w       *world
	service string
	// version is that of the software; empty for v1.
	version string
	zone    string
	slots   int
	// keepsID is set if the server starts again under the id that it had.
	keepsID bool
	// downFor is how long the server is away after a crash.
	downFor time.Duration
	// crashes reports whether a request crashes the server, and reached is called with each request that
	// the server begins to run.
	crashes func(r *http.Request) bool
	reached func(s *server, id string, crashes bool)
	// fails reports whether the server answers a request with a failure.
	fails func() bool
	// losesAnswer reports whether the answer of a request that the server runs is lost.
	losesAnswer func(s *server) bool
	// eventPause is the time between two events of a stream, and events their number.
	eventPause time.Duration
	events     int

	mu       sync.Mutex
	name     string
	id       string
	address  string
	born     int64
	starts   int
	lastBeat time.Time
	isListed bool
	isUp     bool
	sequence int
	listener net.Listener
	conns    map[net.Conn]struct{}
}

func (w *world) addServer(s *server) error {
	s.w, s.conns = w, make(map[net.Conn]struct{})
	s.name = fmt.Sprintf("i-%s-%d", s.service, len(w.servers))
	if s.version == "" {
		s.version = "v1"
	}
	w.servers = append(w.servers, s)
	if err := s.start(); err != nil {
		return err
	}
	w.every(heartbeat, s.beat)
	w.every(100*time.Millisecond, s.expire)
	return nil
}

// start begins to listen and registers the server.
func (s *server) start() error {
	s.mu.Lock()
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	s.mu.Unlock()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	if s.id == "" || !s.keepsID {
		if s.id != "" {
			s.dropEntry()
		}
		s.id = fmt.Sprintf("%s-%d", s.name, s.starts)
	}
	s.address, s.listener, s.born, s.isUp, s.sequence = listener.Addr().String(), listener, time.Now().UnixMilli(), true, 0
	id := s.id
	s.mu.Unlock()
	s.w.record("server %s is up at %s", id, listener.Addr())
	s.beat()
	server := &http.Server{Handler: s, ConnState: s.track}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

// crash ends the server as a killed process ends: its connections are reset. It is back later.
func (s *server) crash() {
	s.mu.Lock()
	if !s.isUp {
		s.mu.Unlock()
		return
	}
	s.isUp = false
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(s.conns)
	id := s.id
	s.mu.Unlock()
	s.w.record("server %s crashes", id)
	time.AfterFunc(s.downFor, func() {
		select {
		case <-s.w.stopped:
		default:
			if err := s.start(); err != nil {
				s.w.record("server %s can't start: %v", id, err)
			}
		}
	})
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isUp {
		return
	}
	if !s.isListed {
		s.w.record("the entry of server %s is written", s.id)
	}
	s.sequence++
	s.lastBeat, s.isListed = time.Now(), true
	s.w.store.Put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": "ready",
		"cold_remaining_ms": 0, "born": s.born, "sequence": s.sequence,
	})
}

// expire removes the entry after three heartbeat intervals of silence.
func (s *server) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isListed && time.Since(s.lastBeat) > expiry {
		s.dropEntry()
	}
}

// dropEntry removes the entry. The caller holds the lock.
func (s *server) dropEntry() {
	if s.isListed {
		s.isListed = false
		s.w.store.Delete("servers", s.id)
		s.w.record("the entry of server %s is removed", s.id)
	}
}

func (s *server) identity() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	me, id := s.identity(), r.Header.Get("Basilrail-Attempt-Id")
	h := w.Header()
	h.Set("Basilrail-Instance-Id", me)
	if expected := r.Header.Get("Basilrail-Expect-Instance"); expected != "" && expected != me {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Basilrail-Attempt-Id", id)
	crashes := s.crashes != nil && s.crashes(r)
	if s.reached != nil {
		s.reached(s, id, crashes)
	}
	if s.losesAnswer != nil && s.losesAnswer(s) {
		s.resetAnswer(w, id)
		return
	}
	h.Set("Basilrail-Server-Seal", fmt.Sprintf("seal.%s.%s", me, id))
	if !strings.HasPrefix(r.URL.Path, streamPrefix) {
		if crashes {
			s.crash()
			return
		}
		time.Sleep(60 * time.Millisecond)
		if s.fails != nil && s.fails() {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.Path, len(body))
		return
	}
	s.stream(w, r, crashes)
}

// stream writes a short stream of events.
func (s *server) stream(w http.ResponseWriter, r *http.Request, crashes bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	if control.Flush() != nil {
		return
	}
	if crashes {
		time.Sleep(20 * time.Millisecond)
		s.crash()
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= s.events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		if control.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(s.eventPause):
		}
	}
}

// resetAnswer resets the connection in place of an answer.
func (s *server) resetAnswer(w http.ResponseWriter, id string) {
	s.w.record("the answer of server %s to request %s is lost", s.identity(), id)
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
