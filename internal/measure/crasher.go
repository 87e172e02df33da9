package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/retry"
)

func init() { Register(60, "crasher", measureCrasher) }

const (
	// maxCrashes is the target: the maximum number of server crashes caused by one
	// request content.
	maxCrashes = 2
	// crasherTime is the duration of the traffic.
	crasherTime = 8 * time.Second
	// crashAfter is how long the crashing request runs before the server exits.
	crashAfter = 30 * time.Millisecond
	// restartAfter is the downtime of a crashed server.
	restartAfter = time.Second
	// resendInterval is the time between two requests with the crashing content.
	resendInterval = 200 * time.Millisecond
	// harmlessInterval is the time between two harmless requests and before a retry,
	// harmlessTime is how long each runs, and harmlessDeadline the time after which a
	// request of either kind is abandoned.
	harmlessInterval = 10 * time.Millisecond
	harmlessTime     = 300 * time.Millisecond
	harmlessDeadline = 10 * time.Second
	// crasherCapacity is the maximum number of concurrent requests on a server.
	crasherCapacity = 16
	// crasherAttempts is the maximum number of crashed attempts per request; attempts that
	// were refused or did not connect are not counted.
	crasherAttempts = 4
)

// crasherFleet is the instances and servers of one run.
type crasherFleet struct {
	servers []*fakeServer
	// instances holds the quarantine of each instance; nil in the baseline.
	instances []*quarantine.Quarantine
	random    *lockedRand

	mu       sync.Mutex
	attempts int
	sent     int
	answered int
}

// measureCrasher repeatedly sends one content that crashes every server, through
// random instances and among harmless requests.
func measureCrasher(seed uint64) []Row {
	var fleets [2]*crasherFleet
	var runs sync.WaitGroup
	for i := range fleets {
		fleets[i] = newCrasherFleet(seed, i == 1)
		runs.Go(func() { fleets[i].runTraffic() })
	}
	runs.Wait()
	baseline, ours := fleets[0], fleets[1]
	return []Row{{
		Name:     "crasher",
		Baseline: baseline.String(),
		Ours:     ours.String(),
		Target:   fmt.Sprintf("at most %d crashes, every harmless request answered", maxCrashes),
		Pass:     ours.crashes() <= maxCrashes && ours.answered == ours.sent,
		Note:     "the baseline retries on any server without quarantine; both retry at most 3 times",
	}}
}

func newCrasherFleet(seed uint64, protected bool) *crasherFleet {
	f := &crasherFleet{servers: newServers(fleetServers, crasherCapacity), random: newLockedRand(seed, 1)}
	if !protected {
		return f
	}
	network := membus.New()
	for i := range fleetInstances {
		f.instances = append(f.instances, quarantine.New(quarantine.Options{
			Bus:  network.Join(fmt.Sprint("entry-", i), "a"),
			Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		}))
	}
	return f
}

func (f *crasherFleet) String() string {
	return fmt.Sprintf("%d crashes, %d of %d answered", f.crashes(), f.answered, f.sent)
}

func (f *crasherFleet) crashes() int {
	total := 0
	for _, s := range f.servers {
		total += s.crashes()
	}
	return total
}

// runTraffic sends all requests and waits until they end.
func (f *crasherFleet) runTraffic() {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for _, q := range f.instances {
		work.Go(func() { q.Run(ctx) })
	}
	var requests sync.WaitGroup
	requests.Go(func() {
		every(resendInterval, crasherTime, func(int) { requests.Go(func() { f.crashingRequest() }) })
	})
	every(harmlessInterval, crasherTime, func(i int) { requests.Go(func() { f.harmlessRequest(i) }) })
	requests.Wait()
	cancel()
	work.Wait()
}

func (f *crasherFleet) crashingRequest() {
	f.request(quarantine.FingerprintOf([]byte("culprit")), func(s *fakeServer) retry.Outcome {
		return s.runCrashing(crashAfter, restartAfter)
	})
}

func (f *crasherFleet) harmlessRequest(i int) {
	ok := f.request(quarantine.FingerprintOf(fmt.Append(nil, i)), func(s *fakeServer) retry.Outcome {
		return s.run(harmlessTime)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if ok {
		f.answered++
	}
}

// request sends a content until it is answered, may not be sent any more, or runs
// out of attempts or time.
func (f *crasherFleet) request(fp quarantine.Fingerprint, run func(*fakeServer) retry.Outcome) bool {
	ctx, cancel := context.WithTimeout(context.Background(), harmlessDeadline)
	defer cancel()
	attempts := 0
	for ctx.Err() == nil && attempts < crasherAttempts {
		outcome, allowed := f.attempt(ctx, fp, run)
		if !allowed {
			return false
		}
		if outcome == answered {
			return true
		}
		// An attempt that was refused or did not connect did not run, so it is not counted.
		if outcome == retry.OutcomeCrashed {
			attempts++
		}
		time.Sleep(harmlessInterval)
	}
	return false
}

// attempt sends a content once, as an instance does. The second result is
// false if the quarantine forbids it.
func (f *crasherFleet) attempt(ctx context.Context, fp quarantine.Fingerprint, run func(*fakeServer) retry.Outcome) (retry.Outcome, bool) {
	if f.instances == nil {
		return run(f.pick()), true
	}
	q := f.instances[f.random.intN(len(f.instances))]
	id := f.attemptID()
	server, ok := f.place(ctx, q, fp, id)
	if !ok {
		return 0, false
	}
	process, up := server.process()
	if !up {
		q.End(id, false)
		return retry.OutcomeConnectFailed, true
	}
	q.Begin(server.id, process, fp, id)
	outcome := run(server)
	if outcome == retry.OutcomeCrashed {
		q.Crashed(server.id, process)
	}
	q.End(id, outcome == answered)
	return outcome, true
}

// place chooses a server that the quarantine allows.
func (f *crasherFleet) place(ctx context.Context, q *quarantine.Quarantine, fp quarantine.Fingerprint, id string) (*fakeServer, bool) {
	verdict := q.Check(fp)
	switch {
	case verdict.Quarantined:
		return nil, false
	case !verdict.Suspect:
		return f.pick(), true
	}
	byID := make(map[string]*fakeServer)
	var candidates []string
	first := f.random.intN(len(f.servers))
	for i := range f.servers {
		s := f.servers[(first+i)%len(f.servers)]
		if _, up := s.process(); up {
			byID[s.id] = s
			candidates = append(candidates, s.id)
		}
	}
	chosen, err := q.Place(ctx, fp, id, candidates)
	return byID[chosen], err == nil
}

// pick returns a random server that is up, or the first server if it finds none.
func (f *crasherFleet) pick() *fakeServer {
	for range f.servers {
		s := f.servers[f.random.intN(len(f.servers))]
		if _, up := s.process(); up {
			return s
		}
	}
	return f.servers[0]
}

func (f *crasherFleet) attemptID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts++
	return fmt.Sprint("attempt-", f.attempts)
}
