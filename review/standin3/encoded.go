package main

import (
	"net/http"
	"time"
)

const (
	// encodedPath begins with the prefix /unit/, and not with /unit/bay/.
	encodedPath     = "/unit/bay%2F3"
	encodedTime     = 8 * time.Second
	encodedInterval = 50 * time.Millisecond
)

// runEncodedPath adds a route with a longer prefix, while callers send requests whose path holds an
// encoded slash.
func runEncodedPath(w *world, hasTrouble bool) (isBroken bool, err error) {
	handle := func(p *process, out http.ResponseWriter, r *http.Request, _ []byte) {
		p.noteTarget(r)
		time.Sleep(15 * time.Millisecond)
		p.succeed(out)
	}
	if _, err := w.addServer("desk", "shopdesk", 12, handle); err != nil {
		return false, err
	}
	other, err := w.addServer("bay", "bays", 12, handle)
	if err != nil {
		return false, err
	}
	unit := route{name: "unit", prefix: "/unit/", kind: "non_idempotent", service: "shopdesk", attempts: 3, timeout: 1500 * time.Millisecond, target: 100 * time.Millisecond}
	bay, old := unit, unit
	bay.name, bay.prefix, bay.service = "bay", "/unit/bay/", "bays"
	old.name, old.prefix, old.service = "old", "/old/", "bays"
	w.configure(1, []string{callerKey}, unit, old)
	if err := w.startInstances(2); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	statuses := make(map[string]int)
	began, isChanged := time.Now(), false
	for n := 0; time.Since(began) < encodedTime; n++ {
		if hasTrouble && !isChanged && time.Since(began) > 2*time.Second {
			w.configure(2, []string{callerKey}, unit, old, bay)
			isChanged = true
		}
		a := call(w.instances[n%len(w.instances)], callerKey, http.MethodPost, encodedPath, "unit 17", 1500*time.Millisecond)
		statuses[a.text()]++
		time.Sleep(encodedInterval)
	}
	w.printf("answers to %s: %v", encodedPath, statuses)
	wrong := 0
	for _, a := range other.list() {
		if a.path == encodedPath {
			if wrong++; wrong <= 3 {
				w.printf("%s ran %s at server %s of the service bays", a.id, a.path, a.server)
			}
		}
	}
	w.printf("%d requests ran at a service to which no configuration sends their path", wrong)
	return wrong > 0, nil
}

// noteTarget records an arrival with the path as it was sent.
func (p *process) noteTarget(r *http.Request) {
	s := p.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{id: r.Header.Get("Basilrail-Attempt-Id"), path: r.RequestURI, server: p.id, at: time.Now(), ran: true})
}
