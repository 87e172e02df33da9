package main

import (
	"net/http"
	"time"
)

const (
	// drainBound is drain_ms.
	drainBound = 2 * time.Second
	// entryAfter is when the other writer's row comes after the server's entry was removed, and
	// exitAfter when the server exits.
	entryAfter = 2500 * time.Millisecond
	exitAfter  = 5 * time.Second
	otherPart  = "audit"
	// leftInterval is the time between two requests at an instance, and leftWork how long one takes.
	leftInterval = 100 * time.Millisecond
	leftWork     = 200 * time.Millisecond
)

// runOtherWriter lets another writer keep an earlier entry of a server in a part of its own, while the
// server leaves.
func runOtherWriter(w *world, hasTrouble bool) (isBroken bool, err error) {
	handle := func(p *process, out http.ResponseWriter, r *http.Request, _ []byte) {
		p.note(r, true)
		select {
		case <-time.After(leftWork):
			p.succeed(out)
		case <-r.Context().Done():
		}
	}
	a, err := w.addServer("a", "horaire-app", 6, handle)
	if err != nil {
		return false, err
	}
	if _, err := w.addServer("b", "horaire-app", 6, handle); err != nil {
		return false, err
	}
	w.configure(1, []string{callerKey}, route{
		name: "etat-unite", prefix: "/unit/", kind: "non_idempotent", service: "horaire-app", attempts: 3, timeout: callerWaits, target: 300 * time.Millisecond,
	})
	if err := w.startInstances(2); err != nil {
		return false, err
	}
	time.Sleep(contactTime + time.Second)
	sound := w.startCalls(soundPath, leftInterval)
	time.Sleep(2 * time.Second)
	process := a.process()
	earlier := process.entry(1)
	leftAt := process.leave()
	if hasTrouble {
		time.Sleep(time.Until(leftAt.Add(entryAfter)))
		w.store.put("servers", otherPart, process.id, earlier)
		w.printf("another writer: row servers, part %s, key %s", otherPart, process.id)
	}
	time.Sleep(time.Until(leftAt.Add(exitAfter)))
	process.exit()
	time.Sleep(2 * time.Second)
	sound.end(w)
	late := 0
	for _, x := range a.list() {
		if x.at.After(leftAt.Add(drainBound)) {
			if late++; late <= 5 {
				w.printf("%s reached server %s %.3f s after the store acknowledged that it is gone", x.id, x.server, x.at.Sub(leftAt).Seconds())
			}
		}
	}
	w.printf("%d requests reached the server later than %v after that", late, drainBound)
	return late > 0, nil
}

// process returns the running process of a server.
func (s *server) process() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// leave removes the entry of the process, which serves on, and returns when the store acknowledged that.
func (p *process) leave() time.Time {
	p.mu.Lock()
	p.hasLeft = true
	p.mu.Unlock()
	p.w.store.drop("servers", "", p.id)
	p.w.printf("server %s: its entry is removed; it serves on", p.id)
	return time.Now()
}

// exit ends a process that has left.
func (p *process) exit() {
	s := p.server
	s.mu.Lock()
	s.running = nil
	s.mu.Unlock()
	p.end()
	p.w.printf("server %s: exited", p.id)
}
