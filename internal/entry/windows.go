package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/flowcontrol"
	"github.com/basilrail/basilrail/internal/peers"
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
	every(ctx, windowInterval, w.tick)
}

func (w *windows) tick() {
	demand := w.admit.Demand()
	w.shares.Hear(time.Now(), w.bus.Self(), demand)
	if len(demand.Pools) > 0 {
		w.bus.Broadcast(peers.KindDemand, demand)
	}
	w.set(demand.Requests())
}

// set gives each pool its window, also pools that nobody asked for yet.
func (w *windows) set(demand map[string]float64) {
	now := time.Now()
	for pool, capacity := range flowcontrol.Capacities(serverPools(w.data.Snapshot()), demand) {
		w.admit.SetWindow(pool, w.shares.Window(now, w.bus.Self(), pool, capacity))
	}
}

// serverPools lists the pools of each server that may get work.
func serverPools(snap *datastore.Snapshot) []flowcontrol.ServerPools {
	var list []flowcontrol.ServerPools
	for _, server := range snap.Watched() {
		status := server.Status()
		if status.Down || status.Leaving {
			continue
		}
		pools := flowcontrol.ServerPools{Capacity: float64(server.Settings.Capacity)}
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
