package brittle

import (
	"maps"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/fleet"
)

const (
	// settleTime is the time in which the other instances report the slots that they occupy to a
	// new arbiter. It grants none before.
	settleTime = 300 * time.Millisecond
	// yieldTime is how long an arbiter grants nothing after another one has claimed its server:
	// their lists of the instances differ.
	yieldTime = time.Second
	// ledgerIdleTime is the time without messages about a server after which its ledger is outdated.
	ledgerIdleTime = 10 * time.Second
	// capacityStepTime is the time after which a server that turned a request away gets one
	// more slot than before.
	capacityStepTime = 250 * time.Millisecond
	// Bounds of the time to live of a slot.
	minTTL = 100 * time.Millisecond
	maxTTL = 10 * time.Minute
)

// arbiter grants the slots of the servers of which this instance is the arbiter. It is safe for
// concurrent use.
type arbiter struct {
	// claim notifies the other instances of a new ledger.
	claim func(serverKey)
	// startedAt is when this process started.
	startedAt time.Time

	mu      sync.Mutex
	ledgers map[serverKey]*ledger
	// yieldedUntil holds the servers that another instance has claimed.
	yieldedUntil map[serverKey]time.Time
}

// ledger lists the slots of a server that are occupied.
type ledger struct {
	// readyAt is when all instances have reported their slots; claimedAt is when they were asked to.
	readyAt, claimedAt time.Time
	usedAt             time.Time
	accounts           map[string]*account
	// rejectedAt is when the server last turned a request away, and occupied is the number of
	// occupied slots at that time.
	rejectedAt time.Time
	occupied   int
}

// account lists the slots that one instance occupies.
type account struct {
	process, sequence uint64
	// ended is the instance's process before; its messages come too late.
	ended uint64
	// slots holds until when each slot is occupied at most.
	slots map[slotID]time.Time
	// pending are the asked slots that the instance listed in its last message.
	pending []slotID
	// former holds until when the slots of earlier processes of the instance are occupied.
	former []time.Time
}

func newArbiter(claim func(serverKey)) *arbiter {
	return &arbiter{
		claim: claim, startedAt: time.Now(), ledgers: make(map[serverKey]*ledger), yieldedUntil: make(map[serverKey]time.Time),
	}
}

// handle records the slots that an instance occupies at a server and reports whether it gets the one
// that it asks for.
func (a *arbiter) handle(from string, m *slotMessage, server *fleet.Server, list *members) bool {
	now := time.Now()
	isArbiter := list.arbiterOf(server.ID, server.Registration.FailureDomain) == list.self && list.hasQuorum()
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.ledger(m, isArbiter, now)
	if l == nil {
		return false
	}
	if l.claimedAt.Before(list.linkedAt) && list.isFullMesh() {
		// A peer that was cut off may have used its safe share.
		a.settle(l, m.key(), now)
	}
	mine := l.record(from, m, now)
	if m.Ask == 0 || !mine.expects(m) {
		return false
	}
	if _, isGranted := mine.slots[m.Ask]; isGranted {
		return true
	}
	if now.Before(l.readyAt) || l.count(now)+l.setAside(server, list, now) >= l.capacity(server.Registration.Slots, now) {
		return false
	}
	mine.slots[m.Ask] = untilOf(m.TTL, now)
	return true
}

// ledger returns the ledger to which a message belongs. It is opened by the first message that asks for
// a slot; nil if there is none, or if this instance is not the arbiter. The caller holds the lock.
func (a *arbiter) ledger(m *slotMessage, isArbiter bool, now time.Time) *ledger {
	key := m.key()
	if !isArbiter || now.Before(a.yieldedUntil[key]) {
		delete(a.ledgers, key)
		return nil
	}
	l := a.ledgers[key]
	isOutdated := l == nil || now.Sub(l.usedAt) >= ledgerIdleTime
	if isOutdated && m.Ask == 0 {
		return nil
	}
	if isOutdated {
		l = a.open(key, now)
	}
	l.usedAt = now
	return l
}

// open opens the ledger of a server. The caller holds the lock.
func (a *arbiter) open(key serverKey, now time.Time) *ledger {
	maps.DeleteFunc(a.ledgers, func(_ serverKey, l *ledger) bool { return now.Sub(l.usedAt) >= ledgerIdleTime })
	maps.DeleteFunc(a.yieldedUntil, func(_ serverKey, until time.Time) bool { return !now.Before(until) })
	l := &ledger{accounts: make(map[string]*account)}
	a.ledgers[key] = l
	a.settle(l, key, now)
	return l
}

