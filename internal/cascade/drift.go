package cascade

const (
	// driftOnBad and driftOnPass are the log-likelihood ratios of one rating,
	// for a version that turned to 25% bad answers against one of 5%.
	driftOnBad  = 1.609
	driftOnPass = -0.236
	// driftLimit is the sum at which the version counts as changed.
	driftLimit = 4
	// weightAfterDrift is how many ratings the evidence from before counts then.
	weightAfterDrift = 10
	// driftMean is the pass chance from which on a version is tested. Below
	// it no answer is served unjudged, so a change does no harm.
	driftMean = 0.9
)

// drift is a cumulative sum test (CUSUM) for a version whose answers turn bad.
// The evidence collected while they were good would hide the change for long.
type drift struct {
	sum float64
}

// add counts ratings and reports whether a version of a mean pass chance changed.
func (d *drift) add(c counts, mean float64) bool {
	if mean < driftMean {
		d.sum = 0
		return false
	}
	bad := c.total - c.pass
	d.sum = max(0, d.sum+bad*driftOnBad+c.pass*driftOnPass)
	if d.sum < driftLimit {
		return false
	}
	d.sum = 0
	return true
}
