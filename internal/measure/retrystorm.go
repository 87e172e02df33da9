package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/serverwatch"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
)

func init() { Register(70, "retry storm", measureRetryStorm) }

const (
	// maxAttemptRatio and minGoodputAfter are the targets: attempts per request while
	// half of the servers fail, and the ratio of the goodput after the repair to that
	// before the failure.
	maxAttemptRatio = 1.2
	minGoodputAfter = 0.95
	recoverWithin   = 5 * time.Second
	// stormBefore, stormFailing and stormAfter are the durations of the parts of a run.
	stormBefore  = 4 * time.Second
	stormFailing = 6 * time.Second
	stormAfter   = recoverWithin + goodputWindow
	// goodputWindow is the time over which goodput is measured.
	goodputWindow = 2 * time.Second
	// stormInterval is the time between two requests. The load is about two thirds
	// of the capacity of all servers.
	stormInterval    = 4 * time.Millisecond
	stormServiceTime = 200 * time.Millisecond
	stormCapacity    = 4
	stormDeadline    = 2 * time.Second
	// baselineMaxAttempts is the maximum number of attempts per request in the baseline.
	baselineMaxAttempts = 20
)

// stormFleet is the instances and servers of one run.
type stormFleet struct {
	servers []*fakeServer
	byID    map[string]*fakeServer
	// instances is nil in the baseline.
	instances []*stormInstance
	random    *lockedRand

	mu        sync.Mutex
	phase     stormPhase
	requests  [stormPhases]int
	attempts  [stormPhases]int
	succeeded [stormPhases]int
}

// stormPhase is a part of the run; a request counts in the phase in which it began.
type stormPhase int

const (
	phaseWarmUp stormPhase = iota
	phaseBefore
	phaseFailing
	phaseRecovering
	phaseAfter
	stormPhases
)

// stormInstance is one instance of a stormFleet.
type stormInstance struct {
	watch   *serverwatch.Watcher
	data    *datastore.Store
	retrier *retry.Retrier
}

// measureRetryStorm makes half of the servers fail every request for a while,
// although their status reports say that they are healthy.
func measureRetryStorm(seed uint64) []Row {
	charts, err := statechart.Load()
	if err != nil {
		return []Row{{Name: "retry storm", Ours: err.Error()}}
	}
	fleets := [2]*stormFleet{newStormFleet(seed, nil), newStormFleet(seed, charts)}
	var runs sync.WaitGroup
	for _, f := range fleets {
		runs.Go(f.runPhases)
	}
	runs.Wait()
	baseline, ours := fleets[0], fleets[1]
	return []Row{{
		Name:     "retry storm",
		Baseline: baseline.String(),
		Ours:     ours.String(),
		Target: fmt.Sprintf("at most %.1f attempts per request, goodput at least %.2f of that before within %s of the repair",
			maxAttemptRatio, minGoodputAfter, recoverWithin),
		Pass: ours.attemptRatio() <= maxAttemptRatio && ours.recovery() >= minGoodputAfter,
		Note: fmt.Sprintf("while half of the servers fail, goodput is %.2f of that before, and %.2f in the baseline, which makes up to %d attempts without delay",
			ours.goodput(phaseFailing), baseline.goodput(phaseFailing), baselineMaxAttempts),
	}}
}

func newStormFleet(seed uint64, charts *statechart.Set) *stormFleet {
	f := &stormFleet{
		servers: newServers(fleetServers, stormCapacity),
		byID:    make(map[string]*fakeServer),
		random:  newLockedRand(seed, 1),
	}
	tree := settings.Tree{Servers: make(map[string]settings.Server)}
	for _, s := range f.servers {
		f.byID[s.id] = s
		tree.Servers[s.id] = settings.Server{Address: s.id, Capacity: stormCapacity}
	}
	if charts == nil {
		return f
	}
	network := membus.New()
	for i := range fleetInstances {
		inst := &stormInstance{data: datastore.New(), retrier: retry.New(rand.New(rand.NewPCG(seed, uint64(i))))}
		inst.data.SetSettings(settings.Compile(1, tree))
		inst.watch = serverwatch.New(serverwatch.Options{
			Store: inst.data, Client: &http.Client{Transport: f}, Bus: network.Join(fmt.Sprint("entry-", i), "a"),
			Chart: charts.Server, Rand: rand.New(rand.NewPCG(seed, uint64(i)+fleetInstances)),
		})
		f.instances = append(f.instances, inst)
	}
	return f
}

// RoundTrip answers the status requests of the watchers: every server reports
// that it is healthy.
func (f *stormFleet) RoundTrip(req *http.Request) (*http.Response, error) {
	process, _ := f.byID[req.URL.Host].process()
	body, err := json.Marshal(map[string]string{"instance": process})
	return &http.Response{StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: io.NopCloser(bytes.NewReader(body))}, err
}

