package mesh

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// FullMeshInstances is the largest fleet in which all are neighbours.
	FullMeshInstances = 9
	// rings is the number of rings in a larger fleet; each adds a predecessor
	// and a successor.
	rings = 4
	// domainMeshInstances is the largest failure domain in which all are neighbours,
	// where the mesh knows the domains; a larger one has rings of its own.
	domainMeshInstances = 24
	// outerRings is the number of rings over all instances in such a fleet.
	outerRings = 2
	// closeLinks is the number of links from a domain to each other one, at the mean,
	// from which all are surely linked: none is left out once in 3,000 times.
	closeLinks = 8
)

// topology is the shape of a fleet as one instance sees it.
type topology struct {
	self string
	// domain is the instance's failure domain; empty where it does not matter.
	domain string
}

// neighbours picks the peers to keep connections with. With domains, those of the
// own domain come first: what concerns a domain alone goes no farther, and few
// links lead out of it.
func (t topology) neighbours(others []peers.Peer) []peers.Peer {
	if t.domain == "" || len(others) < FullMeshInstances {
		return neighbours(t.self, others)
	}
	var inside []peers.Peer
	for _, p := range others {
		if p.FailureDomain == t.domain {
			inside = append(inside, p)
		}
	}
	chosen := inside
	if len(inside) >= domainMeshInstances {
		chosen = onRings(t.self, inside, 0, rings)
	}
	return union(chosen, onRings(t.self, others, rings, rings+outerRings))
}

// spread is what the relaying of broadcasts needs to know of a list of instances.
type spread struct {
	// inside are the instances of the own failure domain; empty without domains.
	inside        map[string]bool
	fullMesh      bool
	domainMesh    bool
	closelyLinked bool
}

func (t topology) spread(others []peers.Peer) spread {
	s := spread{
		inside:        make(map[string]bool),
		fullMesh:      len(others) < FullMeshInstances,
		domainMesh:    t.isDomainMesh(others),
		closelyLinked: t.isCloselyLinked(others),
	}
	for _, p := range others {
		if t.domain != "" && p.FailureDomain == t.domain {
			s.inside[p.ID] = true
		}
	}
	return s
}

// isDomainMesh reports whether all instances of the own domain are neighbours of
// each other, so that nobody need relay to them.
func (t topology) isDomainMesh(others []peers.Peer) bool {
	if t.domain == "" || len(others) < FullMeshInstances {
		return false
	}
	inside := 0
	for _, p := range others {
		if p.FailureDomain == t.domain {
			inside++
		}
	}
	return inside < domainMeshInstances
}

// isCloselyLinked reports whether so many links lead out of the own domain, whose
// instances are all linked, that each other domain is surely reached by some.
func (t topology) isCloselyLinked(others []peers.Peer) bool {
	if !t.isDomainMesh(others) {
		return false
	}
	domains := make(map[string]bool)
	inside := 1
	for _, p := range others {
		domains[p.FailureDomain] = true
		if p.FailureDomain == t.domain {
			inside++
		}
	}
	return inside*2*outerRings >= closeLinks*len(domains)
}

// union joins two lists in the order of the ids.
func union(a, b []peers.Peer) []peers.Peer {
	byID := make(map[string]peers.Peer, len(a)+len(b))
	for _, p := range a {
		byID[p.ID] = p
	}
	for _, p := range b {
		byID[p.ID] = p
	}
	list := make([]peers.Peer, 0, len(byID))
	for _, p := range byID {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// neighbours picks the peers to keep connections with. In a larger fleet each
// ring orders all instances by another hash of their ids, so both ends of a
// connection choose it, a change of the list moves few connections, and the
// graph stays connected when a failure domain is lost.
func neighbours(self string, others []peers.Peer) []peers.Peer {
	if len(others) < FullMeshInstances {
		return others
	}
	return onRings(self, others, 0, rings)
}

// onRings returns the peers next to this instance on the rings of a range.
func onRings(self string, others []peers.Peer, from, to int) []peers.Peer {
	if len(others) == 0 {
		return nil
	}
	var chosen []peers.Peer
	for ring := from; ring < to; ring++ {
		before, after := adjacent(ring, self, others)
		chosen = append(chosen, before, after)
	}
	return union(chosen, nil)
}

// adjacent returns the peers before and after this instance on a ring, in one
// pass over the list.
func adjacent(ring int, self string, others []peers.Peer) (before, after peers.Peer) {
	own := place(ring, self)
	// Distances wrap around the ring in unsigned arithmetic.
	nearestBefore, nearestAfter := ^uint64(0), ^uint64(0)
	for _, p := range others {
		at := place(ring, p.ID)
		if d := own - at; d <= nearestBefore {
			nearestBefore, before = d, p
		}
		if d := at - own; d <= nearestAfter {
			nearestAfter, after = d, p
		}
	}
	return before, after
}

func place(ring int, id string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(ring) + "/" + id)
}
