// Package serverwatch tracks the state of the backend servers: it polls the status of
// each watched server at a bounded rate, merges it with the results of attempts, the
// membership list and reports from peers, and stores the outcome in the datastore.
//
// Any of these sources can stop new work to a server, but only the server's own
// status report allows it again.
package serverwatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/httpanswer"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/tablestore"
)

const (
	// pollsPerSecond bounds the probes of one instance, about 400 bytes each.
	pollsPerSecond = 8.0
	// pollBurst allows several probes at once after an event.
	pollBurst = 16
	// pollInterval is the time between two probes of a healthy server, if the rate
	// limit allows it.
	pollInterval = 2 * time.Second
	// retryInterval is the initial wait before a failed server is probed again.
	retryInterval = 500 * time.Millisecond
	// retryIntervalMax bounds that wait, so that a recovered server is detected
	// within a few seconds.
	retryIntervalMax = 2 * time.Second
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// drainingHold is how long a server that refused work because it is draining counts
	// as draining, whatever the same process reports later.
	drainingHold = 30 * time.Second
)

// Options holds the dependencies of a Watcher.
type Options struct {
	Store  *datastore.Store
	Client *http.Client
	Bus    peers.Bus
	Chart  *statechart.Chart
	Rand   *rand.Rand
	Logger *events.Logger
}

// ServerState is the state of one server, as returned by States.
type ServerState struct {
	Server string `json:"server"`
	// Process is the id of the server's process.
	Process string           `json:"instance"`
	State   statechart.State `json:"state"`
	// Ejected is set while the server gets no work because attempts on it failed.
	Ejected bool `json:"ejected"`
}

// Watcher tracks the watched servers. It is safe for concurrent use.
type Watcher struct {
	store   *datastore.Store
	client  *http.Client
	bus     peers.Bus
	chart   *statechart.Chart
	logger  *events.Logger
	limiter *rate.Limiter
	wake    chan struct{}
	probes  sync.WaitGroup
	// crashChecks merges concurrent crash checks of the same process.
	crashChecks singleflight.Group

	mu      sync.Mutex
	rand    *rand.Rand
	servers map[string]*tracked
}

// tracked is one watched server.
type tracked struct {
	machine *statechart.Machine
	status  datastore.Status
	address string
	due     time.Time
	probing bool
	// failures is the number of consecutive failed probes.
	failures int
	// listedDraining is set while the membership list marks the server as draining.
	listedDraining bool
	// refusedAt is when the process refusedProcess last refused work because it was
	// draining, or a peer last reported it as draining.
	refusedAt      time.Time
	refusedProcess string
	ejection       ejection
}

// New returns a Watcher and registers its message handler on the bus.
func New(o Options) *Watcher {
	w := &Watcher{
		store:   o.Store,
		client:  httpanswer.NewClient(o.Client),
		bus:     o.Bus,
		chart:   o.Chart,
		logger:  o.Logger,
		limiter: rate.NewLimiter(pollsPerSecond, pollBurst),
		wake:    make(chan struct{}, 1),
		rand:    o.Rand,
		servers: make(map[string]*tracked),
	}
	o.Bus.Handle(peers.KindServerState, w.handleState)
	return w
}

// Run probes the watched servers until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.probes.Wait()
	for {
		w.sync()
		timer := time.NewTimer(w.startDue(ctx))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-w.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// sync starts tracking the servers that are newly watched or have a new address, and drops
// those that are no longer watched.
func (w *Watcher) sync() {
	watched := w.store.Snapshot().Watched()
	w.mu.Lock()
	defer w.mu.Unlock()
	listed := make(map[string]bool, len(watched))
	for _, server := range watched {
		listed[server.ID] = true
		if t, ok := w.servers[server.ID]; !ok || t.address != server.Settings.Address {
			w.servers[server.ID] = w.track(server)
		}
	}
	maps.DeleteFunc(w.servers, func(id string, _ *tracked) bool { return !listed[id] })
}

// track returns the initial state of a server; its first probe is due at once.
func (w *Watcher) track(server *datastore.Server) *tracked {
	t := &tracked{
		machine: statechart.NewMachine(w.chart),
		status:  *server.Status(),
		address: server.Settings.Address,
		due:     time.Now(),
	}
	t.machine.OnChange(func(from, to statechart.State, _ statechart.Event) {
		w.logger.Log(events.ServerStateChanged, events.Fields{Server: server.ID, Reason: string(from) + " to " + string(to)})
	})
	return t
}

// signal wakes Run without blocking.
func (w *Watcher) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// SetMembers applies the backend servers of the membership list. A server listed as
// draining gets no new work, whatever it reports itself.
func (w *Watcher) SetMembers(list []tablestore.Member) {
	draining := make(map[string]bool)
	for _, m := range list {
		draining[m.ID] = m.Kind == tablestore.MemberServer && m.Draining
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, t := range w.servers {
		if draining[id] != t.listedDraining {
			t.listedDraining = draining[id]
			w.updateStatus(id, t)
		}
	}
}

// States lists the watched servers, ordered by id.
func (w *Watcher) States() []ServerState {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	list := make([]ServerState, 0, len(w.servers))
	for _, id := range slices.Sorted(maps.Keys(w.servers)) {
		t := w.servers[id]
		list = append(list, ServerState{
			Server: id, Process: t.status.Process, State: t.machine.State(), Ejected: t.ejection.active(now),
		})
	}
	return list
}
