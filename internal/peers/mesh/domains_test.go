package mesh

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/peers"
)

func domainFleet(domains, each int) []peers.Peer {
	var list []peers.Peer
	for d := range domains {
		for i := range each {
			list = append(list, peers.Peer{ID: fmt.Sprintf("d%d-%d", d, i), FailureDomain: fmt.Sprint("d", d)})
		}
	}
	return list
}

func others(all []peers.Peer, self string) []peers.Peer {
	var list []peers.Peer
	for _, p := range all {
		if p.ID != self {
			list = append(list, p)
		}
	}
	return list
}

func TestDomainTopologyBoundsNeighboursAndIsSymmetric(t *testing.T) {
	for _, fleet := range []struct{ domains, each, maxNeighbours int }{{4, 17, 20}, {3, 3, 8}, {19, 63, 12}} {
		all := domainFleet(fleet.domains, fleet.each)
		chosen := make(map[string]map[string]bool, len(all))
		for _, p := range all {
			chosen[p.ID] = make(map[string]bool)
			for _, n := range (topology{self: p.ID, domain: p.FailureDomain}).neighbours(others(all, p.ID)) {
				chosen[p.ID][n.ID] = true
			}
			assert.LessOrEqual(t, len(chosen[p.ID]), fleet.maxNeighbours, p.ID)
		}
		for id, list := range chosen {
			for neighbour := range list {
				assert.True(t, chosen[neighbour][id], "%s and %s must both choose their link", id, neighbour)
			}
		}
	}
}

func TestDomainMeshStaysConnectedWhenADomainFails(t *testing.T) {
	all := domainFleet(4, 17)
	for lost := range 4 {
		var alive []peers.Peer
		for _, p := range all {
			if p.FailureDomain != fmt.Sprint("d", lost) {
				alive = append(alive, p)
			}
		}
		reached := map[string]bool{alive[0].ID: true}
		queue := []peers.Peer{alive[0]}
		for len(queue) > 0 {
			p := queue[0]
			queue = queue[1:]
			// The list still contains the lost instances.
			for _, n := range (topology{self: p.ID, domain: p.FailureDomain}).neighbours(others(all, p.ID)) {
				if n.FailureDomain != fmt.Sprint("d", lost) && !reached[n.ID] {
					reached[n.ID] = true
					queue = append(queue, n)
				}
			}
		}
		assert.Len(t, reached, len(alive))
	}
}

func TestFewLargeDomainsAreDenselyLinked(t *testing.T) {
	linked := func(domains, each int) bool {
		all := domainFleet(domains, each)
		return topology{self: all[0].ID, domain: all[0].FailureDomain}.isDenselyLinked(others(all, all[0].ID))
	}
	assert.True(t, linked(4, 17))
	assert.False(t, linked(19, 20), "a domain may have no link to some other domain")
	assert.False(t, linked(3, 3), "in a full mesh all are linked anyway")
	all := domainFleet(4, 17)
	for d := range 4 {
		reached := make(map[string]bool)
		for _, p := range all {
			if p.FailureDomain != fmt.Sprint("d", d) {
				continue
			}
			for _, n := range (topology{self: p.ID, domain: p.FailureDomain}).neighbours(others(all, p.ID)) {
				reached[n.FailureDomain] = true
			}
		}
		assert.Len(t, reached, 4, "domain %d has links to all domains", d)
	}
}

// TestInstancesOfADomainReceiveAllLoadReports covers domains of many instances before few
// servers: one that receives a quarter of the load reports picks busy servers.
func TestInstancesOfADomainReceiveAllLoadReports(t *testing.T) {
	for _, each := range []int{17, 28, 35} {
		all := domainFleet(6, each)
		for _, p := range all[:each] {
			inside := 0
			for _, n := range (topology{self: p.ID, domain: p.FailureDomain}).neighbours(others(all, p.ID)) {
				if n.FailureDomain == p.FailureDomain {
					inside++
				}
			}
			assert.Equal(t, each-1, inside, "%d instances", each)
		}
	}
}
