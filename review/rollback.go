package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// rolloutTime is duration_s of the order, and badShare the share of the requests that fail on the
	// bad version.
	rolloutTime = 24 * time.Second
	badShare    = 0.48
	// backAfter is the time from the order to that of the way back.
	backAfter = 3 * time.Second
	// exposureShare and exposureSlack are the bounds of the requests that a bad version may get.
	exposureShare = 0.15
	exposureSlack = 30
)

// exposure counts the requests that reach the versions of a service during a rollout.
type exposure struct {
	w       *world
	mu      sync.Mutex
	ordered time.Time
	all     int
	bad     int
}

// reached counts a request that reached a server.
func (e *exposure) reached(s *server, id string, _ bool) {
	a := e.w.attemptOf(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ordered.IsZero() || time.Since(e.ordered) > rolloutTime || a == nil || !a.inTouch {
		return
	}
	e.all++
	if s.version == badVersion {
		e.bad++
	}
}

func (e *exposure) text() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%d of %d requests reached the bad version", e.bad, e.all)
}

const badVersion = "v2"

// addServers starts the servers of a version alongside those that run.
func (e *exposure) addServers(version string) error {
	for i := range 3 {
		s := &server{service: "horaire-app", version: version, zone: zoneOf(i), slots: 6, keepsID: true, reached: e.reached}
		if version == badVersion {
			s.fails = func() bool { return rand.Float64() < badShare }
		}
		if err := e.w.addServer(s); err != nil {
			return err
		}
	}
	return nil
}

// order writes a rollout as the operator does.
func (w *world) order(to string) {
	w.store.Put("op", "rollout/horaire-app", map[string]any{"service": "horaire-app", "to": to, "duration_s": rolloutTime.Seconds()})
	w.record("the operator orders the rollout of %s", to)
}

// playRollback plays a bad version that the operator takes back before the end of its rollout.
func playRollback(w *world, trouble bool) (bool, error) {
	e := &exposure{w: w}
	w.putConfig("horaire-app", "")
	if err := e.addServers("v1"); err != nil {
		return false, err
	}
	for i := range 3 {
		if _, err := w.addMachine(fmt.Sprintf("edge-%d", i+1), zoneOf(i)); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	served := w.soundTraffic()
	turn := 0
	w.every(60*time.Millisecond, func() {
		if m := w.readyMachine(turn); m != nil {
			turn++
			go w.send(m, http.MethodPost, oncePrefix+"2f", "unit", nil, true)
		}
	})
	time.Sleep(3 * contact)
	if err := e.addServers(badVersion); err != nil {
		return false, err
	}
	e.mu.Lock()
	e.ordered = time.Now()
	e.mu.Unlock()
	w.order(badVersion)
	last := ""
	isBack := !trouble
	for time.Since(e.ordered) < rolloutTime {
		time.Sleep(100 * time.Millisecond)
		if status, ok := w.store.Get("status", "rollout/horaire-app"); ok && string(status) != last {
			last = string(status)
			w.record("the status is %s; %s", last, e.text())
		}
		if !isBack && time.Since(e.ordered) >= backAfter {
			isBack = true
			w.record("%s", e.text())
			if err := e.addServers("v1"); err != nil {
				return false, err
			}
			w.order("v1")
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	allowed := exposureShare*float64(e.all) + exposureSlack
	w.record("from the order to its deadline %d of %d requests reached the bad version, at most %.0f are allowed", e.bad, e.all, allowed)
	w.record("sound requests: %s", served())
	return float64(e.bad) > allowed, nil
}
