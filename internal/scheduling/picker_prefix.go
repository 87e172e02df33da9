package scheduling

import (
	"math/rand/v2"

	"github.com/basilrail/basilrail/internal/datastore"
)

const (
	// affinityBound is the load that affinity may give a server, as a
	// multiple of the mean.
	affinityBound = 1.25
	// affinityFloor is a load below which affinity holds whatever the mean,
	// in tokens per unit of capacity.
	affinityFloor = 512
)

// PrefixPicker sends requests that share a prompt prefix to the same server,
// whose prefix cache then serves them, by rendezvous hashing. It stands back
// when that server is loaded beyond a bound above the mean.
type PrefixPicker struct{}

// Pick implements Picker.
func (PrefixPicker) Pick(req *Request, entries []Entry, _ *rand.Rand) (Choice, bool) {
	if req.PrefixHash == 0 || len(entries) < 2 {
		return Choice{}, false
	}
	first, second := highestTwo(req.PrefixHash, entries)
	bound := max(affinityFloor, affinityBound*(meanLoad(entries)+cost(req, &entries[first])))
	if entries[first].Load+cost(req, &entries[first]) <= bound {
		return Choice{Index: first, Why: TakenPrefix, Rival: -1}, true
	}
	if entries[second].Load+cost(req, &entries[second]) <= bound {
		return Choice{Index: second, Why: TakenPrefix, Rival: first, RivalWhy: RejectedPrefixBound}, true
	}
	return Choice{}, false
}

func cost(req *Request, e *Entry) float64 { return float64(req.Tokens) / capacity(e) }

func meanLoad(entries []Entry) float64 {
	var sum float64
	for i := range entries {
		sum += entries[i].Load
	}
	return sum / float64(len(entries))
}

// highestTwo returns the entries of the highest and second highest hash.
func highestTwo(prefix uint64, entries []Entry) (first, second int) {
	var high, next uint64
	for i := range entries {
		score := datastore.Mix(prefix ^ entries[i].Server.Hash)
		switch {
		case score >= high:
			second, next = first, high
			first, high = i, score
		case score >= next:
			second, next = i, score
		}
	}
	return first, second
}
