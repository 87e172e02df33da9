package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/bootclock"
	"github.com/basilrail/basilrail/internal/brittle"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/loadreport"
	"github.com/basilrail/basilrail/internal/metrics"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/poison"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/requestlimit"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
)

// Times of the simulated servers.
const (
	simPrefill    = 150 * time.Millisecond
	simCrashDelay = 60 * time.Millisecond
	simEventGap   = 100 * time.Millisecond
	simRestart    = 3 * time.Second
	// simListDelay is how long the instances still list a server that has crashed.
	simListDelay = 800 * time.Millisecond
)

// simParts describes the prompts of a simulated day: every request has a first part, a
// subject and a part of its own.
const (
	simFirstParts = 5
	simSubjects   = 40
	simOwnParts   = 1 << 40
)

// simFleet is a fleet of instances before servers that crash when they begin to answer a
// request with a deadly part, in virtual time and without a network.
type simFleet struct {
	network *membus.Network
	// size is the number of instances.
	size      int
	instances []*simInstance
	// deadly are the parts that crash servers.
	deadly []uint64
	// records are the stored verdicts.
	records *simRecords

	mu      sync.Mutex
	rng     *rand.Rand
	servers map[string]*simServer
	next    int
	// crashes are when servers crashed by each deadly part, sends when requests with it
	// reached servers.
	crashes map[uint64][]time.Time
	sends   map[uint64][]time.Time
	sound   []*simOutcome
	// slots, if set, is the number of requests that a server runs at once, and queue the
	// number that may wait there. brittle, if set, is the number of rejections a second above
	// which one falls over; they announce it from brittleSince on. silentUntil is the end of
	// the time in which no server sends anything.
	slots, queue int
	// domains is the number of failure domains; zero for a single one.
	domains      int
	brittle      float64
	brittleSince time.Time
	silentUntil  time.Time
	// falls are when servers fell over.
	falls []time.Time
	// work, if set, returns how long a server runs a request; servers then answer without a
	// stream. A run goes on for linger after its caller left.
	work   func(rng *rand.Rand) time.Duration
	linger time.Duration
}

// simInstance is one instance; it is replaced when it restarts.
type simInstance struct {
	name string
	d    *Dispatcher
	// ctx is done at the end of the process.
	ctx  context.Context
	stop context.CancelFunc
}

// simServer is a process of a backend server.
type simServer struct {
	id string
	// limit is the requests per second that its answers name; zero for none. namedAt is
	// when it first did, toldAt when each instance received such an answer.
	limit   float64
	namedAt time.Time
	toldAt  map[string]time.Time
	// arrivals are the requests that it got.
	arrivals []simArrival
	// crashed is closed at the end of the process.
	crashed chan struct{}
	// active is the number of requests that it runs or has waiting, rejections when it turned
	// some away.
	active     int
	rejections []time.Time
}

func newSimServer(id string) *simServer {
	return &simServer{id: id, toldAt: make(map[string]time.Time), crashed: make(chan struct{})}
}

// simArrival is a request that reached a server from an instance.
type simArrival struct {
	at       time.Time
	instance string
}

// simOutcome is what happened to a request without a deadly part.
type simOutcome struct {
	arrived time.Time
	first   uint64
	// began is set if the first attempt's head arrived.
	began    bool
	attempts int
}

// simRequestKey is the context key of a request's *simOutcome.
type simRequestKey struct{}

func newSimFleet(instances, servers int, seed uint64, deadly ...uint64) *simFleet {
	return newSimFleetOf(simFleetOptions{instances: instances, servers: servers, seed: seed, deadly: deadly})
}

// simFleetOptions describe a simulated fleet.
type simFleetOptions struct {
	instances, servers int
	// slots is the number of requests that a server runs at once; zero for no limit.
	slots int
	// domains is the number of failure domains; zero for a single one.
	domains int
	// latency bounds how long a message between instances is on the way; zero for none.
	latency time.Duration
	seed    uint64
	deadly  []uint64
}

