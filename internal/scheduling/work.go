package scheduling

import (
	"math/rand/v2"
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
)

const (
	// runningRequestWork is the delay added per running request: each makes the
	// decoding steps of all others slightly longer.
	runningRequestWork = 4 * time.Millisecond
	// queuedRequestWork is the delay added per request in excess of the slots: it
	// waits until one of the running requests ends.
	queuedRequestWork = 250 * time.Millisecond
	// affinityWeight is the factor by which the prefill time saved through prefix
	// affinity counts as less work. It is above one because the saved prefill does
	// not delay other prompts either. Both much lower and much higher values perform
	// worse.
	affinityWeight = 8
	// generationWeight is the weight of the time that the answer takes longer than at the fastest server. Answers that
	// are complete in time have their value also if they take longer, so that short ones are to use slow servers.
	generationWeight = 0.1
	// lateWeight is the weight of the time by which the answer would end after its deadline.
	lateWeight = 2
)

// WorkScorer estimates, in seconds, how long a request waits at a server for its
// first token: for the prefill of the prompts in flight there, which are processed
// one after the other, and for a free slot. It counts the requests of this instance
// and those that the other instances of its failure domain reported.
//
// It addresses head-of-line blocking by long prompts: a prompt of 50,000 tokens
// delays all requests behind it, however few are running.
type WorkScorer struct{}

// Score implements Scorer.
func (WorkScorer) Score(req *Request, entries []Entry) {
	preferred := affinityTarget(req, entries)
	for i := range entries {
		e := &entries[i]
		work := Wait(e.Server)
		if req.Speeds != nil {
			work = workAtSpeed(req, e, work)
		}
		if i == preferred {
			work -= affinityWeight * req.SharedWork
		}
		e.Load = work.Seconds()
	}
}

// Wait estimates how long a request waits for its turn at a server.
func Wait(server *datastore.Server) time.Duration {
	load := server.TotalLoad()
	work := load.Prefill + time.Duration(load.Requests)*runningRequestWork
	if over := load.Requests + 1 - int64(serverCapacity(server)); over > 0 {
		work += time.Duration(over) * queuedRequestWork
	}
	return work
}

// workAtSpeed returns the work at a server that is faster or slower than the median one, given the work at that.
func workAtSpeed(req *Request, e *Entry, work time.Duration) time.Duration {
	factor := req.Speeds.Factor(e.Server)
	generation, shortest := req.Speeds.Generation(e.Server)
	wait := time.Duration(factor * float64(work))
	late := wait + time.Duration(factor*float64(req.Prefill)) + generation - req.Remaining
	return wait + time.Duration(generationWeight*float64(generation-shortest)) + lateWeight*max(0, late)
}

// affinityTarget returns the index of the entry preferred for the request's prompt
// prefix, so that the server keeps the prefix in its cache; negative if the request
// has no prefix.
func affinityTarget(req *Request, entries []Entry) int {
	if req.PrefixHash == 0 {
		return -1
	}
	preferred, high := -1, uint64(0)
	for i := range entries {
		if score := datastore.MixHash(req.PrefixHash ^ entries[i].Server.Hash); preferred < 0 || score > high {
			preferred, high = i, score
		}
	}
	return preferred
}

// LeastWorkPicker picks the entry with the least work, at random among equal ones.
type LeastWorkPicker struct{}

// Pick implements Picker.
func (LeastWorkPicker) Pick(_ *Request, entries []Entry, rng *rand.Rand) (Choice, bool) {
	best, equal := 0, 1
	for i := 1; i < len(entries); i++ {
		switch {
		case entries[i].Load < entries[best].Load:
			best, equal = i, 1
		case entries[i].Load == entries[best].Load:
			equal++
			if rng.IntN(equal) == 0 {
				best = i
			}
		}
	}
	reason := PickedLeastWork
	if len(entries) == 1 {
		reason = PickedOnly
	}
	return Choice{Index: best, Reason: reason, Alternative: -1}, true
}
