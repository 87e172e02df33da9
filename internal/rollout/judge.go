package rollout

import (
	"fmt"
	"time"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// stalledFactor is how many times its least duration a stage may last before
	// it is told as stalled, and stalledAfter the least time.
	stalledFactor = 10
	stalledAfter  = 10 * time.Minute
)

// judge looks at all evidence and returns the suspensions newly found.
func (c *Controller) judge(s *settings.Snapshot) []Suspension {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.forget(s, now)
	c.markStages(s, now)
	var found []Suspension
	for trial, total := range c.pool.totals {
		if !trial.known(s) {
			continue
		}
		if suspension, ok := c.judgeTrial(s, trial, total); ok {
			found = append(found, suspension)
		}
	}
	return found
}

// forgetInterval is the time between two searches for what is no longer needed.
const forgetInterval = time.Minute

// forget drops what the settings no longer name.
func (c *Controller) forget(s *settings.Snapshot, now time.Time) {
	if now.Sub(c.forgotAt) < forgetInterval {
		return
	}
	c.forgotAt = now
	c.pool.expire(s, now)
	for trial := range c.watches {
		if !trial.known(s) {
			delete(c.watches, trial)
			delete(c.own, trial)
			delete(c.sent, trial)
		}
	}
}

// judgeTrial tests one trial and suspends a bad version that has an alternative.
func (c *Controller) judgeTrial(s *settings.Snapshot, trial Trial, total Counts) (Suspension, bool) {
	w := c.watch(trial)
	w.bad = c.test(s, trial, w, total) || w.bad
	if _, already := c.suspensions[trial]; already || !w.bad || s.TeamPermission(trial.Team, trial.Ref) != settings.Permitted {
		return Suspension{}, false
	}
	if _, ok := alternative(s, c.view.Load(), trial.Team, trial.Ref); !ok {
		c.tellKept(trial, w)
		return Suspension{}, false
	}
	suspension := Suspension{Trial: trial, Reason: reason(total)}
	c.suspensions[trial] = suspension
	return suspension, true
}

func reason(c Counts) string {
	return fmt.Sprintf("%d of %d rated answers were bad", c.Bad, c.Total())
}

func (c *Controller) tellKept(trial Trial, w *watch) {
	if !w.toldKept {
		w.toldKept = true
		c.logger.Log(events.VersionBadNoAlternative, events.Fields{Version: trial.Ref.String(), Path: trial.path()})
	}
}

// test runs the sequential tests on a trial's new evidence.
func (c *Controller) test(s *settings.Snapshot, trial Trial, w *watch, total Counts) bool {
	added := total.minus(w.judged)
	w.judged = total
	limit, ok := w.limit(s, trial)
	if trial.Rollout == "" {
		defer w.baseline.Add(added)
	}
	// What an instance hears right after its start may be long past.
	if !ok || time.Since(c.started) < warmUp {
		added = Counts{}
	}
	if !ok {
		return false
	}
	turned := w.cusum.Add(added, limit)
	under := trial.Rollout != "" && s.Tree.Rollouts[trial.Team][trial.Rollout].Status != settings.RolloutComplete
	return turned || under && Exceeds(total, limit)
}

// limit is the bad rate the version must stay below.
func (w *watch) limit(s *settings.Snapshot, trial Trial) (float64, bool) {
	if trial.Rollout == "" {
		return w.baseline.Limit()
	}
	return clampBadRate(s.Tree.Rollouts[trial.Team][trial.Rollout].BadRate), true
}

// markStages notes when each stage of each roll-out was first seen.
func (c *Controller) markStages(s *settings.Snapshot, now time.Time) {
	for team, rollouts := range s.Tree.Rollouts {
		for name, r := range rollouts {
			trial := Trial{Team: team, Ref: settings.VersionRef{Model: r.Model, Version: r.To}, Rollout: name}
			if r.Status != settings.RolloutWithdrawn && trial.known(s) {
				c.markStage(trial, r, now)
			}
		}
	}
}

func (c *Controller) markStage(trial Trial, r settings.Rollout, now time.Time) {
	w := c.watch(trial)
	if !w.stage.seen && r.Status == settings.RolloutRunning {
		c.logger.Log(events.RolloutSeen, events.Fields{Version: trial.Ref.String(), Path: trial.path(), Count: r.Stage})
	}
	if w.stage.seen && w.stage.number == r.Stage && w.stage.status == r.Status {
		c.tellStalled(trial, r, w, now)
		return
	}
	w.stage = stageMark{seen: true, number: r.Stage, status: r.Status, at: now, counts: c.pool.totals[trial]}
	w.due = time.Time{}
	w.toldStalled = false
}

func (c *Controller) tellStalled(trial Trial, r settings.Rollout, w *watch, now time.Time) {
	if r.Status != settings.RolloutRunning || r.Stage >= len(r.Stages) || w.toldStalled {
		return
	}
	stage := r.Stages[r.Stage]
	samples := c.pool.totals[trial].minus(w.stage.counts).Total()
	patience := max(stalledFactor*stage.MinDuration, stalledAfter)
	if samples < uint64(stage.MinSamples) && now.Sub(w.stage.at) > patience {
		w.toldStalled = true
		c.logger.Log(events.RolloutStalled, events.Fields{Version: trial.Ref.String(), Path: trial.path(), Count: int(samples)})
	}
}

// publish puts suspensions in force here, tells the peers of new ones, and lifts
// those that the settings now rule.
func (c *Controller) publish(s *settings.Snapshot, found []Suspension) {
	if !c.updateView(s) && len(found) == 0 {
		return
	}
	for _, suspension := range found {
		c.logger.Log(events.VersionSuspended, events.Fields{
			Version: suspension.Trial.Ref.String(), Path: suspension.Trial.path(), Reason: suspension.Reason,
		})
	}
	if len(found) > 0 {
		c.bus.Broadcast(peers.KindSuspension, suspensionMessage{Suspensions: found})
	}
}

// updateView rebuilds the view; it reports whether the settings or the
// suspensions changed.
func (c *Controller) updateView(s *settings.Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lifted := c.lift(s)
	old := c.view.Load()
	if old != nil && !lifted && s.Revision == c.revision && len(old.suspended) == len(c.suspensions) {
		return false
	}
	c.revision = s.Revision
	c.view.Store(NewView(s, c.listSuspensions()))
	return true
}

// lift ends the suspensions of versions that the settings forbid themselves, or
// whose roll-out is gone.
func (c *Controller) lift(s *settings.Snapshot) bool {
	lifted := false
	for trial := range c.suspensions {
		if trial.known(s) && s.TeamPermission(trial.Team, trial.Ref) == settings.Permitted {
			continue
		}
		delete(c.suspensions, trial)
		lifted = true
		c.logger.Log(events.SuspensionLifted, events.Fields{Version: trial.Ref.String(), Path: trial.path()})
	}
	return lifted
}

func (c *Controller) listSuspensions() []Suspension {
	list := make([]Suspension, 0, len(c.suspensions))
	for _, suspension := range c.suspensions {
		list = append(list, suspension)
	}
	return list
}
