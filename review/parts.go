package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	partMachines = 3
	// partServers is the number of model servers.
	partServers = 2
	// Parts of prompts: the one that all requests share, and the one that crashes servers.
	sharedPart   = "5c1e07a2:120"
	crashingPart = "91bd3f06:80"
	// allowedRequests is the number of requests with the part that may reach servers.
	allowedRequests = 3
	// minSound is the number of sound requests from which on their shares count.
	minSound = 20
)

// soundCount counts sound requests, and those that a server began to answer.
type soundCount struct {
	mu           sync.Mutex
	sent, served int
}

func (c *soundCount) add(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if a.status == http.StatusOK {
		c.served++
	}
}

// share returns the share of the requests that began, and describes it.
func (c *soundCount) share() (share float64, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent == 0 {
		return 0, "none sent"
	}
	return float64(c.served) / float64(c.sent), fmt.Sprintf("%d of %d began", c.served, c.sent)
}

// partFleet is a fleet before model servers, one part of a prompt of which crashes them.
type partFleet struct {
	w       *world
	count   *crashCount
	number  atomic.Int64
	crashes atomic.Bool
	// before and late are the sound requests before the first crash, and those sent later than twice
	// the contact time after the fifth one.
	before, late soundCount
}

func startParts(w *world, machines, servers int, s *server) (*partFleet, error) {
	f := &partFleet{w: w, count: &crashCount{w: w, limit: 5}}
	w.putConfig("horaire-app", "modele-atelier")
	if err := w.addServer(&server{service: "horaire-app", zone: zoneOf(0), slots: 6, keepsID: true}); err != nil {
		return nil, err
	}
	for i := range servers {
		err := w.addServer(&server{
			service: "modele-atelier", zone: zoneOf(i), slots: 64, keepsID: s.keepsID, downFor: serverDownFor,
			losesAnswer: s.losesAnswer, events: s.events, eventPause: s.eventPause, reached: f.count.reached,
			crashes: func(r *http.Request) bool {
				return strings.Contains(r.Header.Get("Basilrail-Prefix-Hash"), crashingPart)
			},
		})
		if err != nil {
			return nil, err
		}
	}
	for i := range machines {
		if _, err := w.addMachine(fmt.Sprintf("edge-%d", i+1), zoneOf(i)); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	return f, nil
}

// prompt returns the headers of a request with parts, and one part of its own.
func (f *partFleet) prompt(parts ...string) map[string]string {
	parts = append(parts, fmt.Sprintf("%x:40", 0xe4402b00+f.number.Add(1)))
	return map[string]string{
		"Basilrail-Model": model, "Basilrail-Token-Usage": "240,36", "Basilrail-Prefix-Hash": strings.Join(parts, ","),
	}
}

// sendSound sends sound requests at an interval until the end.
func (f *partFleet) sendSound(interval time.Duration) {
	turn := 0
	f.w.every(interval, func() {
		m := f.w.readyMachine(turn)
		if m == nil {
			return
		}
		turn++
		go func() {
			began := !f.crashes.Load()
			late := f.count.isLate(2 * contact)
			a := f.w.send(m, http.MethodPost, streamPrefix+"2f", "notes", f.prompt(sharedPart), true)
			switch {
			case !a.inTouch:
			case began:
				f.before.add(a)
			case late:
				f.late.add(a)
			}
		}()
	})
}

// sendCrashing sends requests with the part that crashes servers, one a second, until the end.
func (f *partFleet) sendCrashing() {
	f.crashes.Store(true)
	turn := 0
	f.w.every(time.Second, func() {
		if m := f.w.readyMachine(turn); m != nil {
			turn++
			go f.w.send(m, http.MethodPost, streamPrefix+"2f", "notes", f.prompt(sharedPart, crashingPart), false)
		}
	})
}

// judge records the counts. It reports whether too many requests with the part reached servers (BUDGET),
// and whether sound ones began too seldom (LOST).
func (f *partFleet) judge() (tooMany, tooSeldom bool) {
	late := f.count.lateCount()
	f.w.record("requests with the part that reached servers, sent by machines in touch later than %s after the fifth crash: %d, at most %d are allowed", contact, late, allowedRequests)
	usual, usualText := f.before.share()
	share, text := f.late.share()
	f.w.record("sound requests before the first crash: %s; later than %s after the fifth one: %s", usualText, 2*contact, text)
	tooMany = late > allowedRequests
	tooSeldom = f.before.sent >= minSound && f.late.sent >= minSound && share < usual/2
	f.w.record("BUDGET broken: %v, LOST broken: %v", tooMany, tooSeldom)
	return tooMany, tooSeldom
}

// playPartID plays a part of a prompt that crashes each server that begins to write an answer on it.
// The servers start again under the id that they had.
func playPartID(w *world, trouble bool) (bool, error) {
	f, err := startParts(w, partMachines, partServers, &server{keepsID: trouble, events: 6, eventPause: 20 * time.Millisecond})
	if err != nil {
		return false, err
	}
	f.sendSound(100 * time.Millisecond)
	time.Sleep(2 * contact)
	f.sendCrashing()
	time.Sleep(60 * time.Second)
	_, tooSeldom := f.judge()
	return tooSeldom, nil
}

const (
	// Figures of the disruption by which answers are lost: the number of times, and of each the duration,
	// the share of the servers and the share of their answers.
	lostTimes   = 8
	lostFor     = 4 * time.Second
	lostServers = 0.6
	lostAnswers = 0.4
)

// playRefuted plays a part of a prompt that crashes servers after answers of the servers were lost.
func playRefuted(w *world, trouble bool) (bool, error) {
	var losing atomic.Pointer[map[*server]bool]
	lose := func(s *server) bool {
		chosen := losing.Load()
		return chosen != nil && (*chosen)[s] && rand.Float64() < lostAnswers
	}
	f, err := startParts(w, 9, 18, &server{keepsID: true, losesAnswer: lose, events: 20, eventPause: 100 * time.Millisecond})
	if err != nil {
		return false, err
	}
	f.sendSound(11 * time.Millisecond)
	time.Sleep(contact)
	models := w.servers[1:]
	affected := int(lostServers * float64(len(models)))
	for n := range lostTimes {
		if trouble {
			chosen := make(map[*server]bool)
			for i := range affected {
				chosen[models[(n*affected+i)%len(models)]] = true
			}
			losing.Store(&chosen)
			w.record("%d servers lose answers", len(chosen))
		}
		time.Sleep(lostFor)
	}
	losing.Store(nil)
	w.record("no answers are lost any more")
	time.Sleep(2 * time.Second)
	f.sendCrashing()
	time.Sleep(45 * time.Second)
	tooMany, _ := f.judge()
	return tooMany, nil
}
