package rollout

import (
	"time"

	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
)

// Progress is the evidence about a rollout's current stage.
type Progress struct {
	// Counts are the rated answers since the stage began.
	Counts Counts
	// InStage is the time since the stage was first seen.
	InStage time.Duration
	// Bad is true if the sequential tests judged the version bad.
	Bad bool
}

// NextEvent returns the event of the rollout chart that follows from the evidence; ok
// is false if the rollout stays as it is. It is pure.
func NextEvent(r settings.Rollout, p Progress) (event statechart.Event, ok bool) {
	if p.Bad {
		return statechart.RolloutVersionBad, r.Status != settings.RolloutWithdrawn
	}
	if r.Status != settings.RolloutRunning || r.Stage >= len(r.Stages) {
		return "", false
	}
	stage := r.Stages[r.Stage]
	if p.Counts.Total() < uint64(stage.MinSamples) || p.InStage < stage.MinDuration {
		return "", false
	}
	if p.Counts.BadRate() > clampBadRate(r.BadRate) {
		return "", false
	}
	if r.Stage == len(r.Stages)-1 {
		return statechart.RolloutLastStagePassed, true
	}
	return statechart.RolloutStagePassed, true
}

// apply returns the rollout after an event.
func apply(chart *statechart.Chart, r settings.Rollout, event statechart.Event, reason string) (settings.Rollout, error) {
	next, err := chart.Next(statechart.State(r.Status), event)
	if err != nil {
		return r, err
	}
	r.Status = settings.RolloutStatus(next)
	switch event {
	case statechart.RolloutStagePassed:
		r.Stage++
	case statechart.RolloutVersionBad:
		r.Reason = reason
	}
	return r, nil
}
