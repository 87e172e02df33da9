package upgrade

import "github.com/basilrail/basilrail/internal/statechart"

// The load trial is the time between the move of all requests to the new release and the end of
// the upgrade. A canary shows a release with little load; the trial shows it with the load that it
// will have, while the old servers still run. Requests are packed onto few of the new servers
// (see Packs), as far as these have free slots, so that they also see the load of busier times.

const (
	// trialExcess is the rise of the share of failures that the trial must exclude, or find.
	trialExcess = 0.25
	// trialSound is the log likelihood ratio at which a route is sound under load: a release
	// with trialExcess passes a route once in exp(3), about 20, trials.
	trialSound = -3.0
	// trialSoundInAll is the sum of the ratios of all routes that a busy service needs, about 35
	// answers without a failure; busyRate is the number of requests per second from which a
	// service has them within seconds.
	trialSoundInAll = -10.0
	busyRate        = 5.0
	// trialLeaning is the ratio at which the release is bad at the end of the duration, and
	// trialBad that at which it is bad at any time.
	trialLeaning = 3.0
	trialBad     = 4.5
	// maxJudgedRate is the share of failures of the old release up to which a route is judged.
	maxJudgedRate = 0.4
	// maxUndecidedFailures is the number of failures at which a release that is not shown to be
	// sound is taken as bad after its duration: operators tolerate 50.
	maxUndecidedFailures = 30
	// maxOvertime is the time, as a multiple of the duration, after which a trial without
	// a result ends with the release that the evidence favors.
	maxOvertime = 2.0
)

// trialResult is what the answers under load say about the new release.
type trialResult int

const (
	trialUndecided trialResult = iota
	trialPassed
	trialFailed
)

// trialResult judges the failures under load on each route. From the end of the
// duration on (isDue) weaker evidence than before suffices against the release. A busy
// service needs enough answers in all.
func (r routeCounts) trialResult(isDue, isBusy bool) trialResult {
	result, sum := trialPassed, 0.0
	for key, old := range r {
		if key.Variant != variantOld || key.Route == "" || !old.mayShowRise() {
			continue
		}
		under := r[evidenceKey{Route: key.Route, Variant: variantUnderLoad}]
		ratio := failureRatio(under, old)
		sum += ratio
		switch {
		case ratio >= trialBad, isDue && ratio >= trialLeaning:
			return trialFailed
		case ratio > trialSound && (under.Failed > 0 || r.mustBeShownSound(key.Route)):
			result = trialUndecided
		}
	}
	if isBusy && sum > trialSoundInAll {
		return trialUndecided
	}
	return result
}

// mayShowRise reports whether a rise by trialExcess can be seen on a route with these answers of
// the old release: not where most fail.
func (c answerCounts) mayShowRise() bool {
	return criteria[failureCriterion].rate(c) <= maxJudgedRate
}

// mustBeShownSound reports whether few answers without a failure don't suffice on a route: it has a
// main share of the answers, and the old release fails there now and then.
func (r routeCounts) mustBeShownSound(route string) bool {
	old := r.old(route)
	if float64(old.Answers) < mainRouteShare*float64(r.old("").Answers) {
		return false
	}
	failures := &criteria[failureCriterion]
	return failures.rate(old) > failures.usual
}

// favorsOld reports whether a bad release explains the failures under load on a route better than one
// like the old one does.
func (r routeCounts) favorsOld() bool {
	for key, under := range r {
		old := r.old(key.Route)
		if key.Variant == variantUnderLoad && key.Route != "" && old.mayShowRise() && failureRatio(under, old) > 0 {
			return true
		}
	}
	return false
}

// failureRatio returns the log likelihood ratio of the failures on a route between a release that
// fails trialExcess more often than the old one and one like the old one.
func failureRatio(under, old answerCounts) float64 {
	failures := &criteria[failureCriterion]
	rate := failures.acceptableRate(old)
	return failures.logRatio(under, min(rate+trialExcess, (1+maxRate)/2), rate)
}

// concludeTrial takes the new release out of use if its trial failed, or has no result in time. The
// caller holds the lock.
func (c *Controller) concludeTrial(u *upgradeState, counts routeCounts, progress float64) {
	if !u.moved || u.bad {
		return
	}
	failures := counts[evidenceKey{Variant: variantNew}].Failed
	switch result := counts.trialResult(progress >= trialDue, c.isBusy(u)); {
	case result == trialFailed:
		c.markBad(u, "failures under load")
	case result == trialUndecided && progress >= trialDue && failures >= maxUndecidedFailures:
		c.markBad(u, "not shown to be sound under load")
	case result == trialUndecided && progress >= maxOvertime && counts.favorsOld():
		c.markBad(u, "not shown to be sound under load in time")
	}
}

// isBusy reports whether a service has enough requests to judge all of its routes together. The caller
// holds the lock.
func (c *Controller) isBusy(u *upgradeState) bool {
	return c.requestRate(u.upgrade.Service) >= busyRate
}

// hasPassedTrial reports whether the answers under load permit to complete the upgrade. The caller
// holds the lock.
func (c *Controller) hasPassedTrial(u *upgradeState, progress float64) bool {
	counts := c.evidence.byService[u.upgrade.Service].totals()
	return counts.trialResult(true, c.isBusy(u)) == trialPassed || progress >= maxOvertime && !counts.favorsOld()
}

// Alternative implements dispatch.Releases: a request that failed at the new release during an
// upgrade is repeated at the old one, which shows whether the release or the request is the cause.
func (c *Controller) Alternative(service, release string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u := c.upgrades[service]; u == nil || u.upgrade.To != release || u.isReturn || u.machine.Final() {
		return ""
	}
	return c.oldRelease(service, release)
}

// Packs implements dispatch.Releases.
func (c *Controller) Packs(service, release string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upgrades[service]
	if u == nil || u.upgrade.To != release || u.isReturn || !u.moved || u.bad || u.machine.State() != statechart.UpgradeMoving {
		return false
	}
	u.hasPacked = true
	return true
}
