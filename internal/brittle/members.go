package brittle

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/peers/mesh"
	"github.com/basilrail/basilrail/internal/requestlimit"
)

const (
	// listAge is how long the list of the instances is used until it is read again.
	listAge = 100 * time.Millisecond
	// isolatedFor is how long an instance must be without a link to an arbiter until it uses its
	// safe share: the arbiter has noticed by then and sets the share aside. Both ends of a link
	// notice its loss within 3.5 s.
	isolatedFor = 5 * time.Second
)

// members are the instances of the fleet as this one sees them.
type members struct {
	self   string
	domain string
	others []peers.Peer
	// hashes are the hashes of the ids of others, in the same order.
	hashes []requestlimit.Member
	// unlinkedSince holds the peers without a link, and since when they have none.
	unlinkedSince map[string]time.Time
	// noQuorumSince is since when this instance has lacked a quorum; zero if it has one.
	noQuorumSince time.Time
	// linkedAt is when a peer was last linked that had no link before.
	linkedAt time.Time
}

// newMembers returns the instances, given how this one saw them before.
func newMembers(before *members, self, domain string, others []peers.Peer, now time.Time) *members {
	m := &members{self: self, domain: domain, others: others, unlinkedSince: make(map[string]time.Time)}
	if before != nil {
		m.linkedAt = before.linkedAt
	}
	for _, p := range others {
		m.hashes = append(m.hashes, requestlimit.MemberOf(p.ID))
		var since time.Time
		if before != nil {
			since = before.unlinkedSince[p.ID]
		}
		switch {
		case p.Connected && !since.IsZero():
			m.linkedAt = now
		case p.Connected:
		case since.IsZero():
			m.unlinkedSince[p.ID] = now
		default:
			m.unlinkedSince[p.ID] = since
		}
	}
	if !m.hasQuorum() {
		m.noQuorumSince = now
		if before != nil && !before.noQuorumSince.IsZero() {
			m.noQuorumSince = before.noQuorumSince
		}
	}
	return m
}

// isFullMesh reports whether all instances are neighbours, so that each notices the loss of a link to
// any other.
func (m *members) isFullMesh() bool { return len(m.others) < mesh.FullMeshInstances }

// hasQuorum reports whether this instance is linked to at least half of the others, or in a fleet that is
// not a full mesh to half of those in its failure domain. One that is cut off must not decide for the
// fleet.
func (m *members) hasQuorum() bool {
	linked, total := 0, 0
	for _, p := range m.others {
		if !m.isFullMesh() && p.FailureDomain != m.domain {
			continue
		}
		total++
		if p.Connected {
			linked++
		}
	}
	return 2*linked >= total
}

// arbiterOf returns the instance that grants the slots of a server: the first one, in the order of a
// hash, in the server's failure domain, or of all instances if there is none.
func (m *members) arbiterOf(server, domain string) string {
	seed := xxhash.Sum64String(server)
	best, bestHash, isNear := m.self, datastore.MixHash(seed^uint64(requestlimit.MemberOf(m.self))), m.domain == domain
	for i, p := range m.others {
		hash, near := datastore.MixHash(seed^uint64(m.hashes[i])), p.FailureDomain == domain
		if near == isNear && hash > bestHash || near && !isNear {
			best, bestHash, isNear = p.ID, hash, near
		}
	}
	return best
}

// safeShare returns how many of a server's slots are set aside for an instance that is cut off from
// the arbiter. All instances compute the same, and the sum is at most the slots.
func (m *members) safeShare(server string, slots int, instance string) int {
	if !m.isFullMesh() {
		return 0
	}
	rest := make([]requestlimit.Member, 0, len(m.others))
	if instance != m.self {
		rest = append(rest, requestlimit.MemberOf(m.self))
	}
	for i, p := range m.others {
		if p.ID != instance {
			rest = append(rest, m.hashes[i])
		}
	}
	return requestlimit.Share(slots, xxhash.Sum64String(server), requestlimit.MemberOf(instance), rest)
}

// isIsolatedFrom reports whether this instance has been without a link to an arbiter for so long that
// it may use its safe share.
func (m *members) isIsolatedFrom(arbiter string, now time.Time) bool {
	since := m.unlinkedSince[arbiter]
	if arbiter == m.self {
		since = m.noQuorumSince
	}
	return !since.IsZero() && now.Sub(since) >= isolatedFor
}
