package datastore

import "slices"

// subset chooses the servers an entry watches by rendezvous hashing of the
// entry's id with each server's. The choice is the same after a restart, a
// server that comes or goes changes one place in it, and the subsets of many
// entries overlap at random, so that load evens out between them.
type subset struct {
	seed uint64
	// size bounds the servers of one model or service; zero watches all.
	size int
}

// choose returns the servers to watch, in the order of all.
func (s subset) choose(all []*Server) []*Server {
	if s.size == 0 {
		return all
	}
	groups := make(map[string]*ranking)
	for _, server := range all {
		for _, name := range groupNames(server) {
			rankingOf(groups, name, s.size).offer(server, Mix(s.seed^server.Hash))
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

// groupNames lists the groups of which a server is a member.
func groupNames(server *Server) []string {
	if server.Settings.Service != "" {
		return []string{"service " + server.Settings.Service}
	}
	return server.Settings.Models
}

func rankingOf(groups map[string]*ranking, name string, size int) *ranking {
	group, ok := groups[name]
	if !ok {
		group = &ranking{size: size}
		groups[name] = group
	}
	return group
}

// ranking keeps the servers of the highest scores, best first.
type ranking struct {
	size int
	best []ranked
}

type ranked struct {
	server *Server
	score  uint64
}

func (r *ranking) offer(server *Server, score uint64) {
	if len(r.best) == r.size && score <= r.best[r.size-1].score {
		return
	}
	at, _ := slices.BinarySearchFunc(r.best, score, func(have ranked, score uint64) int {
		if have.score > score {
			return -1
		}
		return 1
	})
	r.best = slices.Insert(r.best, at, ranked{server: server, score: score})
	r.best = r.best[:min(len(r.best), r.size)]
}

// Mix spreads the bits of a hash, so that the combination of two hashes ranks
// like a hash of both. It is the finalizer of SplitMix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