// settle asks the other instances to report the slots that they occupy. The caller holds the lock.
func (a *arbiter) settle(l *ledger, key serverKey, now time.Time) {
	l.claimedAt, l.readyAt = now, now.Add(settleTime)
	// No instance can report the runs of an earlier process of this one.
	if ended := a.startedAt.Add(lingerTime); l.readyAt.Before(ended) {
		l.readyAt = ended
	}
	go a.claim(key)
}

// yield ends the ledger of a server that another instance has claimed.
func (a *arbiter) yield(key serverKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ledgers[key] != nil {
		delete(a.ledgers, key)
		a.yieldedUntil[key] = time.Now().Add(yieldTime)
	}
}

// close ends the ledger of a server that is not brittle any more.
func (a *arbiter) close(key serverKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.ledgers, key)
}

// record records a message of an instance and returns its account.
func (l *ledger) record(from string, m *slotMessage, now time.Time) *account {
	mine := l.accounts[from]
	if mine == nil {
		mine = &account{slots: make(map[slotID]time.Time)}
		l.accounts[from] = mine
	}
	mine.record(m, now)
	if m.Rejected {
		l.rejectedAt, l.occupied = now, l.count(now)
	}
	return mine
}

// count returns the number of occupied slots and removes those whose time is over.
func (l *ledger) count(now time.Time) int {
	n := 0
	for _, mine := range l.accounts {
		n += mine.count(now)
	}
	return n
}

// setAside returns the number of free slots that peers without a link may use as their safe share.
func (l *ledger) setAside(server *fleet.Server, list *members, now time.Time) int {
	n := 0
	for peer := range list.unlinkedSince {
		known := 0
		if mine := l.accounts[peer]; mine != nil {
			known = mine.count(now)
		}
		n += max(0, list.safeShare(server.ID, server.Registration.Slots, peer)-known)
	}
	return n
}

// capacity returns how many slots may be occupied at once. A server that turned a request away has
// fewer than it registered, for a while: runs go on there that are in no ledger.
func (l *ledger) capacity(slots int, now time.Time) int {
	if l.rejectedAt.IsZero() {
		return slots
	}
	steps := int((now.Sub(l.rejectedAt) - fullFor) / capacityStepTime)
	if steps < 0 {
		return 0
	}
	return min(slots, max(1, l.occupied-1)+steps)
}

// record replaces the slots of the instance by those that its message lists, unless a later one was
// recorded already.
func (c *account) record(m *slotMessage, now time.Time) {
	if m.Process == c.ended {
		return
	}
	if m.Process != c.process {
		// The process before has ended, and its connections are closed.
		for _, until := range c.slots {
			if ended := now.Add(lingerTime); until.After(ended) {
				until = ended
			}
			c.former = append(c.former, until)
		}
		c.process, c.ended, c.sequence, c.slots = m.Process, c.process, 0, make(map[slotID]time.Time)
	}
	if m.Sequence <= c.sequence {
		return
	}
	slots := make(map[slotID]time.Time, len(m.Held))
	for _, held := range m.Held {
		slots[held.ID] = untilOf(held.TTL, now)
	}
	for _, id := range m.Pending {
		if until, isGranted := c.slots[id]; isGranted {
			slots[id] = until
		}
	}
	c.sequence, c.slots, c.pending = m.Sequence, slots, m.Pending
}

// expects reports whether the instance still waits for the slot that a message asks for: a later
// message may have arrived before.
func (c *account) expects(m *slotMessage) bool {
	if m.Process != c.process {
		return false
	}
	if m.Sequence == c.sequence {
		return true
	}
	for _, id := range c.pending {
		if id == m.Ask {
			return true
		}
	}
	return false
}

// count returns the number of occupied slots and removes those whose time is over.
func (c *account) count(now time.Time) int {
	maps.DeleteFunc(c.slots, func(_ slotID, until time.Time) bool { return !now.Before(until) })
	former := c.former[:0]
	for _, until := range c.former {
		if now.Before(until) {
			former = append(former, until)
		}
	}
	c.former = former
	return len(c.slots) + len(c.former)
}
