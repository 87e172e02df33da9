package scheduling

import (
	"math/rand/v2"

	"github.com/basilrail/basilrail/internal/datastore"
)

const (
	// affinityBound is the highest load up to which affinity applies, as a
	// multiple of the mean load.
	affinityBound = 1.25
	// affinityFloor is the load up to which affinity applies regardless of
	// the mean, in tokens per unit of capacity.
	affinityFloor = 512
)

// PrefixPicker sends requests with the same prompt prefix to the same server, by
// rendezvous hashing, so that they hit its prefix cache. If the load of the
// server with the highest hash exceeds the bound, it tries the second highest;
// if that is over the bound too, it leaves the choice to the next picker.
type PrefixPicker struct{}

// Pick implements Picker.
func (PrefixPicker) Pick(req *Request, entries []Entry, _ *rand.Rand) (Choice, bool) {
	if req.PrefixHash == 0 || len(entries) < 2 {
		return Choice{}, false
	}
	first, second := highestTwo(req.PrefixHash, entries)
	bound := max(affinityFloor, affinityBound*(meanLoad(entries)+cost(req, &entries[first])))
	if entries[first].Load+cost(req, &entries[first]) <= bound {
		return Choice{Index: first, Reason: PickedPrefix, Alternative: -1}, true
	}
	if entries[second].Load+cost(req, &entries[second]) <= bound {
		return Choice{Index: second, Reason: PickedPrefix, Alternative: first, AlternativeReason: RejectedPrefixBound}, true
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

// highestTwo returns the indexes of the entries with the highest and the second
// highest hash.
func highestTwo(prefix uint64, entries []Entry) (first, second int) {
	var high, next uint64
	for i := range entries {
		score := datastore.MixHash(prefix ^ entries[i].Server.Hash)
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
