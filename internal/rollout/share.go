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
	// fleetMessagesPerSecond bounds the evidence messages that an instance hears,
	// about 150 bytes each, whatever the size of the fleet.
	fleetMessagesPerSecond = 20.0
	// ownMessagesPerSecond bounds what one instance sends in a small fleet.
	ownMessagesPerSecond = 1.0
	// evidenceBurst lets an instance that was quiet send at once.
	evidenceBurst = 2
	// repeatEvery is the number of messages after which one repeats totals that
	// did not change, against lost messages and for new instances.
	repeatEvery = 10
)

// share sends the totals that changed, within this instance's part of the budget.
func (c *Controller) share() {
	share := fleetMessagesPerSecond / float64(c.fleetSize())
	c.limiter.SetLimit(rate.Limit(min(ownMessagesPerSecond, share)))
	msg, ok := c.news()
	if !ok || !c.limiter.Allow() {
		return
	}
	c.markSent(msg)
	c.bus.Broadcast(peers.KindEvidence, msg)
}

// news collects what changed since the last message, most bad answers first.
func (c *Controller) news() (evidenceMessage, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	repeat := c.sends%repeatEvery == 0
	msg := evidenceMessage{Epoch: c.epoch, Suspensions: c.listSuspensions()}
	for trial, counts := range c.own {
		if repeat || counts != c.sent[trial] {
			msg.Rows = append(msg.Rows, evidenceRow{Trial: trial, Counts: counts})
		}
	}
	unsentBad := func(r evidenceRow) uint64 { return r.Counts.Bad - c.sent[r.Trial].Bad }
	slices.SortFunc(msg.Rows, func(a, b evidenceRow) int {
		return cmp.Or(cmp.Compare(unsentBad(b), unsentBad(a)), cmp.Compare(a.Trial.path(), b.Trial.path()))
	})
	msg.Rows = msg.Rows[:min(len(msg.Rows), maxRows)]
	msg.Suspensions = msg.Suspensions[:min(len(msg.Suspensions), maxRows)]
	return msg, len(msg.Rows) > 0 || len(msg.Suspensions) > 0
}

func (c *Controller) markSent(msg evidenceMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends++
	for _, row := range msg.Rows {
		c.sent[row.Trial] = row.Counts
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
