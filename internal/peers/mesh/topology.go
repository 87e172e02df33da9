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
)

// neighbours picks the peers to keep connections with. In a larger fleet each
// ring orders all instances by another hash of their ids, so both ends of a
// connection choose it, a change of the list moves few connections, and the
// graph stays connected when a failure domain is lost.
func neighbours(self string, others []peers.Peer) []peers.Peer {
	if len(others) < FullMeshInstances {
		return others
	}
	chosen := make(map[string]peers.Peer, 2*rings)
	for ring := range rings {
		before, after := adjacent(ring, self, others)
		chosen[before.ID] = before
		chosen[after.ID] = after
	}
	list := make([]peers.Peer, 0, len(chosen))
	for _, p := range chosen {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
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
