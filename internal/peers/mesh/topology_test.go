package mesh

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/peers"
)

const (
	fleetInstances = 1200
	fleetDomains   = 19
)

func fleetPeers(n, domains int) []peers.Peer {
	list := make([]peers.Peer, n)
	for i := range list {
		list[i] = peers.Peer{ID: instanceID(i), FailureDomain: fmt.Sprintf("domain-%d", i%domains)}
	}
	return list
}

// graph returns the neighbours of each peer by id.
func graph(all []peers.Peer) map[string][]peers.Peer {
	g := make(map[string][]peers.Peer, len(all))
	others := make([]peers.Peer, 0, len(all)-1)
	for i, p := range all {
		others = append(append(others[:0], all[:i]...), all[i+1:]...)
		g[p.ID] = append([]peers.Peer(nil), neighbours(p.ID, others)...)
	}
	return g
}

// reach counts the peers reachable from start, itself included, without passing
// through the lost domains.
func reach(g map[string][]peers.Peer, start peers.Peer, lost map[string]bool) int {
	visited := map[string]bool{start.ID: true}
	queue := []string{start.ID}
	for len(queue) > 0 {
		for _, p := range g[queue[0]] {
			if !visited[p.ID] && !lost[p.FailureDomain] {
				visited[p.ID] = true
				queue = append(queue, p.ID)
			}
		}
		queue = queue[1:]
	}
	return len(visited)
}

func TestNeighboursStayConnectedWhenTwoDomainsFail(t *testing.T) {
	all := fleetPeers(fleetInstances, fleetDomains)
	g := graph(all)
	elsewhere, links := 0, 0
	for _, p := range all {
		require.LessOrEqual(t, len(g[p.ID]), 2*rings)
		for _, q := range g[p.ID] {
			require.Contains(t, g[q.ID], p, "both ends must choose the link")
			links++
			if q.FailureDomain != p.FailureDomain {
				elsewhere++
			}
		}
	}
	require.Greater(t, 2*elsewhere, links)
	for a := range fleetDomains {
		for b := range a + 1 {
			lost := map[string]bool{fmt.Sprintf("domain-%d", a): true, fmt.Sprintf("domain-%d", b): true}
			alive := 0
			var start peers.Peer
			for _, p := range all {
				if !lost[p.FailureDomain] {
					start = p
					alive++
				}
			}
			require.Equal(t, alive, reach(g, start, lost), "lost %d and %d", a, b)
		}
	}
}

func TestRemovingOneInstanceChangesFewLinks(t *testing.T) {
	all := fleetPeers(fleetInstances, fleetDomains)
	before, after := graph(all), graph(all[1:])
	moved := 0
	for _, p := range all[1:] {
		known := make(map[string]bool)
		for _, q := range before[p.ID] {
			known[q.ID] = true
		}
		for _, q := range after[p.ID] {
			if !known[q.ID] {
				moved++
			}
		}
	}
	require.LessOrEqual(t, moved, 2*rings)
}

func TestSmallFleetIsFullyConnected(t *testing.T) {
	for n := 1; n <= FullMeshInstances; n++ {
		all := fleetPeers(n, 4)
		for id, list := range graph(all) {
			require.Len(t, list, n-1, id)
		}
	}
}
