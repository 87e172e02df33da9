package scheduling

import (
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
)

const (
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 2 * time.Second
	// plausibleShare is the least fraction of this entry's own load that a
	// report must show to be believed.
	plausibleShare = 0.25
	// maxReported bounds a report, in tokens per unit of capacity.
	maxReported = 1 << 20
)

// LoadScorer estimates a server's load as this entry's own tokens in flight,
// which are exact, plus those of other entries, taken from the server's report.
// A report loses weight with its age in favour of the mean of all servers, so
// that a server whose reports stop looks average and not idle. A report that
// shows less than this entry alone has there is not believed. The mean leaves
// out the highest report, so that one exaggerating server costs only itself.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(req *Request, entries []Entry) {
	var weights [maxConsidered]float64
	for i := range entries {
		entries[i].Load, weights[i] = othersLoad(req.Now, &entries[i])
	}
	mean := meanWithoutHighest(entries, weights[:])
	for i := range entries {
		e := &entries[i]
		e.Load = ownLoad(e) + weights[i]*e.Load + (1-weights[i])*mean
	}
}

// othersLoad returns the load of other entries per unit of capacity, as last
// reported, and the weight of that report, 0 to 1.
func othersLoad(now time.Time, e *Entry) (load, weight float64) {
	reported := e.Status.QueuedTokens + e.Status.RunningTokens
	own := e.Status.OwnTokens
	if e.Status.ReportedAt.IsZero() || e.Status.QueuedTokens < 0 || e.Status.RunningTokens < 0 {
		return 0, 0
	}
	if float64(reported) < plausibleShare*float64(own) {
		return 0, 0
	}
	age := max(0, now.Sub(e.Status.ReportedAt))
	weight = float64(reportHalfLife) / float64(reportHalfLife+age)
	return min(maxReported, float64(max(0, reported-own))/capacity(e)), weight
}

func ownLoad(e *Entry) float64 {
	_, tokens := e.Server.InFlight()
	return float64(tokens) / capacity(e)
}

func capacity(e *Entry) float64 { return serverCapacity(e.Server) }

func serverCapacity(s *datastore.Server) float64 { return float64(max(1, s.Settings.Capacity)) }

// meanWithoutHighest is the weighted mean of the loads, the highest left out
// where there is more than one.
func meanWithoutHighest(entries []Entry, weights []float64) float64 {
	var sum, total, highest, highestWeight float64
	for i := range entries {
		sum += weights[i] * entries[i].Load
		total += weights[i]
		if weights[i] > 0 && entries[i].Load >= highest {
			highest, highestWeight = entries[i].Load, weights[i]
		}
	}
	if total > highestWeight {
		return (sum - highestWeight*highest) / (total - highestWeight)
	}
	if total == 0 {
		return 0
	}
	return sum / total
}
