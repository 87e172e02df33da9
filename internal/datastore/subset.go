package datastore

import "slices"

// subset selects the servers that an instance watches, by rendezvous hashing of
// the instance's id with the id of each server. The selection is the same after
// a restart, and a server added or removed changes at most one member of each
// group. The subsets of different instances overlap at random, which balances
// load across servers.
type subset struct {
	seed uint64
	// size is the maximum number of servers per model or service. Zero means all.
	size int
}

// choose returns the selected servers in the order of all.
func (s subset) choose(all []*Server) []*Server {
	if s.size == 0 {
		return all
	}
	groups := make(map[string]*topServers)
	for _, server := range all {
		for _, name := range groupNames(server) {
			groupOf(groups, name, s.size).offer(server, MixHash(s.seed^server.Hash))
		}
	}
	chosen := make(map[*Server]bool)
	for _, group := range groups {
		for _, r := range group.best {
			chosen[r.server] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(all), func(server *Server) bool { return !chosen[server] })
}

// groupNames returns the groups of a server: its service or its models.
func groupNames(server *Server) []string {
	if server.Settings.Service != "" {
		return []string{"service " + server.Settings.Service}
	}
	return server.Settings.Models
}

func groupOf(groups map[string]*topServers, name string, size int) *topServers {
	group, ok := groups[name]
	if !ok {
		group = &topServers{size: size}
		groups[name] = group
	}
	return group
}

// topServers holds the servers with the highest scores, in descending order.
type topServers struct {
	size int
	best []scoredServer
}

type scoredServer struct {
	server *Server
	score  uint64
}

func (r *topServers) offer(server *Server, score uint64) {
	if len(r.best) == r.size && score <= r.best[r.size-1].score {
		return
	}
	at, _ := slices.BinarySearchFunc(r.best, score, func(existing scoredServer, score uint64) int {
		if existing.score > score {
			return -1
		}
		return 1
	})
	r.best = slices.Insert(r.best, at, scoredServer{server: server, score: score})
	r.best = r.best[:min(len(r.best), r.size)]
}

// MixHash spreads the bits of x, so that two hashes combined with XOR rank like a
// hash of both inputs. It is the finalizer of SplitMix64.
func MixHash(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
