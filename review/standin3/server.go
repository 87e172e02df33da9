package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	id, path, server string
	at               time.Time
	// ran is set if the server began to work on it.
	ran bool
}

// handler answers a request that reached a server process. It returns after the answer was written.
type handler func(p *process, w http.ResponseWriter, r *http.Request, body []byte)

// server is a backend server with one address. Each start of it is a process with a new id.
type server struct {
	w                      *world
	name, service, address string
	slots                  int
	handle                 handler

	mu       sync.Mutex
	starts   int
	running  *process
	arrivals []arrival
	isCut    bool
	// hasLeft is set once the entry of the running process was removed for good.
	hasLeft bool
	isOver  bool
}

// process is one start of a server.
type process struct {
	*server
	id   string
	born time.Time
	stop context.CancelFunc
	http *http.Server

	connMu sync.Mutex
	conns  map[net.Conn]bool
}

// addServer starts a server.
func (w *world) addServer(name, service string, slots int, handle handler) (*server, error) {
	s := &server{w: w, name: name, service: service, slots: slots, handle: handle}
	w.mu.Lock()
	w.servers = append(w.servers, s)
	w.mu.Unlock()
	return s, s.start()
}

// start starts a process of the server, which registers itself.
func (s *server) start() error {
	address := s.address
	if address == "" {
		address = s.w.network + ".100:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isOver {
		return l.Close()
	}
	s.starts++
	s.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{server: s, id: fmt.Sprintf("i-%s-%d", s.name, s.starts), born: time.Now(), stop: cancel, conns: make(map[net.Conn]bool)}
	p.http = &http.Server{Handler: p, ConnState: p.connState}
	s.running = p
	go func() { _ = p.http.Serve(l) }()
	go p.register(ctx)
	s.w.printf("server %s: started at %s", p.id, s.address)
	return nil
}

func (p *process) connState(c net.Conn, state http.ConnState) {
	p.connMu.Lock()
	defer p.connMu.Unlock()
	switch state {
	case http.StateNew:
		p.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, c)
	}
}

// register writes the entry of the process at each heartbeat. After three heartbeats of silence the
// store drops it, as when the process has ended or is cut off from the store.
func (p *process) register(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	missed := 0
	for sequence := 1; ; sequence++ {
		isCut, hasLeft := p.contact()
		switch {
		case hasLeft:
			return
		case p.w.store.isAway():
			// Nothing can be written, and no entry lapses.
		case ctx.Err() == nil && !isCut:
			missed = 0
			p.w.store.put("servers", "", p.id, p.entry(sequence))
		default:
			if missed++; missed == 3 {
				p.w.store.drop("servers", "", p.id)
				p.w.printf("store: the entry of server %s expired", p.id)
				if ctx.Err() != nil {
					return
				}
			}
		}
		<-ticker.C
	}
}

// entry returns the entry of the process.
func (p *process) entry(sequence int) map[string]any {
	return map[string]any{
		"service": p.service, "address": p.address, "zone": zoneName, "version": "v1", "slots": p.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": sequence, "born": p.born.UnixMilli(),
	}
}

func (s *server) cut() bool {
	isCut, _ := s.contact()
	return isCut
}

// contact returns whether the server is cut off from the store, and whether it has left.
func (s *server) contact() (isCut, hasLeft bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isCut, s.hasLeft
}

// setCut cuts the server off from the store, or ends that.
func (s *server) setCut(isCut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCut = isCut
	s.w.printf("server %s: cut off from the store: %v", s.name, isCut)
}

// end ends the process: its connections are reset.
func (p *process) end() {
	p.stop()
	p.connMu.Lock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.connMu.Unlock()
	_ = p.http.Close()
}

// crash ends the running process if it is p, and starts another one after a time.
func (p *process) crash(backAfter time.Duration) {
	s := p.server
	s.mu.Lock()
	if s.running != p {
		s.mu.Unlock()
		return
	}
	s.running = nil
	s.mu.Unlock()
	p.end()
	s.w.printf("server %s: crashed", p.id)
	time.AfterFunc(backAfter, func() {
		if err := s.start(); err != nil {
			s.w.printf("server %s: not started again: %v", s.name, err)
		}
	})
}

// stop ends the server for good.
func (s *server) stop() {
	s.mu.Lock()
	p := s.running
	s.isOver, s.running = true, nil
	s.mu.Unlock()
	if p != nil {
		p.end()
	}
}

// ServeHTTP receives a request.
func (p *process) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Basilrail-Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Basilrail-Attempt-Id", id)
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set("Basilrail-Instance-Id", p.id)
		return
	case id == "":
		w.Header().Set("Basilrail-Not-Executed", "no id")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("Basilrail-Expect-Instance") != "" && r.Header.Get("Basilrail-Expect-Instance") != p.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.handle(p, w, r, body)
}

// note records an arrival.
func (p *process) note(r *http.Request, ran bool) {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{id: r.Header.Get("Basilrail-Attempt-Id"), path: r.URL.Path, server: p.id, at: time.Now(), ran: ran})
}

// list returns the arrivals so far.
func (s *server) list() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// succeed writes a success.
func (p *process) succeed(w http.ResponseWriter) {
	w.Header().Set("Basilrail-Server-Seal", "seal."+p.id)
	w.Header().Set("Content-Type", "text/plain")
	_, _ = w.Write([]byte("done by " + p.id + "\n"))
}

// refuse turns a request away as not executed; retryAfter is in seconds, zero for none.
func refuse(w http.ResponseWriter, retryAfter int) {
	w.Header().Set("Basilrail-Not-Executed", "full")
	if retryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(retryAfter))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
