package upgrade

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilrail/basilrail/internal/statechart"
)

const (
	// trialDelay is the time from an order's start to its trial, in which the order
	// reaches every instance and the instances tell each other of running sessions:
	// a change of a table is heard of within 1 s while the store answers.
	trialDelay = 1500 * time.Millisecond
	// trialDelayShare bounds it as a part of the order's time.
	trialDelayShare = 0.1
	// keepMargin is how many times the trial's share the kept sessions may have: the
	// instance that records the order measured the share by its own requests.
	keepMargin = 2
	// untoldGap is the least time, for each instance of the fleet, between two
	// messages with sessions that the peers don't know yet: each instance hears of all.
	untoldGap = 10 * time.Millisecond
	// maxToldSessions bounds the sessions in a message: a trial of trialRate requests
	// a second has about 25 in the whole fleet.
	maxToldSessions = 64
)

// sessionKey stands for a session of a service.
type sessionKey uint64

func keyOf(service, session string) sessionKey {
	return sessionKey(xxhash.Sum64String(service + "\x00" + session))
}

// hashShare spreads sessions evenly between 0 and 1, the same on every instance
// and another way for each release.
func hashShare(o Order, key sessionKey) float64 {
	text := binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(o.To)), uint64(key))
	return float64(xxhash.Sum64(append(text, o.To...))>>11) / (1 << 53)
}

// memory is how long a session's last request counts: its answer and the pause
// after which the session is new.
func (c *Controller) memory() time.Duration { return c.SessionGap + longestAnswer }

// isTrialDue reports whether every instance may know the sessions that were
// running when the order came.
func (c *Controller) isTrialDue(m *move) bool {
	now, ok := c.Ledger.Now()
	delay := min(trialDelay, time.Duration(trialDelayShare*float64(m.order.Duration)))
	return ok && now-m.record.Started >= delay
}

// keepRunning collects the sessions that stay on the old release from those that
// were running before an order. The caller holds the lock.
func (c *Controller) keepRunning(m *move) {
	for _, key := range c.recent.Keys() {
		seen, ok := c.recent.Peek(key)
		if ok && time.Since(seen.at) < c.memory() && hashShare(m.order, key) < maxTrialShare {
			m.kept[key], m.hasUntold = seen.at, true
		}
	}
}

// keep notes that a session on the new release's side ran on the old one. The
// caller holds the lock.
func (c *Controller) keep(m *move, key sessionKey, release string) {
	if m == nil || release == m.order.To || m.machine.State() != statechart.UpgradeObserving ||
		hashShare(m.order, key) >= m.keptShare() {
		return
	}
	// A session that the peers know of is refreshed with the next evidence.
	if _, isTold := m.kept[key]; !isTold {
		m.hasUntold = true
	}
	m.kept[key] = time.Now()
}

// keptShare is the share of sessions that may belong to the trial.
func (m *move) keptShare() float64 {
	if !m.known {
		return maxTrialShare
	}
	return min(maxTrialShare, keepMargin*m.record.TrialShare)
}

// toldSession is a session that its teller saw on the old release.
type toldSession struct {
	Key sessionKey `cbor:"1,keyasint"`
	// Age is the time since its last request, in milliseconds.
	Age int64 `cbor:"2,keyasint"`
}

// toldSessions are the kept sessions to tell the peers of; older ones are dropped.
// The caller holds the lock.
func (c *Controller) toldSessions(m *move) []toldSession {
	m.hasUntold = false
	var told []toldSession
	for key, at := range m.kept {
		age := time.Since(at)
		if age >= c.memory() || hashShare(m.order, key) >= m.keptShare() {
			delete(m.kept, key)
			continue
		}
		if len(told) < maxToldSessions {
			told = append(told, toldSession{Key: key, Age: age.Milliseconds()})
		}
	}
	return told
}

// hear takes in the sessions that a peer saw on the old release. What this
// instance saw itself counts more. The caller holds the lock.
func (c *Controller) hear(m *move, told []toldSession) {
	old := c.oldRelease(m.order.Service, m.order.To)
	for _, session := range told {
		at := time.Now().Add(-time.Duration(session.Age) * time.Millisecond)
		if seen, ok := c.recent.Peek(session.Key); !ok || seen.at.Before(at) && seen.release == old {
			c.recent.Add(session.Key, sighting{release: old, at: at})
		}
	}
}
