package flowcontrol

// ServerPools is the pools that one backend server serves.
type ServerPools struct {
	// Capacity is the number of requests the server runs at once.
	Capacity float64
	Pools    []string
}

// idleDemand is the demand that a pool without requests counts with, so that
// its first request finds room.
const idleDemand = 1

// Capacities adds up the capacity of each pool. A server that serves several
// pools is split among them by their demand, in requests.
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

// Requests adds up each pool's demand.
func (d Demand) Requests() map[string]float64 {
	sums := make(map[string]float64, len(d.Pools))
	for _, pool := range d.Pools {
		for _, account := range pool.Accounts {
			sums[pool.Pool] += float64(account.Requests)
		}
	}
	return sums
}
