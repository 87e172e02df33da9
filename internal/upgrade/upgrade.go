// Package upgrade moves a service's traffic to another release of its backend
// servers, when the operator orders it, and back if the release is bad.
//
// In the first half of the time only few sessions, chosen by a hash of their id,
// run on the new release; one that was seen on a release keeps it. In the second
// half the share grows in steps until all have moved. Instances pool what they
// see of both releases; a sequential test on it stops a bad release after few
// answers. No instance leads: each may record the outcome, and the store lets the
// first one do so.
package upgrade

import (
	"context"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/basilrail/basilrail/internal/dispatch"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/statechart"
)

const (
	// trialRate is how many requests a second the new release gets in the first half
	// from the whole fleet: of a release that fails a third, ten seconds show
	// seventeen failures. maxTrialShare bounds it as a share of the sessions.
	trialRate     = 5.0
	maxTrialShare = 0.06
	// moveSteps are the shares in the second half and the parts of the whole time at
	// which they begin. The last leaves an eighth for the outcome's recording.
	firstMoveShare  = 0.3
	firstMoveStart  = 0.52
	secondMoveShare = 0.6
	secondMoveStart = 0.6
	wholeMoveStart  = 0.68
	// completeStart is the part of the time at which the move counts as done.
	completeStart = 0.8
	// longestAnswer is how long an answer may take: a session ends after its last.
	longestAnswer = 25 * time.Second
	// recentSessions bounds the sessions whose release is remembered.
	recentSessions = 8192
	// rateWindow is the time over which requests are counted.
	rateWindow = 5 * time.Second
	// stepEvery is how often evidence is shared and the state looked at.
	stepEvery = 250 * time.Millisecond
)

// Order is the operator's order to move a service to a release.
type Order struct {
	Service string
	To      string
	// Duration is the time within which the move is to be done.
	Duration time.Duration
	// Revision tells orders of one service apart and rises.
	Revision uint64
}

// Record is what the store keeps of an order's progress.
type Record struct {
	Service string
	To      string
	// Order is the revision of the order.
	Order uint64
	// Started is when the order was first seen, on the store's clock.
	Started time.Duration
	State   statechart.State
	// TrialShare is the share of sessions on the new release in the first half.
	TrialShare float64
	// Revision is that of the record; zero before it is written.
	Revision uint64
}

// Ledger keeps records. Each error but ErrConflict leaves open what became of a
// write.
type Ledger interface {
	// Load returns the record as last heard of; loaded is false while nothing was.
	Load(service string) (r Record, found, loaded bool)
	// Save writes a record, and what the operator reads of it, if the stored one
	// still has the revision.
	Save(ctx context.Context, r Record) error
	// Now is the store's clock; ok is false while it is not known.
	Now() (now time.Duration, ok bool)
}

// Options is what a Controller works with.
type Options struct {
	Bus    peers.Bus
	Ledger Ledger
	Fleet  *fleet.Set
	Chart  *statechart.Chart
	// SessionGap is the time after which a session that was idle counts as new.
	SessionGap time.Duration
	Log        *events.Logger
}

// Controller chooses releases. It is safe for concurrent use.
type Controller struct {
	Options
	mu      sync.Mutex
	moves   map[string]*move
	settled map[string]string
	recent  *lru.Cache[sessionKey, sighting]
	pool    *evidencePool
	rates   map[string]*rate
}

// rate counts the requests of a service at this instance.
type rate struct {
	since time.Time
	count float64
}

// sighting is where a session ran last.
type sighting struct {
	release string
	at      time.Time
}

// move is one order in progress.
type move struct {
	order   Order
	record  Record
	machine *statechart.Machine
	// known tells that the record was read or written, so that its start is sure.
	known bool
	// stored tells that the store holds the record.
	stored bool
	// bad tells that this instance or a peer found the release bad, badSince when.
	bad      bool
	badSince time.Time
	// savedAt is when this instance tried to write the record.
	savedAt time.Time
	// sharedAt is when this instance last told of its evidence, sharedBad the bad
	// answers that it told of.
	sharedAt  time.Time
	sharedBad uint64
	// kept are sessions on the new release's side of the hash that this instance saw
	// on the old one, and when; the peers are told of them.
	kept map[sessionKey]time.Time
	// hasUntold tells that a session was kept since this instance last told.
	hasUntold bool
}

// New makes a Controller and registers its message handler.
func New(o Options) *Controller {
	// The only error is a size below one.
	recent, _ := lru.New[sessionKey, sighting](recentSessions)
	c := &Controller{
		Options: o,
		moves:   make(map[string]*move),
		settled: make(map[string]string),
		recent:  recent,
		pool:    newEvidencePool(),
		rates:   make(map[string]*rate),
	}
	o.Bus.Handle(peers.KindUpgradeEvidence, c.handleEvidence)
	return c
}

