package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/flowcontrol"
	"github.com/basilrail/basilrail/internal/scheduling"
	"github.com/basilrail/basilrail/internal/settings"
)

const (
	poolServers  = 18
	poolCapacity = 8
	poolName     = "large@v1"
	// hopDelay is the time from an instance to a backend server, one way.
	hopDelay = time.Millisecond
	// reportInterval and reportLag are the interval and the delay of the engines'
	// load reports.
	reportInterval = time.Second
	reportLag      = 500 * time.Millisecond
	// demandInterval is the time between two demand messages of an instance.
	demandInterval = 2 * time.Second
	// warmUp is the start of a run that is excluded from the results.
	warmUp = 30 * time.Second
	// runTime is the length of a run.
	runTime = 30 * time.Minute
	// firstTokenTarget is the maximum time to first token that counts as in time.
	firstTokenTarget = 1300 * time.Millisecond
)

// The indexes of the servers that have a fault in a faulty run.
const (
	nonReportingServer = iota
	misreportingServer
	slowServer
)

// arrival is one request of a client account.
type arrival struct {
	at      time.Time
	account settings.AccountID
	// instance is a random number that selects the instance.
	instance int
	input    int
	output   int
}

func (a *arrival) tokens() int64 { return int64(a.input + a.output) }

// arrivals draws a client account's requests, which arrive at random times at the
// rate perSecond.
func arrivals(account settings.AccountID, perSecond float64, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, uint64(perSecond*1_000)))
	var list []arrival
	at := time.Unix(0, 0)
	for {
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / perSecond))
		if at.Sub(time.Unix(0, 0)) > runTime {
			return list
		}
		list = append(list, arrival{
			at: at, account: account, instance: rng.Int(),
			input:  1 + int(400*math.Exp(0.7*rng.NormFloat64())),
			output: 1 + int(150*math.Exp(0.5*rng.NormFloat64())),
		})
	}
}

// poolOptions holds the parameters that differ between runs.
type poolOptions struct {
	fair          bool
	instanceCount int
	// declared is the capacity that the settings declare for a server.
	declared int
	// slowdown multiplies the duration of the engines' steps; 1 is the normal speed.
	slowdown float64
	// pick chooses a server; if nil, the router's scheduler does.
	pick pickFunc
	// faulty gives three servers one fault each: one reports zero load, one sends
	// no reports and one runs at a third of its speed.
	faulty bool
	// adaptive adjusts the windows by the observed times to first token.
	adaptive bool
}

// poolResult holds the results of a run after the warm-up.
type poolResult struct {
	// firstTokens are the times to first token by client account.
	firstTokens map[settings.AccountID][]time.Duration
	// tokens is the number of tokens of all completed requests, and inTime that of the
	// completed requests whose first token was in time.
	tokens  int64
	inTime  int64
	refused int
}

// poolRun is one run of instances in front of a pool of engines.
type poolRun struct {
	poolOptions
	sim       *simulation
	rng       *rand.Rand
	engines   map[string]*engine
	serverIDs []string
	instances []*poolInstance
	result    poolResult
	seq       int
}

// poolInstance is one instance of a poolRun.
type poolInstance struct {
	id     string
	store  *datastore.Store
	queue  admitter
	shares *flowcontrol.Shares
	window *adaptiveWindow
	slice  scheduling.Slice
}

func runPool(options poolOptions, seed uint64, lists ...[]arrival) *poolResult {
	r := &poolRun{
		poolOptions: options,
		sim:         &simulation{now: time.Unix(0, 0)},
		rng:         rand.New(rand.NewPCG(seed, 72)),
		engines:     make(map[string]*engine),
		result:      poolResult{firstTokens: make(map[settings.AccountID][]time.Duration)},
	}
	r.addEngines()
	r.addInstances()
	for _, list := range lists {
		r.scheduleArrivals(list)
	}
	r.every(reportInterval, r.report)
	r.every(demandInterval, r.exchangeDemand)
	r.sim.runUntil(time.Unix(0, 0).Add(runTime))
	return &r.result
}

func (r *poolRun) addEngines() {
	for i := range poolServers {
		id := fmt.Sprintf("server-%02d", i)
		r.serverIDs = append(r.serverIDs, id)
		slowdown := r.slowdown
		if r.faulty && i == slowServer {
			slowdown *= 3
		}
		r.engines[id] = &engine{
			sim: r.sim, capacity: poolCapacity, slowdown: slowdown, honoursPriority: r.fair,
		}
	}
}

func (r *poolRun) addInstances() {
	tree := settings.Tree{Servers: make(map[string]settings.Server)}
	for _, id := range r.serverIDs {
		tree.Servers[id] = settings.Server{Models: []string{expensiveVersion.Model}, Capacity: r.declared}
	}
	for i := range r.instanceCount {
		instance := &poolInstance{
			id: fmt.Sprintf("entry-%d", i), store: datastore.New(), shares: flowcontrol.NewShares(),
			window: newAdaptiveWindow(),
		}
		instance.store.SetSettings(settings.Compile(1, tree))
		for _, id := range r.serverIDs {
			instance.store.SetStatus(id, datastore.Status{Versions: []settings.VersionRef{expensiveVersion}})
		}
		instance.queue = newAdmitter(r.fair, float64(poolServers*r.declared)/float64(r.instanceCount))
		r.instances = append(r.instances, instance)
	}
}

