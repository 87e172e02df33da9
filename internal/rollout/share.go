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
	// fleetRowsPerSecond bounds the evidence rows that an instance hears, about 80
	// bytes each, whatever the size of the fleet and the number of trials.
	fleetRowsPerSecond = 40.0
	// ownRowsPerSecond bounds what one instance sends in a small fleet.
	ownRowsPerSecond = 10.0
	// rowBurst lets an instance that was quiet send at once.
	rowBurst = 8
	// repeatEvery is the number of messages after which one repeats totals that
	// did not change, against lost messages and for new instances.
	repeatEvery = 10
	// badWeight is how much sooner a bad answer is told than a good one.
	badWeight = 10
)

// share sends the totals that changed, within this instance's part of the budget.
func (c *Controller) share() {
	now := time.Now()
	part := fleetRowsPerSecond / float64(c.fleetSize())
	c.limiter.SetLimitAt(now, rate.Limit(min(ownRowsPerSecond, part)))
	msg, ok := c.news(int(c.limiter.TokensAt(now)))
	if !ok || !c.limiter.AllowN(now, max(len(msg.Rows), 1)) {
		return
	}
	c.markSent(msg, now)
	c.bus.Broadcast(peers.KindEvidence, msg)
}

// news collects at most limit rows that changed since they were last sent, those
// with the most bad answers first.
func (c *Controller) news(limit int) (evidenceMessage, bool) {
	if limit < 1 {
		return evidenceMessage{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	repeat := c.sends%repeatEvery == 0
	msg := evidenceMessage{Epoch: c.epoch, Suspensions: c.listSuspensions()}
	for trial, counts := range c.own {
		if repeat || counts != c.sent[trial].counts {
			msg.Rows = append(msg.Rows, evidenceRow{Trial: trial, Counts: counts})
		}
	}
	slices.SortFunc(msg.Rows, func(a, b evidenceRow) int {
		return cmp.Or(
			cmp.Compare(c.urgency(b), c.urgency(a)),
			c.sent[a.Trial].at.Compare(c.sent[b.Trial].at),
			cmp.Compare(a.Trial.path(), b.Trial.path()),
		)
	})
	msg.Rows = msg.Rows[:min(len(msg.Rows), maxRows, limit)]
	msg.Suspensions = msg.Suspensions[:min(len(msg.Suspensions), maxRows)]
	return msg, len(msg.Rows) > 0 || len(msg.Suspensions) > 0
}

// urgency weighs what the peers do not know of a row.
func (c *Controller) urgency(r evidenceRow) uint64 {
	unsent := r.Counts.minus(c.sent[r.Trial].counts)
	return unsent.Good + badWeight*unsent.Bad
}

func (c *Controller) markSent(msg evidenceMessage, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends++
	for _, row := range msg.Rows {
		c.sent[row.Trial] = sentRow{counts: row.Counts, at: now}
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
		if row.Trial.known(s) {
			c.pool.set(row.Trial, source{entry: msg.From, epoch: body.Epoch}, row.Counts, time.Now())
		}
	}
	c.mu.Unlock()
	c.adopt(body.Suspensions)
	return nil, nil
}

func (c *Controller) handleSuspension(_ context.Context, msg peers.Message) (any, error) {
	body, err := decodeSuspensions(msg.Body)
	if err != nil {
		return nil, err
	}
	c.adopt(body.Suspensions)
	return nil, nil
}

// adopt puts peers' suspensions in force at once. They can only restrict.
func (c *Controller) adopt(list []Suspension) {
	s := c.settings()
	c.mu.Lock()
	news := false
	for _, suspension := range list {
		_, already := c.suspensions[suspension.Trial]
		if already || !suspension.Trial.known(s) {
			continue
		}
		news = true
		c.suspensions[suspension.Trial] = suspension
		c.logger.Log(events.VersionSuspended, events.Fields{
			Version: suspension.Trial.Ref.String(), Path: suspension.Trial.path(), Reason: suspension.Reason,
		})
	}
	c.mu.Unlock()
	if news {
		c.updateView(s)
	}
}
