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
	// fleetEntries and fleetServers are the size of one of today's deployments.
	fleetEntries = 9
	fleetServers = 18
)

// answered is the outcome of an attempt that did not fail.
const answered = retry.Outcome(0)

// fakeServer is a backend server that runs requests for their time, refuses
// above its capacity, and can fail, crash and restart.
type fakeServer struct {
	id       string
	capacity int

	mu      sync.Mutex
	running int
	// starts counts the server's processes.
	starts int
	failed bool
	// gone is closed when the present process ends.
	gone chan struct{}
	up   bool
}

func newServers(n, capacity int) []*fakeServer {
	list := make([]*fakeServer, 0, n)
	for i := range n {
		list = append(list, &fakeServer{id: fmt.Sprint("server-", i), capacity: capacity, gone: make(chan struct{}), up: true})
	}
	return list
}

// process is the id of the present process; ok is false while there is none.
func (s *fakeServer) process() (id string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strconv.Itoa(s.starts), s.up
}

// run executes a request for its time.
func (s *fakeServer) run(d time.Duration) retry.Outcome {
	gone, outcome := s.begin()
	if outcome != answered {
		return outcome
	}
	defer s.end()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return answered
	case <-gone:
		return retry.OutcomeCrashed
	}
}

// runCrashing executes a request that ends the server's process after a time.
func (s *fakeServer) runCrashing(after, away time.Duration) retry.Outcome {
	gone, outcome := s.begin()
	if outcome != answered {
		return outcome
	}
	defer s.end()
	time.AfterFunc(after, func() { s.crash(away) })
	<-gone
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
	return s.gone, answered
}

func (s *fakeServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// crash ends the process; another starts after the time given.
func (s *fakeServer) crash(away time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.up = false
	close(s.gone)
	time.AfterFunc(away, s.start)
}

func (s *fakeServer) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.up = true
	s.gone = make(chan struct{})
}

// setFailed makes the server fail every request, or ends that.
func (s *fakeServer) setFailed(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = failed
}

// crashes is the number of processes that have ended.
func (s *fakeServer) crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.up {
		return s.starts
	}
	return s.starts + 1
}

// lockedRand is a seeded source for several goroutines.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newLockedRand(seed, stream uint64) *lockedRand {
	return &lockedRand{r: rand.New(rand.NewPCG(seed, stream))}
}

// intN returns a number from 0 up to n.
func (l *lockedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.IntN(n)
}

// chance is true with the probability p.
func (l *lockedRand) chance(p float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64() < p
}

// every calls f at a fixed rate for a time.
func every(interval, d time.Duration, f func(i int)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(d)
	for i := 0; time.Now().Before(end); i++ {
		f(i)
		<-ticker.C
	}
}
