package mesh

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// FullMeshInstances is the largest fleet in which all instances are neighbours.
	FullMeshInstances = 9
	// rings is the number of hash rings in a larger fleet; each ring gives an
	// instance two neighbours, a predecessor and a successor.
	rings = 4
	// domainMeshInstances is the largest failure domain in which all instances are
	// neighbours, if failure domains are configured; a larger domain has rings of its
	// own.
	domainMeshInstances = 40
	// outerRings is the number of rings over all instances if failure domains are
	// configured.
	outerRings = 2
	// denseDomainLinks is the mean number of links to each other domain from which a
	// domain counts as densely linked. The probability that a given other domain has
	// no link is then about 1 in 3,000.
	denseDomainLinks = 8
)

// topology selects the neighbours of one instance.
type topology struct {
	self string
	// domain is the instance's failure domain, or empty if domains are not used.
	domain string
}

// neighbours returns the peers to keep links with. If failure domains are used, most
// links are inside the own domain, so that messages that concern only the domain stay
// in it, and few links lead out of it.
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
		chosen = ringNeighbours(t.self, inside, 0, rings)
	}
	return union(chosen, ringNeighbours(t.self, others, rings, rings+outerRings))
}

// fleetShape holds the properties of the instance list that relaying depends on.
type fleetShape struct {
	// inside contains the instances of the own failure domain; empty if domains are
	// not used.
	inside        map[string]bool
	fullMesh      bool
	domainMesh    bool
	denselyLinked bool
}

func (t topology) fleetShape(others []peers.Peer) fleetShape {
	s := fleetShape{
		inside:        make(map[string]bool),
		fullMesh:      len(others) < FullMeshInstances,
		domainMesh:    t.isDomainMesh(others),
		denselyLinked: t.isDenselyLinked(others),
	}
	for _, p := range others {
		if t.domain != "" && p.FailureDomain == t.domain {
			s.inside[p.ID] = true
		}
	}
	return s
}

// isDomainMesh reports whether all instances of the own domain are neighbours of each
// other, so that broadcasts need not be relayed inside the domain.
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

// isDenselyLinked reports whether the own domain is fully linked and has enough links
// out of it that practically every other domain has at least one of them.
func (t topology) isDenselyLinked(others []peers.Peer) bool {
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
	return inside*2*outerRings >= denseDomainLinks*len(domains)
}

// union returns the peers of both lists without duplicates, ordered by id.
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

// neighbours returns the peers to keep links with if failure domains are not used. In
// a larger fleet each ring orders all instances by a different hash of their ids, so
// both ends of a link choose it, a change of the list changes few links, and the graph
// stays connected when a failure domain fails.
func neighbours(self string, others []peers.Peer) []peers.Peer {
	if len(others) < FullMeshInstances {
		return others
	}
	return ringNeighbours(self, others, 0, rings)
}

// ringNeighbours returns the peers adjacent to this instance on the rings [from, to).
func ringNeighbours(self string, others []peers.Peer, from, to int) []peers.Peer {
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

// adjacent returns the predecessor and the successor of this instance on a ring, in one
// pass over the list.
func adjacent(ring int, self string, others []peers.Peer) (before, after peers.Peer) {
	own := ringPosition(ring, self)
	// Distances wrap around the ring in unsigned arithmetic.
	nearestBefore, nearestAfter := ^uint64(0), ^uint64(0)
	for _, p := range others {
		at := ringPosition(ring, p.ID)
		if d := own - at; d <= nearestBefore {
			nearestBefore, before = d, p
		}
		if d := at - own; d <= nearestAfter {
			nearestAfter, after = d, p
		}
	}
	return before, after
}

func ringPosition(ring int, id string) uint64 {
	return xxhash.Sum64String(strconv.Itoa(ring) + "/" + id)
}