// scheduleArrivals schedules the arrivals of a list, each after the one before.
func (r *poolRun) scheduleArrivals(list []arrival) {
	if len(list) == 0 {
		return
	}
	r.sim.after(list[0].at.Sub(r.sim.now), func() {
		r.arrive(&list[0])
		r.scheduleArrivals(list[1:])
	})
}

func (r *poolRun) every(interval time.Duration, run func()) {
	r.sim.after(interval, func() {
		run()
		r.every(interval, run)
	})
}

func (r *poolRun) arrive(a *arrival) {
	instance := r.instances[a.instance%len(r.instances)]
	if !instance.queue.offer(r.sim.now, a) {
		if r.isMeasured() {
			r.result.refused++
		}
		return
	}
	r.start(instance)
}

func (r *poolRun) isMeasured() bool { return r.sim.now.Sub(time.Unix(0, 0)) >= warmUp }

// start sends every request of an instance that may start now.
func (r *poolRun) start(instance *poolInstance) {
	for {
		started, ok := instance.queue.next(r.sim.now)
		if !ok {
			return
		}
		r.send(instance, started)
	}
}

func (r *poolRun) send(instance *poolInstance, s admittedRequest) {
	a := s.arrival
	server := r.choose(instance, a)
	server.Begin(a.tokens())
	r.seq++
	sentAt := r.sim.now
	var inTime bool
	j := &job{seq: r.seq, priority: s.priority, input: a.input, output: a.output}
	j.onFirstToken = func() {
		ttft := r.sim.now.Add(hopDelay).Sub(a.at)
		inTime = ttft <= firstTokenTarget
		instance.window.observe(r.sim.now.Add(hopDelay).Sub(sentAt) <= firstTokenTarget)
		if r.isMeasured() {
			r.result.firstTokens[a.account] = append(r.result.firstTokens[a.account], ttft)
		}
	}
	j.onDone = func() {
		server.End(a.tokens())
		instance.queue.finish(r.sim.now, s)
		r.countDone(a, inTime)
		r.start(instance)
	}
	r.sim.after(hopDelay, func() { r.engines[server.ID].submit(j) })
}

func (r *poolRun) countDone(a *arrival, inTime bool) {
	if !r.isMeasured() {
		return
	}
	r.result.tokens += a.tokens()
	if inTime {
		r.result.inTime += a.tokens()
	}
}

// pickFunc chooses one of a list of servers.
type pickFunc func(servers []*datastore.Server, rng *rand.Rand) *datastore.Server

func (r *poolRun) choose(instance *poolInstance, a *arrival) *datastore.Server {
	snap := instance.store.Snapshot()
	if r.pick != nil {
		return r.pick(snap.ForVersion(expensiveVersion), r.rng)
	}
	decision, err := scheduling.Pick(snap, scheduling.Request{
		Version: expensiveVersion, Tokens: a.tokens(), Now: r.sim.now, Slice: instance.slice,
	}, r.rng)
	if err != nil {
		// Every server of the fake pool is always up.
		panic(err)
	}
	return decision.Server
}

// report sends every engine's present load to the instances, where it arrives
// after reportLag.
func (r *poolRun) report() {
	for i, id := range r.serverIDs {
		queued, running := r.engines[id].load()
		if r.faulty && i == nonReportingServer {
			continue
		}
		if r.faulty && i == misreportingServer {
			queued, running = 0, 0
		}
		r.sim.after(reportLag, func() {
			for _, instance := range r.instances {
				instance.store.SetStatus(id, datastore.Status{
					Versions: []settings.VersionRef{expensiveVersion}, QueuedTokens: queued, RunningTokens: running,
					ReportedAt: r.sim.now,
				})
			}
		})
	}
}

// exchangeDemand gives every instance the demand of all and updates the
// windows.
func (r *poolRun) exchangeDemand() {
	demands := make([]flowcontrol.Demand, len(r.instances))
	for i, instance := range r.instances {
		demands[i] = instance.queue.demand(r.sim.now)
	}
	for _, instance := range r.instances {
		for i, from := range r.instances {
			instance.shares.Record(r.sim.now, from.id, demands[i])
		}
		share := instance.shares.Share(r.sim.now, instance.id, poolName, float64(poolServers*r.declared))
		factor := 1.0
		if r.adaptive {
			factor = instance.window.current()
			share.Window *= factor
		}
		if r.fair {
			instance.slice = scheduling.Slice{From: share.From * factor, To: share.To * factor}
			slots := instance.slice.Slots(instance.store.Snapshot().ForVersion(expensiveVersion))
			instance.queue.setWindow(min(share.Window, float64(slots)))
		}
		r.start(instance)
	}
}
