package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// server is a stand-in of a backend server. It checks Basilrail-Expect-Instance, runs what it is sent and
// records it.
type server struct {
	id, service, address, zone string
	slots                      int
	models                     []string
	// run answers a request that the server runs.
	run func(s *server, w http.ResponseWriter, r *http.Request, body []byte)

	store *store
	http  *http.Server
	ended chan struct{}
	once  sync.Once
}

// startServer starts a server of a service and registers it.
func (f *fleet) startServer(id, service, zone string, models []string, run func(s *server, w http.ResponseWriter, r *http.Request, body []byte)) *server {
	listener, err := net.Listen("tcp", f.ip()+":0")
	if err != nil {
		fail("listen for a server: %v", err)
	}
	s := &server{
		id: id, service: service, address: listener.Addr().String(), zone: zone, slots: 16, models: models, run: run,
		store: f.store, ended: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	go s.beat()
	f.servers = append(f.servers, s)
	return s
}

// beat writes the server's entry until it ends. Only sequence changes.
func (s *server) beat() {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		models := []document{}
		for _, m := range s.models {
			models = append(models, document{"name": m, "version": 1, "adapters": []string{}})
		}
		if sequence == 1 {
			// An entry changes when more than its sequence does.
			s.store.put("servers", s.id, document{
				"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": "ready",
				"cold_remaining_ms": 0, "phase": "both", "models": models, "sequence": sequence, "born": born,
			})
		}
		select {
		case <-time.After(heartbeat):
		case <-s.ended:
			return
		}
	}
}

// stop ends the server.
func (s *server) stop() {
	s.once.Do(func() {
		close(s.ended)
		_ = s.http.Close()
	})
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Basilrail-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Basilrail-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Basilrail-Attempt-Id", r.Header.Get("Basilrail-Attempt-Id"))
	w.Header().Set("Basilrail-Server-Seal", sealOf(s.id, r.Header.Get("Basilrail-Attempt-Id")))
	s.run(s, w, r, body)
}

func sealOf(server, request string) string { return fmt.Sprintf("seal.%s.%s", server, request) }

// route returns a route of the configuration.
func route(prefix, kind, service string, more document) document {
	r := document{
		"name": "r" + prefix, "host": routeHost, "prefix": prefix, "kind": kind, "timeout_ms": 10000, "target_latency_ms": 1000, "priority": 1,
		"service": service, "max_attempts": 3, "anonymous": false, "sticky": false, "resumable": false,
	}
	for name, value := range more {
		r[name] = value
	}
	return r
}

// putConfig writes a configuration with one tenant, and returns when it was acknowledged.
func (f *fleet) putConfig(version int, services []document, routes ...document) time.Time {
	f.store.put("op", "config", document{
		"version": version, "routes": routes, "services": services,
		"limits":  document{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []document{{"name": clientTenant, "api_keys": []string{clientKey}, "priority": 1}},
	})
	return time.Now()
}

// plainService returns a service of the configuration.
func plainService(name string) document {
	return document{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
}
