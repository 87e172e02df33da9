package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Values of the case "joined". Half of the servers break off one in breaksEach of their answers, the dose of
// garble that the kinds of the bench name: a share of 0.5 and x = 0.02.
const (
	joinedRequests  = 900
	joinedEvents    = 6
	joinedEventGap  = 5 * time.Millisecond
	breaksEach      = 50
	joinedDeadline  = 4 * time.Second
	joinedServers   = 4
	joinedFaulty    = 2
	joinedBreakFrom = 2
)

// joinedBody is the body that a server gives to a request.
func joinedBody(server, id string) string {
	text := ""
	for i := 1; i <= joinedEvents; i++ {
		text += joinedEvent(server, id, i)
	}
	return text
}

func joinedEvent(server, id string, i int) string {
	return fmt.Sprintf("id: %d\ndata: line %d of %s at %s\n\n", i, i, id, server)
}

// playJoined reads from an idempotent route whose servers answer with a text/event-stream. Some servers
// break off some answers. It returns how many clients got a success that is no server's whole body.
func playJoined(r *recorder) int {
	f := newFleet()
	defer f.end()
	run := func(isFaulty bool) func(s *server, w http.ResponseWriter, req *http.Request, _ []byte) {
		var answers atomic.Int64
		return func(s *server, w http.ResponseWriter, req *http.Request, _ []byte) {
			id := req.Header.Get("Basilrail-Attempt-Id")
			breaksOff := answers.Add(1)%breaksEach == 0 && isFaulty
			w.Header().Set("Content-Type", "text/event-stream")
			for i := 1; i <= joinedEvents; i++ {
				if breaksOff && i > joinedBreakFrom {
					r.note("server %s breaks off its answer to request %s after %d pieces", s.id, id, i-1)
					panic(http.ErrAbortHandler)
				}
				fmt.Fprint(w, joinedEvent(s.id, id, i))
				if http.NewResponseController(w).Flush() != nil {
					return
				}
				time.Sleep(joinedEventGap)
			}
			r.note("server %s answers request %s completely", s.id, id)
		}
	}
	for i := range joinedServers {
		f.startServer(fmt.Sprintf("i-app%d", i), "wuno96b", "salle-levis", nil, run(hasTrouble() && i < joinedFaulty))
	}
	f.putConfig(7, []document{plainService("wuno96b")}, route("/cufi504/", "idempotent", "wuno96b", document{"max_attempts": 2, "timeout_ms": 2000, "target_latency_ms": 300}))
	m := f.start("edge-salle-levis-1", "salle-levis")
	f.awaitReady()
	wrong := 0
	for i := range joinedRequests {
		id := requestID(i)
		a := m.send(http.MethodGet, "/cufi504/fi50/2f", id, joinedDeadline, nil, "")
		isWhole := false
		for _, s := range f.servers {
			isWhole = isWhole || a.body == joinedBody(s.id, id) && a.seal == sealOf(s.id, id)
		}
		if a.err == nil && a.status == http.StatusOK && !isWhole {
			wrong++
			r.note("request %s: %s; the complete answer is no server's body:\n%s", id, a, a.body)
			continue
		}
		r.note("request %s: %s", id, a)
	}
	return wrong
}
