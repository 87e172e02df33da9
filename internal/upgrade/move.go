package upgrade

import "time"

const (
	// canaryExposure is the part of the allowed exposure that the canary may use.
	canaryExposure = 0.65
	// projectedExposure and projectedSlack are the parts of the allowed exposure that may
	// be used if all requests move at once: the number of requests until the deadline is
	// an estimate.
	projectedExposure = 0.85
	projectedSlack    = 0.4
	// minStepFraction is the fraction of the duration between two steps.
	minStepFraction = 0.06
	// rateSteps is the number of steps of an instance over which the current rate of
	// requests is measured.
	rateSteps = 12
	// maxShortAnswer is the fraction of the duration that the mean answer may take for a
	// lateMove: at the end of an upgrade the old servers stop at once.
	maxShortAnswer = 0.008
)

// Exposure bounds the requests to a bad release, from the operator's request for an
// upgrade to its deadline: a share of the service's requests, and slack more.
type Exposure struct {
	Share, Slack float64
}

// defaultExposure is used if operators set no bound.
var defaultExposure = Exposure{Share: 0.1}

// movePlan is how sessions move to the new release in the second half of an upgrade. All
// times are fractions of the duration.
type movePlan struct {
	steps []moveStep
	// decisionStart is when a release that is not cleared is either taken as bad or moved
	// to nonetheless.
	decisionStart float64
	// completeStart is from when on the upgrade may complete, minFull how long all
	// requests must have run on the new release by then.
	completeStart, minFull float64
	// limitsExposure postpones a step until the exposure that is left suffices for it,
	// whatever the evidence says.
	limitsExposure bool
}

// moveStep lets a share of the sessions move from a fraction of the duration on.
type moveStep struct {
	start, share float64
	// badness and routeBadness are the badness below which the release must be on all
	// routes together and on each main route.
	badness, routeBadness float64
}

// gradualMove leaves answers that take seconds the time to end at the old servers.
var gradualMove = movePlan{
	steps: []moveStep{
		{start: 0.52, share: 0.3, badness: -1.5, routeBadness: 0.5},
		{start: 0.6, share: 0.6, badness: -2.5, routeBadness: -0.5},
		{start: 0.68, share: 1, badness: -3.5, routeBadness: -1.5},
	},
	decisionStart: 0.85, completeStart: 0.8, minFull: 0.1,
}

// lateMove is for short answers. It keeps the bound on the exposure also for a release
// that is bad only under more load than the canary has.
var lateMove = movePlan{
	steps:         []moveStep{{start: 0.85, share: 1, badness: -2.5, routeBadness: -0.5}},
	decisionStart: 0.93, completeStart: 0.94, minFull: 0.02, limitsExposure: true,
}

// timedTotal is the number of answers of both releases at a fraction of the duration.
type timedTotal struct {
	progress float64
	answers  uint64
}

// maxCanaryShare is the largest share of sessions in a canary.
func (c *Controller) maxCanaryShare() float64 { return canaryExposure * c.Exposure.Share }

// canaryShare returns the share of sessions on the new release in the first half of an
// upgrade that begins now.
func (c *Controller) canaryShare(service string) float64 {
	rate := c.requestRate(service)
	if rate == 0 {
		return c.maxCanaryShare()
	}
	return min(c.maxCanaryShare(), canaryRate/max(rate, canaryRate))
}

// shareAt returns the share of sessions on the new release after a fraction of the
// duration.
func (u *upgradeState) shareAt(progress float64) float64 {
	share := u.record.CanaryShare
	for _, step := range u.plan.steps[:u.steps] {
		if progress >= step.start {
			share = step.share
		}
	}
	return share
}

// choosePlan chooses the plan until its first step. The instances choose the same one: they
// know about the same answers.
func (u *upgradeState) choosePlan(old answerCounts) {
	if u.steps > 0 || old.Answers < minOldAnswers {
		return
	}
	u.plan = &gradualMove
	if mean := old.meanDuration(); mean > 0 && mean <= time.Duration(maxShortAnswer*float64(u.upgrade.Duration)) {
		u.plan = &lateMove
	}
}

// allowSteps determines the steps in which requests may move. They are allowed before they
// are due, so that all instances take them at the same time on the store's clock. The
// caller holds the lock.
func (c *Controller) allowSteps(u *upgradeState, counts routeCounts, progress float64) {
	u.noteTotal(counts, progress)
	if u.verdict.suspicion >= suspicionThreshold {
		u.holdSteps(progress)
		return
	}
	u.choosePlan(counts.old(""))
	if u.steps == len(u.plan.steps) {
		return
	}
	all, route := counts.badness()
	if progress >= u.plan.decisionStart {
		if all > leaning || route > leaning {
			c.markBad(u, "not cleared in time")
			return
		}
		u.steps = len(u.plan.steps)
		return
	}
	next := u.plan.steps[u.steps]
	isCleared := counts.old("").Answers >= minOldAnswers && all <= next.badness && route <= next.routeBadness
	if !isCleared || progress < u.stepAt+minStepFraction || u.plan.limitsExposure && !c.mayExpose(u, counts, progress, next) {
		return
	}
	u.steps++
	if progress >= next.start {
		u.stepAt = progress
	}
}

// holdSteps disallows the steps that are not due yet.
func (u *upgradeState) holdSteps(progress float64) {
	for u.steps > 0 && progress < u.plan.steps[u.steps-1].start {
		u.steps--
	}
}

// noteTotal keeps the latest numbers of answers.
func (u *upgradeState) noteTotal(counts routeCounts, progress float64) {
	answers := counts.old("").Answers + counts[evidenceKey{Variant: variantNew}].Answers
	u.totals = append(u.totals, timedTotal{progress: progress, answers: answers})
	u.totals = u.totals[max(0, len(u.totals)-rateSteps):]
}

// mayExpose reports whether a step now keeps the allowed exposure until the deadline, at
// the current rate of requests.
func (c *Controller) mayExpose(u *upgradeState, counts routeCounts, progress float64, step moveStep) bool {
	first, last := u.totals[0], u.totals[len(u.totals)-1]
	if progress < step.start || last.progress <= first.progress {
		return false
	}
	left := float64(last.answers-first.answers) / (last.progress - first.progress) * max(0, 1-progress)
	allowed := projectedExposure*c.Exposure.Share*(float64(last.answers)+left) + projectedSlack*c.Exposure.Slack
	return float64(counts[evidenceKey{Variant: variantNew}].Answers)+step.share*left <= allowed
}
