package main

import (
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	host      = "ficu95.example"
	tenantKey = "n2ctnfzs989anu6wsjnb"
	// Path prefixes of the routes.
	oncePrefix   = "/etat/"
	readPrefix   = "/dispo/"
	streamPrefix = "/alerte/"
	model        = "daka510000"
	// deadline is how long a caller of a plain service waits.
	deadline = 4 * time.Second
)

// attempt is one request of a caller at a machine.
type attempt struct {
	id      string
	machine *machine
	sentAt  time.Time
	// inTouch is set if the machine was in touch when the request was sent.
	inTouch bool
	status  int
	whole   bool
}

// putConfig writes the configuration as the operator does.
func (w *world) putConfig(plainService, modelService string) {
	type object = map[string]any
	routes := []object{
		{
			"name": "once", "host": host, "prefix": oncePrefix, "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
			"priority": 2, "service": plainService, "max_attempts": 1, "anonymous": false, "sticky": false, "resumable": false,
		},
		{
			"name": "read", "host": host, "prefix": readPrefix, "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 300,
			"priority": 2, "service": plainService, "max_attempts": 2, "anonymous": false, "sticky": false, "resumable": false,
		},
	}
	services := []object{{"name": plainService, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}}
	if modelService != "" {
		routes = append(routes, object{
			"name": "draft", "host": host, "prefix": streamPrefix, "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 1500, "gap_target_ms": 800,
			"priority": 0, "service": modelService, "max_attempts": 3, "anonymous": false, "sticky": true, "resumable": true,
		})
		services = append(services, object{
			"name": modelService, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": object{"slots": 64, "kv_capacity": 432311, "models": []object{{"name": model, "cost": 0.023}}},
		})
	}
	w.store.Put("op", "config", object{
		"version": 7, "routes": routes, "services": services,
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []object{{"name": "hule930", "api_keys": []string{tenantKey}}},
	})
	w.record("the operator writes the configuration")
}

// send sends a request to a machine on a new connection and records the answer.
func (w *world) send(m *machine, method, path, body string, header map[string]string, quiet bool) *attempt {
	a := &attempt{id: w.newID(), machine: m, sentAt: time.Now(), inTouch: m.inTouch()}
	w.mu.Lock()
	w.attempts[a.id] = a
	w.mu.Unlock()
	req, err := http.NewRequest(method, "http://"+m.ip+":8227"+path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return a
	}
	req.ContentLength = int64(len(body))
	if body == "" {
		req.Body = nil
	}
	req.Host = host
	wait := deadline
	if strings.HasPrefix(path, streamPrefix) {
		wait = 5 * time.Second
		req.Header.Set("Basilrail-Deadline-Ms", "5000")
	} else {
		req.Header.Set("Basilrail-Deadline-Ms", "4000")
	}
	req.Header.Set("Basilrail-Attempt-Id", a.id)
	req.Header.Set("Basilrail-Key", tenantKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := http.Client{Timeout: wait + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if !quiet {
		w.record("request %s %s is sent to %s, in touch: %v", a.id, path, m.name, a.inTouch)
	}
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		a.status, a.whole = resp.StatusCode, err == nil
	}
	if !quiet {
		w.record("request %s gets %d, whole: %v", a.id, a.status, a.whole)
	}
	return a
}

// attemptOf returns the attempt with an id.
func (w *world) attemptOf(id string) *attempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.attempts[id]
}

// readyMachine returns the n-th of the machines in rotation, counted round; nil if there is none.
func (w *world) readyMachine(n int) *machine {
	var ready []*machine
	for _, m := range w.machines {
		if m.ready() {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[n%len(ready)]
}
