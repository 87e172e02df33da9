package rollout

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// fleetRowsPerSecond bounds the evidence rows, of about 80 bytes each, that an
	// instance receives, whatever the size of the fleet and the number of keys.
	fleetRowsPerSecond = 40.0
	// ownRowsPerSecond bounds the rows that one instance sends in a small fleet.
	ownRowsPerSecond = 10.0
	// rowBurst lets an idle instance send without delay.
	rowBurst = 8
	// repeatEvery is the number of messages of which one includes unchanged totals, to
	// make up for lost messages and for new instances.
	repeatEvery = 10
	// badWeight is the weight of an unsent bad answer relative to a good one.
	badWeight = 10
)

// sendEvidence sends the totals that changed, within this instance's share of the
// fleet's rate limit.
func (c *Controller) sendEvidence() {
	now := time.Now()
	part := fleetRowsPerSecond / float64(c.fleetSize())
	c.limiter.SetLimitAt(now, rate.Limit(min(ownRowsPerSecond, part)))
	msg, ok := c.pendingEvidence(int(c.limiter.TokensAt(now)))
	if !ok || !c.limiter.AllowN(now, max(len(msg.Rows), 1)) {
		return
	}
	c.markSent(msg, now)
	c.bus.Broadcast(peers.KindEvidence, msg)
}

// pendingEvidence collects at most limit rows that changed since they were last sent,
// those of the highest priority first.
func (c *Controller) pendingEvidence(limit int) (evidenceMessage, bool) {
	if limit < 1 {
		return evidenceMessage{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	repeat := c.sends%repeatEvery == 0
	msg := evidenceMessage{Epoch: c.epoch, Suspensions: c.listSuspensions()}
	for key, counts := range c.own {
		if repeat || counts != c.sent[key].counts {
			msg.Rows = append(msg.Rows, evidenceRow{EvidenceKey: key, Counts: counts})
		}
	}
	slices.SortFunc(msg.Rows, func(a, b evidenceRow) int {
		return cmp.Or(
			cmp.Compare(c.priority(b), c.priority(a)),
			c.sent[a.EvidenceKey].at.Compare(c.sent[b.EvidenceKey].at),
			cmp.Compare(a.EvidenceKey.path(), b.EvidenceKey.path()),
		)
	})
	msg.Rows = msg.Rows[:min(len(msg.Rows), maxRows, limit)]
	msg.Suspensions = msg.Suspensions[:min(len(msg.Suspensions), maxRows)]
	return msg, len(msg.Rows) > 0 || len(msg.Suspensions) > 0
}

// priority returns the weighted number of a row's answers not yet sent.
func (c *Controller) priority(r evidenceRow) uint64 {
	unsent := r.Counts.minus(c.sent[r.EvidenceKey].counts)
	return unsent.Good + badWeight*unsent.Bad
}

func (c *Controller) markSent(msg evidenceMessage, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends++
	for _, row := range msg.Rows {
		c.sent[row.EvidenceKey] = sentRow{counts: row.Counts, at: now}
	}
}

func (c *Controller) handleEvidence(_ context.Context, msg peers.Message) (any, error) {
	body, err := decodeEvidence(msg.Body)
	if err != nil {
		return nil, err
	}
	s := c.settings()
	c.mu.Lock()
	for _, row := range body.Rows {
		if row.EvidenceKey.existsIn(s) {
			c.evidence.update(row.EvidenceKey, source{instance: msg.From, epoch: body.Epoch}, row.Counts, time.Now())
		}
	}
	c.mu.Unlock()
	c.applySuspensions(body.Suspensions)
	return nil, nil
}

func (c *Controller) handleSuspension(_ context.Context, msg peers.Message) (any, error) {
	body, err := decodeSuspensions(msg.Body)
	if err != nil {
		return nil, err
	}
	c.applySuspensions(body.Suspensions)
	return nil, nil
}

// applySuspensions puts peers' suspensions into effect at once. They can only
// restrict.
func (c *Controller) applySuspensions(list []Suspension) {
	s := c.settings()
	c.mu.Lock()
	changed := false
	for _, suspension := range list {
		_, already := c.suspensions[suspension.EvidenceKey]
		if already || !suspension.EvidenceKey.existsIn(s) {
			continue
		}
		changed = true
		c.suspensions[suspension.EvidenceKey] = suspension
		c.logger.Log(events.VersionSuspended, events.Fields{
			Version: suspension.EvidenceKey.Ref.String(), Path: suspension.EvidenceKey.path(), Reason: suspension.Reason,
		})
	}
	c.mu.Unlock()
	if changed {
		c.updateView(s)
	}
}
