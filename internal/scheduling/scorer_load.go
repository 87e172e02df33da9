package scheduling

import (
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
)

const (
	// reportHalfLife is the age at which a load report has half its weight.
	reportHalfLife = 2 * time.Second
	// minPlausibleFraction is the fraction of this instance's own load that a
	// report must show at least; reports below it are ignored.
	minPlausibleFraction = 0.25
	// maxReported caps a reported load, in tokens per unit of capacity.
	maxReported = 1 << 20
)

// LoadScorer estimates the load of a server as this instance's own tokens in
// flight, which are exact, plus those of the other instances, taken from the
// server's report. As a report ages, its weight shifts to the mean of all servers,
// so that a server whose reports stop looks average rather than idle. A report far
// below this instance's own load there is ignored. The mean excludes the highest
// report, so that a server that reports too much load affects only itself.
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

// othersLoad returns the load from other instances, as last reported by the
// server, in tokens per unit of capacity, and the weight of that report, 0 to 1.
func othersLoad(now time.Time, e *Entry) (load, weight float64) {
	reported := e.Status.QueuedTokens + e.Status.RunningTokens
	own := e.Status.OwnTokensAtReport
	if e.Status.ReportedAt.IsZero() || e.Status.QueuedTokens < 0 || e.Status.RunningTokens < 0 {
		return 0, 0
	}
	if float64(reported) < minPlausibleFraction*float64(own) {
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

// meanWithoutHighest returns the weighted mean of the loads. It excludes the
// highest if there is more than one.
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
