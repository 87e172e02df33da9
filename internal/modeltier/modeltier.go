// Package modeltier decides which model answers a request that several models may
// answer: which one is asked first, and whether an answer that a small model has
// begun is kept or the request is escalated to a larger model.
//
// It implements a model cascade: most requests are easy, a small model answers them
// well at a fraction of the cost, and its own confidence identifies most of those
// that it can't answer.
//
// When the servers are nearly full, fewer requests are escalated, namely those with
// the lowest confidence, because the large model occupies a slot ten times as long.
// That keeps slots free, so that more responses are in time under load.
package modeltier

import "time"

const (
	// ConfidenceUnknown is the confidence of an answer that does not report one.
	ConfidenceUnknown = -1
	// maxThreshold is the confidence, 0 to 100, from which an answer is kept at low
	// load. Both a lower and a higher value reduce the total value of the answers.
	maxThreshold = 50
	// Between the utilizations rampStart and rampEnd the threshold falls from
	// maxThreshold to minThreshold. Above rampEnd requests wait for slots.
	rampStart    = 0.55
	rampEnd      = 0.85
	minThreshold = 15
	// minEscalationFraction is the fraction of the target latency that must remain
	// until the deadline for an escalation.
	minEscalationFraction = 0.25
)

// Tier is a model that may answer, one tier of the cascade.
type Tier struct {
	Model string
	// Cost is the cost of 1,000 generated tokens.
	Cost float64
}

// Answer describes an answer that a model has begun.
type Answer struct {
	// Tier is the index of the answering model.
	Tier int
	// Confidence is the confidence that the model reports, 0 to 100, or
	// ConfidenceUnknown.
	Confidence int
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// TargetLatency is the time to the first event that callers expect.
	TargetLatency time.Duration
	// Utilization is the fraction of the servers' slots in use; above one if requests
	// are waiting.
	Utilization float64
}

// threshold returns the confidence from which an answer is kept at a utilization.
func threshold(utilization float64) int {
	return maxThreshold - int(pressure(utilization)*(maxThreshold-minThreshold))
}

// pressure returns how far a utilization is between rampStart and rampEnd, from 0 to 1.
func pressure(utilization float64) float64 {
	return min(1, max(0, (utilization-rampStart)/(rampEnd-rampStart)))
}

// First returns the index of the model to ask first, if its answer can be replaced.
func First(tiers []Tier) int { return 0 }

// Only returns the index of the model to ask where its answer can't be replaced: the largest, unless the smallest is
// sufficient. As the servers fill up, fewer requests get the largest, like those that are escalated. draw is a random
// number in [0, 1).
func Only(tiers []Tier, isSufficient bool, utilization, draw float64) int {
	if isSufficient || draw < max(exploration, pressure(utilization)) {
		return 0
	}
	return len(tiers) - 1
}

// Next returns the index of the model to escalate to; ok is false to keep the
// answer. Models between the smallest and the largest are skipped, because they
// answer few of the requests that the smallest can't.
func Next(tiers []Tier, a Answer) (next int, ok bool) {
	largest := len(tiers) - 1
	switch {
	case a.Tier >= largest, a.Confidence == ConfidenceUnknown, a.Confidence >= threshold(a.Utilization):
		return 0, false
	case a.Remaining < time.Duration(minEscalationFraction*float64(a.TargetLatency)):
		return 0, false
	}
	return largest, true
}
