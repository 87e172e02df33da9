package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Values of the case "encoded".
const (
	encodedRequests = 40
	encodedEach     = 50 * time.Millisecond
	encodedDeadline = 4 * time.Second
	// encodedPath is below outerPrefix, but not below innerPrefix: %2F is no separator.
	encodedPath  = "/puxa403/fi50%2F2f"
	outerPrefix  = "/puxa403/"
	innerPrefix  = "/puxa403/fi50/"
	outerService = "wuno96b"
	innerService = "huvo11a"
)

// playEncoded adds a route with a longer prefix, and sends requests whose path that prefix does not begin.
// It returns how many of them the service of the new route ran: no configuration sends them there.
func playEncoded(r *recorder) int {
	f := newFleet()
	defer f.end()
	run := func(s *server, w http.ResponseWriter, req *http.Request, _ []byte) {
		r.note("server %s of %s runs request %s with path %s", s.id, s.service, req.Header.Get("Basilrail-Attempt-Id"), req.RequestURI)
		fmt.Fprint(w, s.service)
	}
	for i := range 2 {
		f.startServer(fmt.Sprintf("i-outer%d", i), outerService, "salle-levis", nil, run)
		f.startServer(fmt.Sprintf("i-inner%d", i), innerService, "salle-levis", nil, run)
	}
	services := []document{plainService(outerService), plainService(innerService)}
	outer := route(outerPrefix, "non_idempotent", outerService, document{"max_attempts": 1, "timeout_ms": 2000, "target_latency_ms": 300})
	inner := route(innerPrefix, "non_idempotent", innerService, document{"max_attempts": 1, "timeout_ms": 2000, "target_latency_ms": 300})
	f.putConfig(7, services, outer)
	m := f.start("edge-salle-levis-1", "salle-levis")
	f.awaitReady()
	if hasTrouble() {
		f.putConfig(9, services, outer, inner)
		r.note("configuration 9, which adds the route %s to %s, is acknowledged", innerPrefix, innerService)
		time.Sleep(2 * configApply)
	}
	wrong := 0
	for i := range encodedRequests {
		id := requestID(i)
		a := m.send(http.MethodPost, encodedPath, id, encodedDeadline, nil, "{}")
		r.note("request %s with path %s: %s by %s", id, encodedPath, a, a.body)
		if a.status == http.StatusOK && a.body == innerService && !strings.HasPrefix(encodedPath, innerPrefix) {
			wrong++
		}
		time.Sleep(encodedEach)
	}
	return wrong
}
