package rollout

import (
	"fmt"
	"time"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// stalledFactor is the multiple of its minimum duration after which a stage without
	// enough samples is logged as stalled; stalledAfter is the minimum.
	stalledFactor = 10
	stalledAfter  = 10 * time.Minute
)

// judge evaluates all evidence and returns the new suspensions.
func (c *Controller) judge(s *settings.Snapshot) []Suspension {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.expireUnused(s, now)
	c.markStages(s, now)
	var found []Suspension
	for key, total := range c.evidence.totals {
		if !key.existsIn(s) {
			continue
		}
		if suspension, ok := c.judgeKey(s, key, total); ok {
			found = append(found, suspension)
		}
	}
	return found
}

// expireInterval is the interval at which unneeded state is deleted.
const expireInterval = time.Minute

// expireUnused deletes state about keys that the settings no longer contain.
func (c *Controller) expireUnused(s *settings.Snapshot, now time.Time) {
	if now.Sub(c.expiredAt) < expireInterval {
		return
	}
	c.expiredAt = now
	c.evidence.expire(s, now)
	for key := range c.monitors {
		if !key.existsIn(s) {
			delete(c.monitors, key)
			delete(c.own, key)
			delete(c.sent, key)
		}
	}
}

// judgeKey tests the version of one key and suspends it if it is bad and the team may
// use another version in its place.
func (c *Controller) judgeKey(s *settings.Snapshot, key EvidenceKey, total Counts) (Suspension, bool) {
	m := c.monitorFor(key)
	m.bad = c.test(s, key, m, total) || m.bad
	if _, already := c.suspensions[key]; already || !m.bad || s.TeamPermission(key.Team, key.Ref) != settings.Permitted {
		return Suspension{}, false
	}
	if _, ok := replacementFor(s, c.view.Load(), key.Team, key.Ref); !ok {
		c.logNoReplacement(key, m)
		return Suspension{}, false
	}
	suspension := Suspension{EvidenceKey: key, Reason: reason(total)}
	c.suspensions[key] = suspension
	return suspension, true
}

func reason(c Counts) string {
	return fmt.Sprintf("%d of %d rated answers were bad", c.Bad, c.Total())
}

func (c *Controller) logNoReplacement(key EvidenceKey, m *monitor) {
	if !m.noReplacementLogged {
		m.noReplacementLogged = true
		c.logger.Log(events.VersionBadNoAlternative, events.Fields{Version: key.Ref.String(), Path: key.path()})
	}
}

// test runs the sequential tests on a key's new evidence and reports whether the
// version is bad.
func (c *Controller) test(s *settings.Snapshot, key EvidenceKey, m *monitor, total Counts) bool {
	added := total.minus(m.tested)
	m.tested = total
	limit, ok := m.limit(s, key)
	if key.Rollout == "" {
		defer m.baseline.Add(added)
	}
	// Answers that peers report right after this instance's start may be old.
	if !ok || time.Since(c.started) < warmUp {
		added = Counts{}
	}
	if !ok {
		return false
	}
	turnedBad := m.cusum.Add(added, limit)
	inProgress := key.Rollout != "" && s.Tree.Rollouts[key.Team][key.Rollout].Status != settings.RolloutComplete
	return turnedBad || inProgress && Exceeds(total, limit)
}

// limit returns the bad rate that the version must not exceed; ok is false while it
// is unknown.
func (m *monitor) limit(s *settings.Snapshot, key EvidenceKey) (float64, bool) {
	if key.Rollout == "" {
		return m.baseline.Limit()
	}
	return clampBadRate(s.Tree.Rollouts[key.Team][key.Rollout].BadRate), true
}

// markStages records when each stage of each rollout was first seen.
func (c *Controller) markStages(s *settings.Snapshot, now time.Time) {
	for team, rollouts := range s.Tree.Rollouts {
		for name, r := range rollouts {
			key := EvidenceKey{Team: team, Ref: settings.VersionRef{Model: r.Model, Version: r.To}, Rollout: name}
			if r.Status != settings.RolloutWithdrawn && key.existsIn(s) {
				c.markStage(key, r, now)
			}
		}
	}
}

func (c *Controller) markStage(key EvidenceKey, r settings.Rollout, now time.Time) {
	m := c.monitorFor(key)
	if !m.stage.seen && r.Status == settings.RolloutRunning {
		c.logger.Log(events.RolloutFound, events.Fields{Version: key.Ref.String(), Path: key.path(), Count: r.Stage})
	}
	if m.stage.seen && m.stage.number == r.Stage && m.stage.status == r.Status {
		c.logStalled(key, r, m, now)
		return
	}
	m.stage = stageMark{seen: true, number: r.Stage, status: r.Status, at: now, counts: c.evidence.totals[key]}
	m.due = time.Time{}
	m.stalledLogged = false
}

func (c *Controller) logStalled(key EvidenceKey, r settings.Rollout, m *monitor, now time.Time) {
	if r.Status != settings.RolloutRunning || r.Stage >= len(r.Stages) || m.stalledLogged {
		return
	}
	stage := r.Stages[r.Stage]
	samples := c.evidence.totals[key].minus(m.stage.counts).Total()
	stalledTimeout := max(stalledFactor*stage.MinDuration, stalledAfter)
	if samples < uint64(stage.MinSamples) && now.Sub(m.stage.at) > stalledTimeout {
		m.stalledLogged = true
		c.logger.Log(events.RolloutStalled, events.Fields{Version: key.Ref.String(), Path: key.path(), Count: int(samples)})
	}
}

// publish applies the suspensions at this instance, broadcasts new ones to the peers,
// and lifts those that the settings have replaced.
func (c *Controller) publish(s *settings.Snapshot, found []Suspension) {
	if !c.updateView(s) && len(found) == 0 {
		return
	}
	for _, suspension := range found {
		c.logger.Log(events.VersionSuspended, events.Fields{
			Version: suspension.EvidenceKey.Ref.String(), Path: suspension.EvidenceKey.path(), Reason: suspension.Reason,
		})
	}
	if len(found) > 0 {
		c.bus.Broadcast(peers.KindSuspension, suspensionMessage{Suspensions: found})
	}
}

// updateView rebuilds the view if the settings or the suspensions changed, and
// reports whether they did.
func (c *Controller) updateView(s *settings.Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lifted := c.liftSuspensions(s)
	old := c.view.Load()
	if old != nil && !lifted && s.Revision == c.revision && len(old.suspended) == len(c.suspensions) {
		return false
	}
	c.revision = s.Revision
	c.view.Store(NewView(s, c.listSuspensions()))
	return true
}

// liftSuspensions removes the suspensions of versions that the settings now forbid,
// or that the settings no longer contain. The caller holds the lock.
func (c *Controller) liftSuspensions(s *settings.Snapshot) bool {
	lifted := false
	for key := range c.suspensions {
		if key.existsIn(s) && s.TeamPermission(key.Team, key.Ref) == settings.Permitted {
			continue
		}
		delete(c.suspensions, key)
		lifted = true
		c.logger.Log(events.SuspensionLifted, events.Fields{Version: key.Ref.String(), Path: key.path()})
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
