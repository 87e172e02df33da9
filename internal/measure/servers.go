package measure

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/retry"
)

const (
	// fleetInstances and fleetServers are the numbers of instances and backend
	// servers of an existing deployment.
	fleetInstances = 9
	fleetServers   = 18
)

// answered is the outcome of an attempt that did not fail.
const answered = retry.Outcome(0)

// fakeServer is a backend server that runs each request for a given time, refuses
// requests above its capacity, and can fail, crash and restart.
type fakeServer struct {
	id       string
	capacity int

	mu      sync.Mutex
	running int
	// restarts is the number of restarts, and the id of the present process.
	restarts int
	failed   bool
	// exited is closed when the present process exits.
	exited chan struct{}
	up     bool
}

func newServers(n, capacity int) []*fakeServer {
	list := make([]*fakeServer, 0, n)
	for i := range n {
		list = append(list, &fakeServer{id: fmt.Sprint("server-", i), capacity: capacity, exited: make(chan struct{}), up: true})
	}
	return list
}

// process returns the id of the present process; ok is false while there is none.
func (s *fakeServer) process() (id string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.Itoa(s.restarts), s.up
}

// run executes a request that takes d.
func (s *fakeServer) run(d time.Duration) retry.Outcome {
	exited, outcome := s.begin()
	if outcome != answered {
		return outcome
	}
	defer s.end()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return answered
	case <-exited:
		return retry.OutcomeCrashed
	}
}

// runCrashing executes a request that crashes the server after a time; it restarts
// after downtime.
func (s *fakeServer) runCrashing(after, downtime time.Duration) retry.Outcome {
	exited, outcome := s.begin()
	if outcome != answered {
		return outcome
	}
	defer s.end()
	time.AfterFunc(after, func() { s.crash(downtime) })
	<-exited
	return retry.OutcomeCrashed
}

func (s *fakeServer) begin() (<-chan struct{}, retry.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.up:
		return nil, retry.OutcomeConnectFailed
	case s.failed:
		return nil, retry.OutcomeServerError
	case s.running >= s.capacity:
		return nil, retry.OutcomeNoCapacity
	}
	s.running++
	return s.exited, answered
}

func (s *fakeServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// crash ends the process; another starts after downtime.
func (s *fakeServer) crash(downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.up = false
	close(s.exited)
	time.AfterFunc(downtime, s.start)
}

func (s *fakeServer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restarts++
	s.up = true
	s.exited = make(chan struct{})
}

// setFailed sets whether the server fails every request.
func (s *fakeServer) setFailed(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = failed
}

// crashes returns the number of processes that have crashed.
func (s *fakeServer) crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		return s.restarts
	}
	return s.restarts + 1
}

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newLockedRand(seed, stream uint64) *lockedRand {
	return &lockedRand{r: rand.New(rand.NewPCG(seed, stream))}
}

// intN returns a random number in [0, n).
func (l *lockedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.IntN(n)
}

// chance returns true with probability p.
func (l *lockedRand) chance(p float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64() < p
}

// every calls f once per interval until d has passed.
func every(interval, d time.Duration, f func(i int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		f(i)
		<-ticker.C
	}
}
