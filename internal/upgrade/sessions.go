package upgrade

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilrail/basilrail/internal/statechart"
)

const (
	// canaryDelay is the time from an upgrade's start to the first sessions on the new
	// release. During it the upgrade reaches every instance (within 1 s while the store
	// answers) and the instances exchange the sessions that are running.
	canaryDelay = 1500 * time.Millisecond
	// maxCanaryDelayFraction bounds canaryDelay as a fraction of the upgrade's duration.
	maxCanaryDelayFraction = 0.1
	// pinShareMargin is the ratio of the share of sessions that may be pinned to the
	// canary share. The instance that records the upgrade estimates the canary share
	// from its own requests only.
	pinShareMargin = 2
	// maxPinnedShare is the largest share of sessions that may be pinned, before the canary
	// share is known.
	maxPinnedShare = canaryExposure * maxAllowedShare
	// minPinInterval is the minimum time, multiplied by the number of instances, between
	// two messages sent for new pins: each instance receives the messages of all.
	minPinInterval = 10 * time.Millisecond
	// maxPinsPerMessage bounds the pins in a message: a canary of canaryRate requests
	// per second has about 50 sessions in the whole fleet. Further ones follow in the next
	// messages.
	maxPinsPerMessage = 64
)

// sessionKey is the hash of a session id and its service.
type sessionKey uint64

func keyOf(service, session string) sessionKey {
	return sessionKey(xxhash.Sum64String(service + "\x00" + session))
}

// hashFraction maps sessions uniformly to [0, 1). The result is the same on every
// instance and differs between releases.
func hashFraction(upgrade Upgrade, key sessionKey) float64 {
	text := binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(upgrade.To)), uint64(key))
	return float64(xxhash.Sum64(append(text, upgrade.To...))>>11) / (1 << 53)
}

// drawFraction returns the position of a request in [0, 1), by which it is assigned to a
// release: that of its session, or a random one if it has none. The caller holds the lock.
func (c *Controller) drawFraction(upgrade Upgrade, session string, key sessionKey) float64 {
	if session == "" {
		return c.rng.Float64()
	}
	return hashFraction(upgrade, key)
}

// sessionTTL is the time after a session's last request from which the session
// counts as new: the longest time that the answer may take plus the idle time.
func (c *Controller) sessionTTL() time.Duration { return c.SessionIdleTimeout + maxAnswerDuration }

// isCanaryDue reports whether the delay before the canary has passed: canaryDelay, or
// maxCanaryDelayFraction of the upgrade's duration if that is shorter. It gives every
// instance time to receive the sessions that were running when the upgrade began.
func (c *Controller) isCanaryDue(u *upgradeState) bool {
	now, ok := c.Records.Now()
	delay := min(canaryDelay, time.Duration(maxCanaryDelayFraction*float64(u.upgrade.Duration)))
	return ok && now-u.record.Started >= delay
}

// pinRunningSessions pins to the old release the sessions that were running before
// an upgrade and might be assigned to the canary. The caller holds the lock.
func (c *Controller) pinRunningSessions(u *upgradeState) {
	for _, key := range c.recent.Keys() {
		seen, ok := c.recent.Peek(key)
		if ok && time.Since(seen.at) < c.sessionTTL() && hashFraction(u.upgrade, key) < maxPinnedShare {
			u.pins[key], u.hasUnsentPins = pin{seenAt: seen.at}, true
		}
	}
}

// pinSession pins a session that ran on the old release although its hash assigns
// it to the new one. The caller holds the lock.
func (c *Controller) pinSession(u *upgradeState, key sessionKey, release string) {
	if u == nil || release == u.upgrade.To || u.machine.State() != statechart.UpgradeObserving ||
		hashFraction(u.upgrade, key) >= u.pinnedShare() {
		return
	}
	// An existing pin is refreshed with the next evidence.
	p := u.pins[key]
	if !p.isSent {
		u.hasUnsentPins = true
	}
	u.pins[key] = pin{seenAt: time.Now(), isSent: p.isSent}
}

// pinnedShare is the share of sessions that may belong to the canary. Until the record is
// stored, that of another instance may set a larger canary than this one would.
func (u *upgradeState) pinnedShare() float64 {
	if !u.stored {
		return maxPinnedShare
	}
	return min(maxPinnedShare, pinShareMargin*u.record.CanaryShare)
}

// pin is a session that this instance saw on the old release although its hash assigns it to
// the new one.
type pin struct {
	seenAt time.Time
	// isSent is true if the peers were notified of the session.
	isSent bool
}

// sessionPin is a session that the sender saw on the old release.
type sessionPin struct {
	Key sessionKey `cbor:"1,keyasint"`
	// Age is the time since its last request, in milliseconds.
	Age int64 `cbor:"2,keyasint"`
}

// pinsToSend returns at most maxPinsPerMessage pins to send to the peers, those first that
// were not sent yet. It deletes pins that expired or whose session can't belong to the canary.
// The caller holds the lock.
func (c *Controller) pinsToSend(u *upgradeState) []sessionPin {
	var unsent, sent []sessionPin
	for key, p := range u.pins {
		age := time.Since(p.seenAt)
		switch {
		case age >= c.sessionTTL() || hashFraction(u.upgrade, key) >= u.pinnedShare():
			delete(u.pins, key)
		case p.isSent:
			sent = append(sent, sessionPin{Key: key, Age: age.Milliseconds()})
		default:
			unsent = append(unsent, sessionPin{Key: key, Age: age.Milliseconds()})
		}
	}
	u.hasUnsentPins = len(unsent) > maxPinsPerMessage
	list := append(unsent, sent...)
	list = list[:min(len(list), maxPinsPerMessage)]
	for _, session := range list {
		p := u.pins[session.Key]
		p.isSent = true
		u.pins[session.Key] = p
	}
	return list
}

// mergePins records the sessions that a peer saw on the old release, unless this
// instance saw the session on the new release or more recently. The caller holds
// the lock.
func (c *Controller) mergePins(u *upgradeState, pins []sessionPin) {
	old := c.oldRelease(u.upgrade.Service, u.upgrade.To)
	for _, session := range pins {
		at := time.Now().Add(-time.Duration(session.Age) * time.Millisecond)
		if seen, ok := c.recent.Peek(session.Key); !ok || seen.at.Before(at) && seen.release == old {
			c.recent.Add(session.Key, sessionRelease{release: old, at: at})
		}
	}
}
