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
	// maxCrashes is the target: servers lost to one content.
	maxCrashes = 2
	// crasherTime is how long the traffic lasts.
	crasherTime = 8 * time.Second
	// crashAfter is how long the content runs before the server ends.
	crashAfter = 30 * time.Millisecond
	// restartAfter is how long a crashed server is away.
	restartAfter = time.Second
	// resendInterval is the time between two tries of the content's caller.
	resendInterval = 200 * time.Millisecond
	// innocentInterval is the time between two other requests, innocentTime how
	// long each runs, and innocentDeadline when it must be answered.
	innocentInterval = 10 * time.Millisecond
	innocentTime     = 300 * time.Millisecond
	innocentDeadline = 10 * time.Second
	// crasherCapacity is the number of requests a server runs at once.
	crasherCapacity = 16
	// crasherAttempts bounds the attempts of one request.
	crasherAttempts = 4
)

// crasherFleet is the entry instances and servers of one run.
type crasherFleet struct {
	servers []*fakeServer
	// entries is nil in the baseline.
	entries []*quarantine.Quarantine
	random  *lockedRand

	mu       sync.Mutex
	attempts int
	sent     int
	answered int
}

// measureCrasher sends one content that crashes every server, again and again
// from random instances, among other requests.
func measureCrasher(seed uint64) []Row {
	var fleets [2]*crasherFleet
	var runs sync.WaitGroup
	for i := range fleets {
		fleets[i] = newCrasherFleet(seed, i == 1)
		runs.Go(func() { fleets[i].play() })
	}
	runs.Wait()
	baseline, ours := fleets[0], fleets[1]
	return []Row{{
		Name:     "crasher",
		Baseline: baseline.String(),
		Ours:     ours.String(),
		Target:   fmt.Sprintf("at most %d crashes, every innocent request answered", maxCrashes),
		Pass:     ours.crashes() <= maxCrashes && ours.answered == ours.sent,
		Note:     "the baseline retries elsewhere without quarantine; both retry at most 3 times",
	}}
}

func newCrasherFleet(seed uint64, protected bool) *crasherFleet {
	f := &crasherFleet{servers: newServers(fleetServers, crasherCapacity), random: newLockedRand(seed, 1)}
	if !protected {
		return f
	}
	network := membus.New()
	for i := range fleetEntries {
		f.entries = append(f.entries, quarantine.New(quarantine.Options{
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

// play runs the traffic to its end.
func (f *crasherFleet) play() {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for _, q := range f.entries {
		work.Go(func() { q.Run(ctx) })
	}
	var requests sync.WaitGroup
	requests.Go(func() {
		every(resendInterval, crasherTime, func(int) { requests.Go(func() { f.culprit() }) })
	})
	every(innocentInterval, crasherTime, func(i int) { requests.Go(func() { f.innocent(i) }) })
	requests.Wait()
	cancel()
	work.Wait()
}

func (f *crasherFleet) culprit() {
	f.request(quarantine.FingerprintOf([]byte("culprit")), func(s *fakeServer) retry.Outcome {
		return s.runCrashing(crashAfter, restartAfter)
	})
}

func (f *crasherFleet) innocent(i int) {
	ok := f.request(quarantine.FingerprintOf(fmt.Append(nil, i)), func(s *fakeServer) retry.Outcome {
		return s.run(innocentTime)
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if ok {
		f.answered++
	}
}

// request tries a content until it is answered or may not be tried again.
func (f *crasherFleet) request(fp quarantine.Fingerprint, run func(*fakeServer) retry.Outcome) bool {
	ctx, cancel := context.WithTimeout(context.Background(), innocentDeadline)
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
		// What was refused or did not connect is not counted: it did not run.
		if outcome == retry.OutcomeCrashed {
			attempts++
		}
		time.Sleep(innocentInterval)
	}
	return false
}

// attempt sends a content once, as an entry instance does.
func (f *crasherFleet) attempt(ctx context.Context, fp quarantine.Fingerprint, run func(*fakeServer) retry.Outcome) (retry.Outcome, bool) {
	if f.entries == nil {
		return run(f.pick()), true
	}
	q := f.entries[f.random.intN(len(f.entries))]
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

// place chooses a server as the quarantine allows.
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

// pick returns a random server that is up, or any.
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
