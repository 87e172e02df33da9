package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Values of the case "forgot".
const (
	// crashedFor is how long a crashed server is away; its entry lapses after three heartbeats.
	crashedFor = 2 * time.Second
	// forgotServers is the number of servers.
	forgotServers = 6
	// firstEach is the time between the first crashes, crashesAt their number until the request is known.
	firstEach = 1500 * time.Millisecond
	crashesAt = 3
	// laterEach is the time between the later repeats of the request. killAfter is how long after the third
	// crash all processes are killed, and killedFor how long they are down.
	laterEach = 5 * time.Second
	killAfter = 5500 * time.Millisecond
	killedFor = 2 * time.Second
	// forgotTime is how long after the third crash the request comes.
	forgotTime = 75 * time.Second
	// maxRetries is the number of retries that the rule allows.
	maxRetries = 3
	// crashing is the body of the request, and forgotDeadline its deadline.
	crashing       = `{"unit": 17, "order": "crash"}`
	forgotDeadline = 4 * time.Second
	forgotPath     = "/puxa403/2f"
	forgotService  = "wuno96b"
)

// crashers are servers of which each crashes as it begins to run one request.
type crashers struct {
	f *fleet
	r *recorder

	mu      sync.Mutex
	serial  int
	crashed int
	// arrivals are the ids of the client attempts of that request that reached a server.
	arrivals map[string]bool
}

// start starts a server with a new id.
func (c *crashers) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	c.f.startServer(fmt.Sprintf("i-app%d", c.serial), forgotService, "salle-levis", nil, c.run)
}

func (c *crashers) run(s *server, w http.ResponseWriter, req *http.Request, body []byte) {
	if string(body) != crashing {
		fmt.Fprint(w, "{}")
		return
	}
	id := req.Header.Get("Basilrail-Attempt-Id")
	c.mu.Lock()
	c.crashed++
	c.arrivals[id] = true
	c.r.note("server %s begins to run attempt %s and crashes, crash %d", s.id, id, c.crashed)
	c.mu.Unlock()
	s.stop()
	time.AfterFunc(3*heartbeat, func() { c.f.store.drop("servers", s.id) })
	time.AfterFunc(crashedFor, c.start)
	panic(http.ErrAbortHandler)
}

func (c *crashers) reached(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals[id]
}

func (c *crashers) crashes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashed
}

// playForgot sends a request that crashes servers again and again, each time to the next instance. Once it
// is refused all instances are killed at the same moment and start again. It returns by how many retries
// more than maxRetries the request reached servers.
func playForgot(r *recorder) int {
	f := newFleet()
	defer f.end()
	c := &crashers{f: f, r: r, arrivals: make(map[string]bool)}
	for range forgotServers {
		c.start()
	}
	f.putConfig(7, []document{plainService(forgotService)}, route("/puxa403/", "non_idempotent", forgotService, document{
		"max_attempts": 1, "timeout_ms": 2000, "target_latency_ms": 300,
	}))
	for i := range 3 {
		f.start(fmt.Sprintf("edge-salle-levis-%d", i+1), "salle-levis")
	}
	f.awaitReady()
	sent := 0
	send := func() (m *instance, id string) {
		m, id = f.members[sent%len(f.members)], requestID(sent)
		sent++
		a := m.send(http.MethodPost, forgotPath, id, forgotDeadline, nil, crashing)
		r.note("attempt %s, sent to %s: %s; it reached a server: %v", id, m.name, a, c.reached(id))
		return m, id
	}
	for range 4 * crashesAt {
		if c.crashes() >= crashesAt {
			break
		}
		send()
		time.Sleep(firstEach)
	}
	if c.crashes() < crashesAt {
		fail("the request crashed %d servers only", c.crashes())
	}
	third := time.Now()
	if hasTrouble() {
		time.Sleep(killAfter)
		r.note("all instances are killed")
		f.killAll(killedFor)
		r.note("all instances have started again")
	}
	retries := 0
	for time.Since(third) < forgotTime {
		time.Sleep(laterEach)
		at := time.Now()
		m, id := send()
		isInTouch := at.Sub(m.startedAt) > contact
		if c.reached(id) && isInTouch && at.Sub(third) > contact {
			retries++
			r.note("attempt %s is retry %d by an instance in touch", id, retries)
		}
	}
	return max(0, retries-maxRetries)
}
