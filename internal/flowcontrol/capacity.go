package flowcontrol

// ServerPools lists the pools that one backend server serves.
type ServerPools struct {
	// Capacity is the number of requests that the server runs concurrently.
	Capacity float64
	Pools    []string
}

// idleDemand is added to the demand of every pool, in requests, so that an idle
// pool has capacity for its first request.
const idleDemand = 1

// Capacities returns the capacity of each pool, in requests. The capacity of a
// server that serves several pools is split among them in proportion to their
// demand, in requests.
func Capacities(servers []ServerPools, demand map[string]float64) map[string]float64 {
	capacities := make(map[string]float64)
	for _, server := range servers {
		total := 0.0
		for _, pool := range server.Pools {
			total += demand[pool] + idleDemand
		}
		for _, pool := range server.Pools {
			capacities[pool] += server.Capacity * (demand[pool] + idleDemand) / total
		}
	}
	return capacities
}

// Requests returns the total demand on each pool, in requests.
func (d Demand) Requests() map[string]float64 {
	sums := make(map[string]float64, len(d.Pools))
	for _, pool := range d.Pools {
		for _, account := range pool.Accounts {
			sums[pool.Pool] += float64(account.Requests)
		}
	}
	return sums
}