func newSimFleetOf(o simFleetOptions) *simFleet {
	f := &simFleet{
		network: membus.New(), size: o.instances, deadly: o.deadly, slots: o.slots, domains: o.domains, records: &simRecords{began: time.Now()}, rng: rand.New(rand.NewPCG(o.seed, 7)), servers: make(map[string]*simServer),
		crashes: make(map[uint64][]time.Time), sends: make(map[uint64][]time.Time),
	}
	for range o.servers {
		f.next++
		id := fmt.Sprint("s", f.next)
		f.servers[id] = newSimServer(id)
	}
	if o.latency > 0 {
		latencies := rand.New(rand.NewPCG(o.seed, 11))
		// Before the first instance starts: it asks its peers at once.
		f.network.Latency = func() time.Duration {
			f.mu.Lock()
			defer f.mu.Unlock()
			return time.Duration(latencies.Int64N(int64(o.latency)))
		}
	}
	for i := range o.instances {
		f.instances = append(f.instances, f.newInstance(simName(i)))
	}
	return f
}

func (f *simFleet) registration(id string) fleet.Registration {
	return fleet.Registration{ID: id, Service: "models", Address: id + ":1", FailureDomain: f.domainOf(id), Slots: cmp.Or(f.slots, 64)}
}

// domainOf returns the failure domain of an instance or a server, by the number in its name.
func (f *simFleet) domainOf(name string) string {
	number, err := strconv.Atoi(name[1:])
	if err != nil || f.domains == 0 {
		return "here"
	}
	return fmt.Sprint("z", number%f.domains)
}

// newInstance starts an instance that knows nothing of earlier crashes.
func (f *simFleet) newInstance(name string) *simInstance {
	ctx, stop := context.WithCancel(context.Background())
	state := routing.NewState(func() bootclock.Time { return bootclock.Time(time.Hour) }, time.Hour)
	state.Put(routing.New(routing.Config{
		Version: 1, Keys: map[string]*routing.Account{"key": {Name: "alice"}, "other": {Name: "bob"}},
		Routes: []routing.Route{{
			Host: "h", Prefix: "/chat/", Kind: routing.Streaming, Resumable: true, CarriesPrompt: true, Timeout: 20 * time.Second,
			TargetLatency: 3 * time.Second, MaxEventGap: 800 * time.Millisecond, MaxAttempts: 3, Models: []string{"small", "large"},
			Targets: []routing.Target{{Service: "models", Weight: 1}},
		}, {
			Host: "h", Prefix: "/desk/", Kind: routing.NonIdempotent, Timeout: simDeskTimeout, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2,
			Targets: []routing.Target{{Service: "models", Weight: 1}},
		}},
	}))
	state.Confirm(bootclock.Time(time.Hour))
	domain := f.domainOf(name)
	set := fleet.NewSet(domain, nil)
	for id := range f.servers {
		set.Put(f.registration(id))
	}
	bus := f.network.Join(name, domain)
	seed := f.rng.Uint64()
	tracker := quarantine.NewDisconnectTracker(quarantine.DisconnectOptions{Bus: bus})
	go tracker.Run(ctx)
	guard := poison.New(poison.Options{Bus: bus, FleetSize: func() int { return f.size }, Records: f.records, Seed: seed})
	go guard.Run(ctx)
	go f.records.follow(ctx, guard)
	limits := requestlimit.New(requestlimit.Options{
		Bus: bus, Fleet: set, Others: func() ([]string, bool) { return f.others(name), true }, Clock: f.records.Now,
	})
	room := brittle.New(brittle.Options{
		Bus: bus, Fleet: set, IsListed: func() bool { return true }, FailureDomain: domain, Limits: limits,
	})
	if f.slots > 0 {
		go loadreport.New(bus, set).Run(ctx)
	}
	d := New(Options{
		Poison:  guard,
		Routing: state, Fleet: set, Transport: &simTransport{fleet: f, instance: name, limits: limits, brittle: room}, Releases: noReleases{},
		Disconnects: tracker, Limits: room,
		Budgets:       retry.NewBudgets(retry.Limit{Ratio: 0.9, Slack: 100, Window: 10 * time.Second}, func() int { return 1 }),
		FailureDomain: domain, Seed: seed, Metrics: metrics.New(metrics.Sources{}),
	})
	return &simInstance{name: name, d: d, ctx: ctx, stop: stop}
}

// others returns the names of the other instances.
func (f *simFleet) others(name string) []string {
	var names []string
	for i := range f.size {
		if other := simName(i); other != name {
			names = append(names, other)
		}
	}
	return names
}

func simName(i int) string { return fmt.Sprint("i", i) }

// close ends the background work of all instances.
func (f *simFleet) close() {
	for _, i := range f.instances {
		i.stop()
	}
}