func (f *stormFleet) String() string {
	return fmt.Sprintf("%.2f attempts per request, goodput %.2f", f.attemptRatio(), f.recovery())
}

func (f *stormFleet) attemptRatio() float64 {
	return float64(f.attempts[phaseFailing]) / float64(f.requests[phaseFailing])
}

// recovery returns the goodput after the time to recover, relative to that before
// the failure.
func (f *stormFleet) recovery() float64 { return f.goodput(phaseAfter) }

// goodput returns the fraction of a phase's requests that are answered in time,
// relative to that before the failure. As a fraction, it does not depend on how evenly
// the machine starts the requests.
func (f *stormFleet) goodput(phase stormPhase) float64 {
	fraction := func(p stormPhase) float64 { return float64(f.succeeded[p]) / float64(f.requests[p]) }
	return fraction(phase) / fraction(phaseBefore)
}

// runPhases runs the traffic of all phases, with half of the servers failing during
// phaseFailing.
func (f *stormFleet) runPhases() {
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	for _, inst := range f.instances {
		work.Go(func() { inst.watch.Run(ctx) })
	}
	var requests sync.WaitGroup
	traffic := func(phase stormPhase, d time.Duration) {
		f.setPhase(phase)
		every(stormInterval, d, func(int) { requests.Go(f.request) })
	}
	traffic(phaseWarmUp, stormBefore-goodputWindow)
	traffic(phaseBefore, goodputWindow)
	f.failHalf(true)
	traffic(phaseFailing, stormFailing)
	f.failHalf(false)
	traffic(phaseRecovering, stormAfter-goodputWindow)
	traffic(phaseAfter, goodputWindow)
	requests.Wait()
	cancel()
	work.Wait()
}

func (f *stormFleet) setPhase(p stormPhase) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.phase = p
}

func (f *stormFleet) failHalf(failed bool) {
	for _, s := range f.servers[:len(f.servers)/2] {
		s.setFailed(failed)
	}
}

// request sends a request until it is answered or abandoned.
func (f *stormFleet) request() {
	phase := f.begin()
	deadline := time.Now().Add(stormDeadline)
	ok := false
	if f.instances == nil {
		ok = f.tryUnbounded(phase, deadline)
	} else {
		ok = f.tryBounded(f.instances[f.random.intN(len(f.instances))], phase, deadline)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if ok {
		f.succeeded[phase]++
	}
}

func (f *stormFleet) begin() stormPhase {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[f.phase]++
	return f.phase
}

// run sends one attempt.
func (f *stormFleet) run(s *fakeServer, phase stormPhase) retry.Outcome {
	f.mu.Lock()
	f.attempts[phase]++
	f.mu.Unlock()
	return s.run(stormServiceTime)
}

// tryUnbounded is the baseline: it retries on any server without delay.
func (f *stormFleet) tryUnbounded(phase stormPhase, deadline time.Time) bool {
	for range baselineMaxAttempts {
		if f.run(f.servers[f.random.intN(len(f.servers))], phase) == answered {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
	return false
}

// tryBounded uses only servers that are not down and retries within the retry
// budget.
func (f *stormFleet) tryBounded(inst *stormInstance, phase stormPhase, deadline time.Time) bool {
	inst.retrier.Request()
	for attempt := 1; ; attempt++ {
		s, ok := f.choose(inst)
		if !ok {
			return false
		}
		s.Begin(1)
		outcome := f.run(f.byID[s.ID], phase)
		s.End(1)
		if outcome == answered {
			inst.watch.ReportSuccess(s.ID)
			return true
		}
		inst.report(s.ID, outcome)
		decision := inst.retrier.Next(retry.Attempt{
			Outcome: outcome, Number: attempt, Idempotent: true, OtherServers: 1, Remaining: time.Until(deadline),
		})
		if decision.Action == retry.Stop {
			return false
		}
		time.Sleep(decision.Delay)
	}
}

// choose draws two servers that are not down and returns the one on which this
// instance has fewer requests in flight.
func (f *stormFleet) choose(inst *stormInstance) (*datastore.Server, bool) {
	var up []*datastore.Server
	for _, s := range inst.data.Snapshot().Watched() {
		if !s.Status().Down {
			up = append(up, s)
		}
	}
	if len(up) == 0 {
		return nil, false
	}
	a, b := up[f.random.intN(len(up))], up[f.random.intN(len(up))]
	loadA, _ := a.InFlight()
	if loadB, _ := b.InFlight(); loadB < loadA {
		a = b
	}
	return a, true
}

// report reports a failed attempt to the watcher.
func (inst *stormInstance) report(server string, outcome retry.Outcome) {
	backendOutcome := backend.Answered
	if outcome == retry.OutcomeNoCapacity {
		backendOutcome = backend.Refused
	}
	inst.watch.ReportFailure(&backend.Error{Outcome: backendOutcome, Server: server})
}
