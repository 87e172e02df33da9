// Package entry assembles an entry instance from its components and runs it
// from startup to graceful shutdown.
package entry

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"

	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/cascade"
	"github.com/basilrail/basilrail/internal/claim"
	"github.com/basilrail/basilrail/internal/configsync"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/explain"
	"github.com/basilrail/basilrail/internal/flowcontrol"
	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/httpanswer"
	"github.com/basilrail/basilrail/internal/membership"
	"github.com/basilrail/basilrail/internal/metrics"
	"github.com/basilrail/basilrail/internal/modelcommands"
	"github.com/basilrail/basilrail/internal/peers/mesh"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/rollout"
	"github.com/basilrail/basilrail/internal/serverwatch"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/staticconfig"
	"github.com/basilrail/basilrail/internal/tablestore/commitrelay"
	"github.com/basilrail/basilrail/internal/tablestore/groupcommit"
	"github.com/basilrail/basilrail/internal/tablestore/httptable"
	"github.com/basilrail/basilrail/internal/tracing"
)

// Options holds the configuration and dependencies of an Instance.
type Options struct {
	Config *staticconfig.Config
	// Listen opens a listener on an "ip:port" address.
	Listen func(address string) (net.Listener, error)
	// Dial opens a connection, like net.Dialer.DialContext.
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Log     *events.Logger
	Tracing *tracing.Tracing
	// Seed makes random decisions reproducible; zero selects a random seed.
	Seed uint64
}

// Instance routes callers' requests to backend servers.
type Instance struct {
	opts   Options
	cfg    *staticconfig.Config
	log    *events.Logger
	charts *statechart.Set
	seeds  *rand.Rand

	mesh       *mesh.Mesh
	data       *datastore.Store
	platform   *httptable.Client
	relay      *commitrelay.Relay
	committer  *groupcommit.Committer
	members    *membership.Watcher
	syncer     *configsync.Syncer
	claims     *claim.Service
	ledger     *billing.Ledger
	suspects   *quarantine.Quarantine
	rollouts   *rollout.Controller
	planner    *cascade.Planner
	admission  *flowcontrol.Controller
	windows    *windows
	watcher    *serverwatch.Watcher
	commands   *modelcommands.Issuer
	ratingSync *ratingSync
	explain    *explain.Store
	metrics    *metrics.Registry
	backend    *backend.Client
	gateway    *gateway.Gateway
	lifecycle  *lifecycle

	// serverTransport carries all calls to backend servers.
	serverTransport http.RoundTripper
	servers         []*http.Server
	transports      []*httpanswer.Transport
	loops           sync.WaitGroup
	// aborted is closed by abort.
	aborted chan struct{}
}

// newRand returns an independent random source for one component.
func (i *Instance) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(i.seeds.Uint64(), i.seeds.Uint64()))
}

// newSeedSource returns the source of the components' seeds. It depends on the
// instance id, so that instances with the same seed still differ.
func newSeedSource(seed uint64, instance string) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	hash := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = hash.Write([]byte(instance))
	return rand.New(rand.NewPCG(seed, hash.Sum64()))
}

// goLoop starts a background loop that Run waits for.
func (i *Instance) goLoop(ctx context.Context, loop func(context.Context)) {
	i.loops.Go(func() { loop(ctx) })
}
