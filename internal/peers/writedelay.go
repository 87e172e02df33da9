package peers

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// writeStagger is the delay of a write for each instance that ranks before this one.
	writeStagger = 400 * time.Millisecond
	// maxWriteRank bounds the delay in a large fleet.
	maxWriteRank = 5
)

// WriteDelay returns how long an instance delays a write that any one instance has to
// make, so that the connected peers that rank before it write first. The rank is by the
// hash of the name of what is written and of the instance.
func WriteDelay(bus Bus, name string) time.Duration {
	own := writeHash(name, bus.Self())
	rank := 0
	for _, peer := range bus.Peers() {
		if peer.Connected && writeHash(name, peer.ID) < own {
			rank++
		}
	}
	return time.Duration(min(rank, maxWriteRank)) * writeStagger
}

func writeHash(name, instance string) uint64 { return xxhash.Sum64String(name + "\x00" + instance) }
