package cascade

const (
	// driftLLRBad and driftLLRPass are the log-likelihood ratios of one bad and one
	// passing rating, for a version with 25% bad answers against one with 5%.
	driftLLRBad  = 1.609
	driftLLRPass = -0.236
	// driftThreshold is the sum at which the version counts as drifted.
	driftThreshold = 4
	// weightAfterDrift is the weight, in ratings, that earlier evidence keeps after
	// a drift.
	weightAfterDrift = 10
	// minDriftMean is the minimum pass probability at which a version is tested for
	// drift. Below it no answer is served unjudged, so a drift does no harm.
	minDriftMean = 0.9
)

// drift is a cumulative sum test (CUSUM) for a version whose answers become worse.
// Without it, evidence from before the change would hide the change for a long time.
type drift struct {
	sum float64
}

// add records ratings of a version with the given mean pass probability and
// reports whether the version has drifted.
func (d *drift) add(c counts, mean float64) bool {
	if mean < minDriftMean {
		d.sum = 0
		return false
	}
	bad := c.total - c.pass
	d.sum = max(0, d.sum+bad*driftLLRBad+c.pass*driftLLRPass)
	if d.sum < driftThreshold {
		return false
	}
	d.sum = 0
	return true
}
