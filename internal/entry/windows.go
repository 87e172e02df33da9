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

// windowInterval is the interval between updates of the windows.
const windowInterval = 500 * time.Millisecond

// windows updates this instance's concurrency window for each pool from its own
// demand and the demand of its peers.
type windows struct {
	bus       peers.Bus
	data      *datastore.Store
	admission *flowcontrol.Controller
	shares    *flowcontrol.Shares
	// changes decides when to broadcast the demand.
	changes flowcontrol.Changes
}

func newWindows(bus peers.Bus, data *datastore.Store, admission *flowcontrol.Controller) *windows {
	w := &windows{bus: bus, data: data, admission: admission, shares: flowcontrol.NewShares()}
	bus.Handle(peers.KindDemand, w.handleDemand)
	return w
}

// handleDemand records a peer's demand.
func (w *windows) handleDemand(_ context.Context, msg peers.Message) (any, error) {
	var demand flowcontrol.Demand
	if err := cbor.Unmarshal(msg.Body, &demand); err != nil {
		return nil, errors.Wrap(err, "decode demand")
	}
	w.shares.Record(time.Now(), msg.From, demand)
	return nil, nil
}

// Run broadcasts the demand and updates the windows until the context ends.
func (w *windows) Run(ctx context.Context) {
	wait.Every(ctx, windowInterval, w.tick)
}

func (w *windows) tick() {
	demand := w.admission.Demand()
	w.shares.Record(time.Now(), w.bus.Self(), demand)
	if w.changes.ShouldSend(time.Now(), demand) {
		w.bus.Broadcast(peers.KindDemand, demand)
	}
	w.applyWindows(demand.Requests())
}

// applyWindows sets the window of each pool, including pools without requests.
// In a large fleet only connected peers exchange demand; they and this instance
// then share the fraction of the capacity that corresponds to their fraction of
// the fleet.
func (w *windows) applyWindows(demand map[string]float64) {
	now := time.Now()
	fraction := w.connectedFraction()
	snap := w.data.Snapshot()
	for pool, capacity := range flowcontrol.Capacities(serverPools(snap), demand) {
		if fraction < 1 {
			w.admission.SetWindow(pool, w.shares.Window(now, w.bus.Self(), pool, capacity*fraction))
			continue
		}
		w.admission.SetShare(pool, w.poolShare(now, snap, pool, capacity))
	}
}

// poolShare returns this instance's share of every server of a pool. The shares
// are consistent only if all instances receive each other's demand.
func (w *windows) poolShare(now time.Time, snap *datastore.Snapshot, pool string, capacity float64) flowcontrol.Share {
	share := w.shares.Share(now, w.bus.Self(), pool, capacity)
	slice := scheduling.Slice{From: share.From, To: share.To}
	if slots := slice.Slots(serversOf(snap, pool)); slots > 0 {
		share.Window = min(share.Window, float64(slots))
	}
	return share
}

// serversOf returns the servers of a pool, which is a version or a service.
func serversOf(snap *datastore.Snapshot, pool string) []*datastore.Server {
	if ref, ok := settings.ParseVersionRef(pool); ok {
		return snap.ForVersion(ref)
	}
	return snap.ForService(pool)
}

// connectedFraction returns the fraction of the fleet that receives this
// instance's demand, itself included: 1 in a small fleet.
func (w *windows) connectedFraction() float64 {
	listed := w.bus.Peers()
	connected := 0
	for _, peer := range listed {
		if peer.Connected {
			connected++
		}
	}
	return float64(connected+1) / float64(len(listed)+1)
}

// serverPools returns the pools of each watched server that may receive work. If
// only some servers of a kind are watched, their capacity is scaled up to account
// for the others.
func serverPools(snap *datastore.Snapshot) []flowcontrol.ServerPools {
	var list []flowcontrol.ServerPools
	weights := watchedWeights(snap)
	for _, server := range snap.Watched() {
		status := server.Status()
		if status.Down || status.Draining {
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

// kindOf returns a key shared by all servers with the same service and models.
func kindOf(server *datastore.Server) string {
	return server.Settings.Service + "/" + strings.Join(server.Settings.Models, ",")
}

// watchedWeights returns, by kind, the number of servers per watched server.
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