// Order tells of an order in force. The same one again changes nothing.
func (c *Controller) Order(o Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.moves[o.Service]; m != nil && m.order.Revision >= o.Revision {
		return
	}
	m := &move{order: o, machine: statechart.NewMachine(c.Chart), kept: make(map[sessionKey]time.Time)}
	c.moves[o.Service] = m
	c.pool.reset(o)
	c.keepRunning(m)
	c.Log.Log(events.UpgradeOrdered, events.Fields{Path: o.Service, Version: o.To, Revision: o.Revision, Duration: o.Duration})
}

// Cancelled tells that a service has no order any more.
func (c *Controller) Cancelled(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.moves, service)
}

// Choose returns the release that runs a request; empty for any.
func (c *Controller) Choose(service, session string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countRequest(service)
	key := keyOf(service, session)
	release := c.release(service, session, key)
	if session != "" {
		c.recent.Add(key, sighting{release: release, at: time.Now()})
		c.keep(c.moves[service], key, release)
	}
	return release
}

// release is the release for a request of a session. The caller holds the lock.
func (c *Controller) release(service, session string, key sessionKey) string {
	m := c.moves[service]
	if m == nil {
		return c.settledRelease(service)
	}
	old := c.oldRelease(service, m.order.To)
	switch state := m.machine.State(); {
	case m.bad, state == statechart.UpgradeReverted:
		return old
	case state == statechart.UpgradeCompleted:
		return m.order.To
	case !m.stored || !c.isTrialDue(m) || !c.serves(service, m.order.To):
		return old
	}
	return c.side(m, session, key, old)
}

// countRequest measures how many requests of a service this instance gets.
func (c *Controller) countRequest(service string) {
	r := c.rates[service]
	now := time.Now()
	if r == nil {
		r = &rate{since: now}
		c.rates[service] = r
	}
	if now.Sub(r.since) > 2*rateWindow {
		// The older half of the count is forgotten.
		r.since, r.count = r.since.Add(now.Sub(r.since)/2), r.count/2
	}
	r.count++
}

// trialShare is the share of sessions for the first half of an order that begins
// now.
func (c *Controller) trialShare(service string) float64 {
	r := c.rates[service]
	if r == nil {
		return maxTrialShare
	}
	seconds := max(1, time.Since(r.since).Seconds())
	fleetRate := r.count / seconds * float64(len(c.Bus.Peers())+1)
	return min(maxTrialShare, trialRate/max(fleetRate, trialRate))
}

// settledRelease is the release of a service without an order. Servers of another
// release may be known before the order that they were started for. The caller
// holds the lock.
func (c *Controller) settledRelease(service string) string {
	if release := c.settled[service]; release != "" {
		return release
	}
	if releases := c.Fleet.Snapshot().Releases(service); len(releases) == 1 {
		c.settled[service] = releases[0]
	}
	return c.settled[service]
}

// side decides on which release a session runs.
func (c *Controller) side(m *move, session string, key sessionKey, old string) string {
	seen, ok := c.recent.Get(key)
	isRecent := session != "" && ok && time.Since(seen.at) < c.memory()
	switch {
	case isRecent && seen.release == m.order.To:
		return m.order.To
	case isRecent && m.machine.State() == statechart.UpgradeObserving:
		return old
	case hashShare(m.order, key) < m.shareAt(c.progress(m)):
		return m.order.To
	}
	return old
}

// shareAt is the share of sessions on the new release, by the part of the time
// that has passed.
func (m *move) shareAt(progress float64) float64 {
	switch {
	case progress >= wholeMoveStart:
		return 1
	case progress >= secondMoveStart:
		return secondMoveShare
	case progress >= firstMoveStart:
		return firstMoveShare
	}
	return m.record.TrialShare
}

// progress is the part of an order's time that has passed.
func (c *Controller) progress(m *move) float64 {
	now, ok := c.Ledger.Now()
	if !ok || m.order.Duration <= 0 {
		return 0
	}
	return float64(now-m.record.Started) / float64(m.order.Duration)
}

// oldRelease is the release that the service had before; empty if its servers
// tell of none but the new one.
func (c *Controller) oldRelease(service, to string) string {
	for _, release := range c.Fleet.Snapshot().Releases(service) {
		if release != to {
			return release
		}
	}
	return ""
}

func (c *Controller) serves(service, release string) bool {
	return slices.Contains(c.Fleet.Snapshot().Releases(service), release)
}

// Observe takes in how an attempt ended.
func (c *Controller) Observe(o dispatch.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.moves[o.Service]; m != nil && !m.machine.Final() {
		c.pool.observe(m.order, o)
	}
}
