package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashingPath and crashingBody are those of the request that crashes servers.
	crashingPath = oncePrefix + "7f/unit"
	crashingBody = `{"unit":"1187","order":"brakes"}`
	// crashLimit is the number of crashes after which at most allowedRetries may reach servers.
	crashLimit     = 3
	allowedRetries = 3
	// serverDownFor is how long a server is away after a crash.
	serverDownFor = 2 * time.Second
	// slowInterval and quickInterval are the times between two of the requests, each at the next machine.
	// With the former a server is back before the next request comes.
	slowInterval  = 3 * time.Second
	quickInterval = 1500 * time.Millisecond
	// restartSpacing is the time from the readiness of a restarted machine to the next restart.
	restartSpacing = 16 * time.Second
)

// startContent starts a fleet before a service of plain servers, one path of which crashes them.
func startContent(w *world, machines, servers int, keepsID bool) (*crashCount, error) {
	count := &crashCount{w: w, limit: crashLimit}
	w.putConfig("horaire-app", "")
	for i := range servers {
		err := w.addServer(&server{
			service: "horaire-app", zone: zoneOf(i), slots: 6, keepsID: keepsID, downFor: serverDownFor,
			crashes: func(r *http.Request) bool { return r.URL.Path == crashingPath }, reached: count.reached,
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
	return count, nil
}

// crashFirst sends the request at an interval to the machines in turn, and waits until it has crashed
// three servers.
func crashFirst(w *world, count *crashCount, interval time.Duration) error {
	w.repeatContent(interval)
	if err := await(30*time.Second, "the request did not crash three servers", count.isOver); err != nil {
		return err
	}
	w.record("the third server has crashed")
	return nil
}

// repeatContent sends the request at an interval to the machines in turn.
func (w *world) repeatContent(interval time.Duration) {
	turn := 0
	w.every(interval, func() {
		if m := w.readyMachine(turn); m != nil {
			turn++
			go w.send(m, http.MethodPost, crashingPath, crashingBody, nil, false)
		}
	})
}

func judgeContent(w *world, count *crashCount, served func() string) bool {
	late := count.lateCount()
	w.record("retries that reached servers, sent by machines in touch later than %s after the third crash: %d, at most %d are allowed", contact, late, allowedRetries)
	w.record("sound requests: %s", served())
	return late > allowedRetries
}

// playContentID plays a request that crashes the servers which run it. The servers start again under the
// id that they had.
func playContentID(w *world, trouble bool) (bool, error) {
	count, err := startContent(w, 3, 3, trouble)
	if err != nil {
		return false, err
	}
	served := w.soundTraffic()
	if err := crashFirst(w, count, slowInterval); err != nil {
		return false, err
	}
	time.Sleep(65 * time.Second)
	return judgeContent(w, count, served), nil
}

// playRestarts plays a request that crashes the servers which run it and comes again, while the machines
// are stopped and started in turn.
func playRestarts(w *world, trouble bool) (bool, error) {
	count, err := startContent(w, 3, 6, true)
	if err != nil {
		return false, err
	}
	served := w.soundTraffic()
	if err := crashFirst(w, count, quickInterval); err != nil {
		return false, err
	}
	time.Sleep(2 * contact)
	for _, m := range w.machines {
		if trouble {
			if err := m.terminate(); err != nil {
				return false, err
			}
			if err := await(15*time.Second, m.name+" is not ready", m.ready); err != nil {
				return false, err
			}
		} else {
			time.Sleep(5 * time.Second)
		}
		time.Sleep(restartSpacing)
	}
	return judgeContent(w, count, served), nil
}

func zoneOf(i int) string { return []string{"salle-levis", "salle-beauport", "salle-charny"}[i%3] }

// soundTraffic sends sound requests until the end. It returns how many were served.
func (w *world) soundTraffic() func() string {
	var mu sync.Mutex
	served, sent, turn := 0, 0, 0
	w.every(50*time.Millisecond, func() {
		m := w.readyMachine(turn)
		if turn++; m == nil {
			return
		}
		path := readPrefix + strings.Repeat("a", 1+turn%7)
		go func() {
			a := w.send(m, http.MethodGet, path, "", nil, true)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.status == http.StatusOK && a.whole {
				served++
			}
		}()
	})
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		return fmt.Sprintf("%d of %d served", served, sent)
	}
}
