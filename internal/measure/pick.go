package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
)

func init() { Register(35, "pick", measurePick) }

// pickRate is requests per second, about three quarters of the pool's capacity.
const pickRate = 24

// measurePick compares the router's choice of servers with random choice and round
// robin, at a load that the pool can serve.
func measurePick(seed uint64) []Row {
	return []Row{
		pickRow("all servers well", poolOptions{fair: true, instanceCount: 8, declared: poolCapacity, slowdown: 1}, seed),
		pickRow("one server not reporting, one misreporting, one slow",
			poolOptions{fair: true, instanceCount: 8, declared: poolCapacity, slowdown: 1, faulty: true}, seed),
	}
}

func pickRow(desc string, options poolOptions, seed uint64) Row {
	requests := arrivals(largeAccount, pickRate, seed)
	ours := runPool(options, seed, requests).largeP95()
	options.pick = pickRandom
	random := runPool(options, seed, requests).largeP95()
	options.pick = newRoundRobin()
	roundRobin := runPool(options, seed, requests).largeP95()
	return Row{
		Name:     "pick, p95 time to first token, " + desc,
		Baseline: fmt.Sprintf("round robin %s, random %s", round(roundRobin), round(random)),
		Ours:     round(ours).String(),
		Target:   "below both",
		Pass:     ours < min(random, roundRobin),
	}
}

func (r *poolResult) largeP95() time.Duration { return percentile95(r.firstTokens[largeAccount]) }

func pickRandom(servers []*datastore.Server, rng *rand.Rand) *datastore.Server {
	return servers[rng.IntN(len(servers))]
}

// newRoundRobin returns a pickFunc that uses the servers in turn.
func newRoundRobin() pickFunc {
	next := 0
	return func(servers []*datastore.Server, _ *rand.Rand) *datastore.Server {
		next++
		return servers[next%len(servers)]
	}
}
