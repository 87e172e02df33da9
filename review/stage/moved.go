package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// Values of the case "moved".
const (
	// bothStores is how long the store serves at both addresses, and afterMove how long after that the
	// operator changes the configuration. Both are above contact_ms, 3 s.
	bothStores = 10 * time.Second
	afterMove  = 5 * time.Second
	// movedTime is how long requests are sent after the change, one in movedEach.
	movedTime     = 15 * time.Second
	movedEach     = 200 * time.Millisecond
	movedDeadline = 4 * time.Second
	movedPath     = "/cufi504/"
	formerService = "wuno96b"
	laterService  = "huvo11a"
)

// playMoved moves the platform's store to another address: the settings files change, one instance gets
// SIGHUP, the others no signal, and the store goes on at both addresses for some time. The operator then
// moves a route to another service. It returns how many requests that were sent later than
// config_apply_ms after the acknowledgement were run by the former service.
func playMoved(r *recorder) int {
	f := newFleet()
	defer f.end()
	run := func(s *server, w http.ResponseWriter, req *http.Request, _ []byte) {
		r.note("server %s of %s runs request %s", s.id, s.service, req.Header.Get("Basilrail-Attempt-Id"))
		fmt.Fprint(w, s.service)
	}
	services := []document{plainService(formerService), plainService(laterService)}
	for i := range 2 {
		f.startServer(fmt.Sprintf("i-former%d", i), formerService, "salle-levis", nil, run)
		f.startServer(fmt.Sprintf("i-later%d", i), laterService, "salle-levis", nil, run)
	}
	f.putConfig(7, services, route(movedPath, "idempotent", formerService, document{"anonymous": true}))
	for i := range 3 {
		f.start(fmt.Sprintf("edge-salle-levis-%d", i+1), "salle-levis")
	}
	f.awaitReady()
	if hasTrouble() {
		later, end := f.store.serve(f.ip())
		defer end()
		f.moveStore(r, later)
	}
	time.Sleep(afterMove)
	acknowledged := f.putConfig(9, services, route(movedPath, "idempotent", laterService, document{"anonymous": true}))
	r.note("configuration 9, which moves the route to %s, is acknowledged", laterService)
	stale := 0
	for i := 0; time.Since(acknowledged) < movedTime; i++ {
		m := f.members[i%len(f.members)]
		id, sent := requestID(i), time.Since(acknowledged)
		a := m.send(http.MethodGet, movedPath+"2f", id, movedDeadline, nil, "")
		r.note("request %s, sent to %s %.3f s after the acknowledgement: %s by %s", id, m.name, sent.Seconds(), a, a.body)
		if sent > configApply && a.body == formerService {
			stale++
		}
		time.Sleep(movedEach)
	}
	return stale
}

// moveStore changes the settings files to a later address of the store, and ends the store at the former
// one after bothStores.
func (f *fleet) moveStore(r *recorder, later string) {
	for i, m := range f.members {
		m.writeSettings(later)
		if i == 0 {
			_ = m.cmd.Process.Signal(syscall.SIGHUP)
		}
	}
	r.note("the settings files name the store at %s in place of %s; %s gets SIGHUP", later, f.address, f.members[0].name)
	time.Sleep(bothStores)
	f.endStore()
	r.note("the store does not serve at %s any more", f.address)
}
