package requestlimit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilrail/basilrail/internal/datastore"
)

// slotDuration is the length of the slots of the limits that servers name. A fleet that uses
// the quota of each slot sends at most limit+1 requests in it.
const slotDuration = time.Second

// slot is the number of a slot on the clock that the instances share.
type slot int64

func slotAt(now, length time.Duration) slot {
	return slot(math.Floor(now.Seconds() / length.Seconds()))
}

// begin returns the time at which the slot begins.
func (s slot) begin(length time.Duration) time.Duration { return time.Duration(s) * length }

// Member is the hash of the id of an instance.
type Member uint64

// MemberOf returns the Member of an instance.
func MemberOf(id string) Member { return Member(xxhash.Sum64String(id)) }

// MembersOf returns the Members of instances.
func MembersOf(ids []string) []Member {
	members := make([]Member, len(ids))
	for i, id := range ids {
		members[i] = MemberOf(id)
	}
	return members
}

// serverSlot seeds the decisions about one server in one slot.
func serverSlot(server string, at slot) uint64 {
	return datastore.MixHash(xxhash.Sum64String(server) ^ datastore.MixHash(uint64(at)+1))
}

// fleetQuota returns how many requests all instances together may send in a slot to a
// server that takes limit requests a second: limit on average, rounded up or down by a
// draw that is the same for all of them.
func fleetQuota(limit float64, seed uint64) int {
	draw := float64(datastore.MixHash(seed^1)>>11) / (1 << 53)
	return int(min(limit*slotDuration.Seconds()+draw, math.MaxInt32))
}

// Share returns an instance's part of a total that is dealt out to all instances in the order
// of a hash with the seed, another order in each slot. Instances that know of one more or less deal out the same to nearly
// all.
func Share(total int, seed uint64, self Member, others []Member) int {
	size := len(others) + 1
	own, before := datastore.MixHash(seed^uint64(self)), 0
	if total%size > 0 {
		for _, other := range others {
			if datastore.MixHash(seed^uint64(other)) < own {
				before++
			}
		}
	}
	share := total / size
	if before < total%size {
		share++
	}
	return share
}
