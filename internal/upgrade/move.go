package upgrade

import "cmp"

const (
	// canaryExposure is the part of the allowed exposure that the canary may use; the rest is
	// left for the load trial.
	canaryExposure = 0.4
	// returnShare is the canary share in the record of an order back to the settled release;
	// others are at most canaryExposure * maxAllowedShare.
	returnShare = 1.0
	// maxAllowedShare bounds the allowed exposure as a share of the requests, for services
	// with fewer requests than the slack.
	maxAllowedShare = 0.3
	// projectedExposure and projectedSlack are the parts of the allowed exposure that may
	// be used if all requests move at once: the number of requests until the deadline is
	// an estimate.
	projectedExposure = 0.9
	projectedSlack    = 0.6
	// rateSteps is the number of steps of an instance over which the current rate of
	// requests is measured.
	rateSteps = 12
	// moveStart is the fraction of the duration from which sessions may move: those that
	// run keep their release before.
	moveStart = 0.52
	// verdictStart is the fraction of the duration from which a release on which the
	// evidence is not good is taken as bad. It leaves time to notify the peers before
	// trialDue: after a restart they may know too little to see it.
	verdictStart = 0.9
	// forcedStart is the fraction of the duration at which requests move even if they
	// exceed the allowed exposure.
	forcedStart = 0.95
	// trialDue is the fraction of the duration from which an upgrade may complete, if its load
	// trial has a result, and minMoved that for which all requests must have run on the new
	// release by then. It leaves time to record the outcome.
	trialDue = 0.955
	minMoved = 0.01
)

// Exposure bounds the requests to a bad release, from the operator's request for an
// upgrade to its deadline: a share of the service's requests, and slack more.
type Exposure struct {
	Share, Slack float64
}

// defaultExposure is used if operators set no bound.
var defaultExposure = Exposure{Share: 0.1}

// timedTotal is the number of answers of both releases at a fraction of the duration.
type timedTotal struct {
	progress float64
	answers  uint64
}

// maxCanaryShare returns the largest share of sessions in the canary of an upgrade.
func (c *Controller) maxCanaryShare(upgrade Upgrade) float64 {
	allowed := c.Exposure.Share
	if requests := c.requestRate(upgrade.Service) * upgrade.Duration.Seconds(); requests > 0 {
		allowed += projectedSlack * c.Exposure.Slack / requests
	}
	return canaryExposure * min(allowed, maxAllowedShare)
}

// canaryShare returns the share of sessions on the new release in the canary of an upgrade
// that begins now.
func (c *Controller) canaryShare(upgrade Upgrade) float64 {
	rate := c.requestRate(upgrade.Service)
	return min(c.maxCanaryShare(upgrade), canaryRate/max(rate, canaryRate))
}

// share returns the share of sessions on the new release.
func (u *upgradeState) share() float64 {
	if u.moved {
		return 1
	}
	return u.record.CanaryShare
}

// allowMove lets all requests move to the new release once the exposure that is left
// suffices for it until the deadline, whatever the evidence says: a release may be bad only
// under more load than a canary has. The caller holds the lock.
func (c *Controller) allowMove(u *upgradeState, counts routeCounts, progress float64) {
	u.noteTotal(counts, progress)
	if u.moved || progress < moveStart {
		return
	}
	switch leansBad := u.leansBad(counts); {
	case leansBad && progress >= verdictStart:
		reason, _ := counts.worst(0)
		c.markBad(u, "evidence not good by the deadline: "+cmp.Or(reason, "suspicion of a sequential test"))
	case !leansBad && (progress >= forcedStart || c.mayMove(u, counts, progress)):
		c.move(u, progress)
	}
}

// leansBad reports whether the evidence is against the new release, though it may not
// suffice to stop it.
func (u *upgradeState) leansBad(counts routeCounts) bool {
	return u.verdict.suspicion >= suspicionThreshold || counts.leanBad()
}

// move lets all requests run on the new release. The caller holds the lock.
func (c *Controller) move(u *upgradeState, progress float64) {
	u.moved, u.movedAt = true, progress
}

// noteTotal keeps the latest numbers of answers.
func (u *upgradeState) noteTotal(counts routeCounts, progress float64) {
	answers := counts.old("").Answers + counts[evidenceKey{Variant: variantNew}].Answers
	u.totals = append(u.totals, timedTotal{progress: progress, answers: answers})
	u.totals = u.totals[max(0, len(u.totals)-rateSteps):]
}

// mayMove reports whether a move of all requests now keeps the allowed exposure until the
// deadline, at the current rate of requests. An instance that restarted knows only the
// answers of the others, so its own rate of requests and the canary's share bound the
// estimates from below.
func (c *Controller) mayMove(u *upgradeState, counts routeCounts, progress float64) bool {
	first, last := u.totals[0], u.totals[len(u.totals)-1]
	if counts.old("").Answers < minOldAnswers || len(u.totals) < rateSteps || last.progress <= first.progress {
		return false
	}
	perDuration := max(float64(last.answers-first.answers)/(last.progress-first.progress), c.requestRate(u.upgrade.Service)*u.upgrade.Duration.Seconds())
	left := perDuration * max(0, 1-progress)
	exposed := max(float64(counts[evidenceKey{Variant: variantNew}].Answers), u.record.CanaryShare*perDuration*progress)
	allowed := projectedExposure*c.Exposure.Share*(float64(last.answers)+left) + projectedSlack*c.Exposure.Slack
	return exposed+left <= allowed
}
