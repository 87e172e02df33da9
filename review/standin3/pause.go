package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// pauseSeconds is the Retry-After that the server names.
	pauseSeconds = 20
	// pauseFree is how long after that answer requests may still reach the server, and
	// maxPaused how many may later.
	pauseFree = 500 * time.Millisecond
	maxPaused = 2
	// cutTime is how long the server is cut off from the store.
	cutTime = 5 * time.Second
	// pauseOthers is the number of the other servers of the service.
	pauseOthers = 4
)

// runPause lets one of five servers turn a request away with Retry-After, and cuts it off from the
// store in that time.
func runPause(w *world, hasTrouble bool) (isBroken bool, err error) {
	var mu sync.Mutex
	var pausedAt time.Time
	var isShort bool
	a, err := w.addServer("a", "horaire-app", 6, func(p *process, out http.ResponseWriter, r *http.Request, _ []byte) {
		mu.Lock()
		turnsAway := isShort
		if turnsAway && pausedAt.IsZero() {
			pausedAt = time.Now()
			isShort = false
			w.printf("server %s turns %s away with Retry-After: %d", p.id, r.Header.Get("Basilrail-Attempt-Id"), pauseSeconds)
		}
		mu.Unlock()
		p.note(r, !turnsAway)
		if turnsAway {
			refuse(out, pauseSeconds)
			return
		}
		time.Sleep(15 * time.Millisecond)
		p.succeed(out)
	})
	if err != nil {
		return false, err
	}
	for n := range pauseOthers {
		if _, err := w.addServer(fmt.Sprint("b", n+1), "horaire-app", 6, func(p *process, out http.ResponseWriter, r *http.Request, _ []byte) {
			p.note(r, true)
			time.Sleep(15 * time.Millisecond)
			p.succeed(out)
		}); err != nil {
			return false, err
		}
	}
	w.configure(1, []string{callerKey}, route{name: "dispo-pieces", prefix: "/parts/", kind: "idempotent", service: "horaire-app", attempts: 3, timeout: callerWaits, target: 300 * time.Millisecond})
	if err := w.startInstances(1); err != nil {
		return false, err
	}
	i := w.instances[0]
	time.Sleep(contactTime)
	began := time.Now()
	for time.Since(began) < (pauseSeconds+4)*time.Second {
		switch elapsed := time.Since(began); {
		case elapsed >= time.Second && elapsed < 1100*time.Millisecond:
			mu.Lock()
			isShort = pausedAt.IsZero()
			mu.Unlock()
		case hasTrouble && elapsed >= 3*time.Second && elapsed < 3*time.Second+cutTime && !a.cut():
			a.setCut(true)
		case a.cut() && elapsed >= 3*time.Second+cutTime:
			a.setCut(false)
		}
		go call(i, callerKey, http.MethodGet, "/parts/1a", "", callerWaits)
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	if pausedAt.IsZero() {
		return false, errors.New("the server got no request to turn away")
	}
	count := 0
	for _, x := range a.list() {
		if x.at.After(pausedAt.Add(pauseFree)) && x.at.Before(pausedAt.Add(pauseSeconds*time.Second)) {
			if count++; count <= 5 {
				w.printf("%s reached server %s %.3f s after the answer with Retry-After", x.id, x.server, x.at.Sub(pausedAt).Seconds())
			}
		}
	}
	w.printf("%d requests reached the server in the pause; %d may", count, maxPaused)
	return count > maxPaused, nil
}