// restart replaces all instances by new ones of the same names.
func (f *simFleet) restart() {
	for n := range f.size {
		f.restartOne(n)
	}
}

func (f *simFleet) restartOne(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.instances[n]
	old.stop()
	f.instances[n] = f.newInstance(old.name)
}

// crash ends a server, by a request with a deadly part or, if that is zero, for another
// reason. It comes back as another process.
func (f *simFleet) crash(id string, deadly uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.servers[id]
	if !ok {
		return
	}
	delete(f.servers, id)
	close(s.crashed)
	if deadly != 0 {
		f.crashes[deadly] = append(f.crashes[deadly], time.Now())
	}
	time.AfterFunc(simListDelay, func() { f.each(func(set *fleet.Set) { set.Remove(id) }) })
	time.AfterFunc(simRestart, func() {
		f.mu.Lock()
		f.next++
		id := fmt.Sprint("s", f.next)
		f.servers[id] = newSimServer(id)
		f.mu.Unlock()
		f.each(func(set *fleet.Set) { set.Put(f.registration(id)) })
	})
}

// crashSome crashes a share of the servers at once.
func (f *simFleet) crashSome(share float64) {
	f.mu.Lock()
	var ids []string
	for id := range f.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	f.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	f.mu.Unlock()
	for _, id := range ids[:int(share*float64(len(ids)))] {
		f.crash(id, 0)
	}
}

func (f *simFleet) each(do func(set *fleet.Set)) {
	f.mu.Lock()
	instances := slices.Clone(f.instances)
	f.mu.Unlock()
	for _, i := range instances {
		do(i.d.Fleet)
	}
}

// deadlyPartOf returns the deadly part of a prompt; zero for none.
func (f *simFleet) deadlyPartOf(p Prompt) uint64 {
	for _, part := range p.Parts {
		if slices.Contains(f.deadly, part.ID) {
			return part.ID
		}
	}
	return 0
}

// draw returns a random instance and the prompt of a request; deadly requests share their
// first part, subject and client account with sound ones.
func (f *simFleet) draw(share float64) (*simInstance, Prompt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[f.rng.IntN(len(f.instances))]
	first := uint64(1 + f.rng.IntN(simFirstParts))
	subject := first<<16 + uint64(float64(simSubjects)*f.rng.Float64()*f.rng.Float64())
	own := Part{ID: simOwnParts + f.rng.Uint64N(1<<40), Tokens: 500}
	prompt := Prompt{Parts: []Part{{ID: first, Tokens: 500}, {ID: subject, Tokens: 900}}, InputTokens: 2000, MaxOutputTokens: 100}
	if f.rng.Float64() < share {
		k := f.rng.IntN(len(f.deadly))
		prompt.Parts = []Part{{ID: 1, Tokens: 500}, {ID: 1<<16 + uint64(k), Tokens: 900}, {ID: f.deadly[k], Tokens: 160}}
	}
	prompt.Parts = append(prompt.Parts, own)
	return i, prompt
}

// load sends requests a second for a time, a share of them with a deadly part. A caller
// repeats a failed request once, at another instance.
func (f *simFleet) load(d time.Duration, perSecond, share float64) {
	const step = 10 * time.Millisecond
	due := 0.0
	for range int(d / step) {
		time.Sleep(step)
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			i, prompt := f.draw(share)
			go f.serve(i, prompt)
		}
	}
}

func (f *simFleet) serve(i *simInstance, prompt Prompt) {
	ctx := context.Background()
	if f.deadlyPartOf(prompt) == 0 {
		o := &simOutcome{arrived: time.Now(), first: prompt.Parts[0].ID}
		f.mu.Lock()
		f.sound = append(f.sound, o)
		f.mu.Unlock()
		ctx = context.WithValue(ctx, simRequestKey{}, o)
	}
	for range 2 {
		f.mu.Lock()
		id := fmt.Sprint("r", f.rng.Uint64())
		f.mu.Unlock()
		c := &caller{}
		i.d.Serve(ctx, &Request{
			ID: id, Host: "h", Path: "/chat/", Key: "key", Arrived: time.Now(), AnyModel: true, Prompt: prompt, Body: []byte(id),
		}, c)
		if c.ended {
			return
		}
		time.Sleep(300 * time.Millisecond)
		i, _ = f.draw(0)
	}
}
