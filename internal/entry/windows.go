package entry

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/flowcontrol"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/scheduling"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/wait"
)

// windowInterval is the time between two settings of the windows.
const windowInterval = 500 * time.Millisecond

// windows keeps this instance's part of each pool, by its own demand and that
// of its peers.
type windows struct {
	bus    peers.Bus
	data   *datastore.Store
	admit  *flowcontrol.Controller
	shares *flowcontrol.Shares
	// changes decides when the demand is worth a message.
	changes flowcontrol.Changes
}

func newWindows(bus peers.Bus, data *datastore.Store, admit *flowcontrol.Controller) *windows {
	w := &windows{bus: bus, data: data, admit: admit, shares: flowcontrol.NewShares()}
	bus.Handle(peers.KindDemand, w.hear)
	return w
}

// hear takes a peer's demand.
func (w *windows) hear(_ context.Context, msg peers.Message) (any, error) {
	var demand flowcontrol.Demand
	if err := cbor.Unmarshal(msg.Body, &demand); err != nil {
		return nil, errors.Wrap(err, "decode demand")
	}
	w.shares.Hear(time.Now(), msg.From, demand)
	return nil, nil
}

// Run tells the demand and sets the windows until the context ends.
func (w *windows) Run(ctx context.Context) {
	wait.Every(ctx, windowInterval, w.tick)
}

func (w *windows) tick() {
	demand := w.admit.Demand()
	w.shares.Hear(time.Now(), w.bus.Self(), demand)
	if w.changes.ShouldTell(time.Now(), demand) {
		w.bus.Broadcast(peers.KindDemand, demand)
	}
	w.set(demand.Requests())
}

// set gives each pool its window, also pools that nobody asked for yet. In a
// large fleet only neighbours are heard; they and this instance share the part
// of the capacity that they are of the fleet.
func (w *windows) set(demand map[string]float64) {
	now := time.Now()
	part := w.neighbourhood()
	snap := w.data.Snapshot()
	for pool, capacity := range flowcontrol.Capacities(serverPools(snap), demand) {
		if part < 1 {
			w.admit.SetWindow(pool, w.shares.Window(now, w.bus.Self(), pool, capacity*part))
			continue
		}
		w.admit.SetShare(pool, w.slice(now, snap, pool, capacity))
	}
}

// slice is this instance's own part of every server of a pool. All instances
// must hear each other to agree on the parts.
func (w *windows) slice(now time.Time, snap *datastore.Snapshot, pool string, capacity float64) flowcontrol.Share {
	share := w.shares.Share(now, w.bus.Self(), pool, capacity)
	part := scheduling.Slice{From: share.From, To: share.To}
	if places := part.Places(serversOf(snap, pool)); places > 0 {
		share.Window = min(share.Window, float64(places))
	}
	return share
}

// serversOf lists the servers of a pool.
func serversOf(snap *datastore.Snapshot, pool string) []*datastore.Server {
	if ref, ok := settings.ParseVersionRef(pool); ok {
		return snap.ForVersion(ref)
	}
	return snap.ForService(pool)
}

// neighbourhood is the part of the fleet that hears this instance's demand: all
// of it while it is small.
func (w *windows) neighbourhood() float64 {
	listed := w.bus.Peers()
	connected := 0
	for _, peer := range listed {
		if peer.Connected {
			connected++
		}
	}
	return float64(connected+1) / float64(len(listed)+1)
}

// serverPools lists the pools of each watched server that may get work. Where
// only some servers of a kind are watched, each stands for those that are not.
func serverPools(snap *datastore.Snapshot) []flowcontrol.ServerPools {
	var list []flowcontrol.ServerPools
	weights := watchedWeights(snap)
	for _, server := range snap.Watched() {
		status := server.Status()
		if status.Down || status.Leaving {
			continue
		}
		pools := flowcontrol.ServerPools{Capacity: float64(server.Settings.Capacity) * weights[kindOf(server)]}
		for _, ref := range status.Versions {
			pools.Pools = append(pools.Pools, ref.String())
		}
		if server.Settings.Service != "" {
			pools.Pools = append(pools.Pools, server.Settings.Service)
		}
		list = append(list, pools)
	}
	return list
}

// kindOf names the servers that do the same work.
func kindOf(server *datastore.Server) string {
	return server.Settings.Service + "/" + strings.Join(server.Settings.Models, ",")
}

// watchedWeights is, by kind, how many servers each watched one stands for.
func watchedWeights(snap *datastore.Snapshot) map[string]float64 {
	all := make(map[string]float64)
	for _, server := range snap.Servers {
		all[kindOf(server)]++
	}
	watched := make(map[string]float64)
	for _, server := range snap.Watched() {
		watched[kindOf(server)]++
	}
	for kind, count := range watched {
		watched[kind] = all[kind] / count
	}
	return watched
}
