package main

import (
	"fmt"
	"net/http"
	"strings"
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
)

// playPartID plays a part of a prompt that crashes each server that begins to write an answer on it.
// The servers start again under the id that they had.
func playPartID(w *world, trouble bool) (bool, error) {
	count := &crashCount{w: w, limit: 5}
	w.putConfig("horaire-app", "modele-atelier")
	if err := w.addServer(&server{service: "horaire-app", zone: zoneOf(0), slots: 6, keepsID: true}); err != nil {
		return false, err
	}
	for i := range partServers {
		err := w.addServer(&server{
			service: "modele-atelier", zone: zoneOf(i), slots: 64, keepsID: trouble, downFor: serverDownFor,
			crashes: func(r *http.Request) bool {
				return strings.Contains(r.Header.Get("Basilrail-Prefix-Hash"), crashingPart)
			},
			reached: count.reached,
		})
		if err != nil {
			return false, err
		}
	}
	for i := range partMachines {
		if _, err := w.addMachine(fmt.Sprintf("edge-%d", i+1), zoneOf(i)); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	var number atomic.Int64
	prompt := func(parts ...string) map[string]string {
		parts = append(parts, fmt.Sprintf("%x:40", 0xe4402b00+number.Add(1)))
		return map[string]string{
			"Basilrail-Model": model, "Basilrail-Token-Usage": "240,36", "Basilrail-Prefix-Hash": strings.Join(parts, ","),
		}
	}
	sound := 0
	w.every(100*time.Millisecond, func() {
		if m := w.readyMachine(sound); m != nil {
			sound++
			go w.send(m, http.MethodPost, streamPrefix+"2f", "notes", prompt(sharedPart), true)
		}
	})
	turn := 0
	w.every(time.Second, func() {
		if m := w.readyMachine(turn); m != nil {
			turn++
			go w.send(m, http.MethodPost, streamPrefix+"2f", "notes", prompt(sharedPart, crashingPart), false)
		}
	})
	time.Sleep(60 * time.Second)
	late := count.lateCount()
	w.record("requests with the part that reached servers, sent by machines in touch later than %s after the fifth crash: %d, at most %d are allowed", contact, late, allowedRequests)
	return late > allowedRequests, nil
}
