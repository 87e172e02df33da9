package rollout

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.yaml.in/yaml/v3"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/tablestore"
)

const (
	// changeSpread is the time per listed instance over which the instances randomly
	// spread a change that is due at all of them; the first write makes the others
	// unnecessary.
	changeSpread    = 200 * time.Millisecond
	changeSpreadMin = time.Second
	changeSpreadMax = 30 * time.Second
	// applyTimeout is the timeout of one write.
	applyTimeout = 2 * time.Second
	// maxNameBytes is the maximum length of a document's name.
	maxNameBytes = 64
)

// plan is a change of one rollout document.
type plan struct {
	key    EvidenceKey
	event  statechart.Event
	reason string
	// rollout is the document before the event; revision is zero if it is to be created.
	rollout  settings.Rollout
	revision uint64
}

// path returns the settings path of the key's rollout, or of the document that
// withdraws a version in steady use.
func (k EvidenceKey) path() string {
	name := k.Rollout
	if name == "" {
		name = withdrawalName(k.Ref)
	}
	return "/teams/" + k.Team + "/rollouts/" + name
}

func withdrawalName(ref settings.VersionRef) string {
	name := "withdraw-" + ref.Model + "-" + ref.Version
	if len(name) > maxNameBytes {
		name = fmt.Sprintf("withdraw-%x", xxhash.Sum64String(ref.String()))
	}
	return name
}

// startDueChange applies one due change in the background, one at a time.
func (c *Controller) startDueChange(ctx context.Context, s *settings.Snapshot) {
	due, ok := c.nextDueChange(s)
	if !ok || !c.applying.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.applying.Store(false)
		c.applyChange(ctx, due)
	}()
}

// nextDueChange schedules the changes that are needed, each after a random delay, and
// returns one that is due.
func (c *Controller) nextDueChange(s *settings.Snapshot) (plan, bool) {
	spread := min(max(changeSpread*time.Duration(c.fleetSize()), changeSpreadMin), changeSpreadMax)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for key, m := range c.monitors {
		p, ok := c.planFor(s, key, m, now)
		switch {
		case !ok:
			m.due = time.Time{}
		case m.due.IsZero():
			m.due = now.Add(time.Duration(c.rand.Int64N(int64(spread))))
		case now.After(m.due):
			m.due = time.Time{}
			return p, true
		}
	}
	return plan{}, false
}

// planFor returns the change needed for a key; ok is false if there is none.
func (c *Controller) planFor(s *settings.Snapshot, key EvidenceKey, m *monitor, now time.Time) (plan, bool) {
	suspension, suspended := c.suspensions[key]
	p := plan{key: key, reason: suspension.Reason}
	if key.Rollout == "" {
		p.event = statechart.RolloutVersionBad
		replacement, ok := replacementFor(s, c.view.Load(), key.Team, key.Ref)
		p.rollout = withdrawal(key.Ref, replacement)
		return p, suspended && ok
	}
	r, ok := s.Tree.Rollouts[key.Team][key.Rollout]
	if !ok {
		return plan{}, false
	}
	event, ok := NextEvent(r, Progress{
		Counts:  c.evidence.totals[key].minus(m.stage.counts),
		InStage: now.Sub(m.stage.at),
		Bad:     suspended,
	})
	p.event, p.rollout = event, r
	return p, ok && (suspended || !m.bad)
}

// withdrawal returns the document for a version in steady use that turned bad: a
// rollout from its replacement, with the status complete before the event.
func withdrawal(ref, replacement settings.VersionRef) settings.Rollout {
	return settings.Rollout{
		Model:  ref.Model,
		From:   replacement.Version,
		To:     ref.Version,
		Status: settings.RolloutComplete,
		Stages: []settings.Stage{{Percent: percent}},
	}
}

// applyChange writes one change.
func (c *Controller) applyChange(ctx context.Context, p plan) {
	p, ok := c.refresh(p)
	if !ok {
		return
	}
	next, err := apply(c.chart, p.rollout, p.event, p.reason)
	if err != nil {
		return
	}
	body, err := yaml.Marshal(next)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	outcome := c.applier.Apply(ctx, settings.Change{
		ID:        c.changeID(),
		Author:    c.bus.Self(),
		Documents: []settings.Document{{Path: p.key.path(), Body: body, Revision: p.revision}},
	})
	c.logOutcome(p, outcome)
}

// refresh reads the document that the change replaces; ok is false if it differs from
// the one that was evaluated, so that the change is planned again.
func (c *Controller) refresh(p plan) (plan, bool) {
	doc, ok := c.applier.Document(p.key.path())
	if p.key.Rollout == "" {
		p.revision = doc.Revision
		return p, !ok
	}
	if !ok {
		return p, false
	}
	var present settings.Rollout
	if err := yaml.Unmarshal(doc.Body, &present); err != nil {
		return p, false
	}
	same := present.Status == p.rollout.Status && present.Stage == p.rollout.Stage && present.To == p.rollout.To
	p.rollout, p.revision = present, doc.Revision
	return p, same
}

// changeID returns a unique id for a change.
func (c *Controller) changeID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes++
	return fmt.Sprintf("%s-%x-%d", c.bus.Self(), c.epoch, c.changes)
}

func (c *Controller) logOutcome(p plan, outcome tablestore.Outcome) {
	fields := events.Fields{Version: p.key.Ref.String(), Path: p.key.path(), Reason: p.reason}
	switch outcome {
	case tablestore.OutcomeCommitted:
		c.logger.Log(committedEvent(p.event), fields)
	case tablestore.OutcomeConflict:
		c.logger.Log(events.RolloutChangeConflict, fields)
	default:
		fields.Reason = outcome.String()
		c.logger.Log(events.RolloutChangeDelayed, fields)
	}
}

// committedEvent returns the log event for a committed change.
func committedEvent(e statechart.Event) *events.Event {
	switch e {
	case statechart.RolloutStagePassed:
		return events.RolloutAdvanced
	case statechart.RolloutLastStagePassed:
		return events.RolloutCompleted
	default:
		return events.RolloutVersionWithdrawn
	}
}
