// Package upgrade moves a service's traffic to another release of its backend
// servers at the operator's request, and back if the release is bad.
//
// For most of the duration only a small share of the requests runs on the new release
// (the canary): sessions selected by a hash of their id, and requests without one by a
// draw. In the first half a running session stays on its release. Near the end all
// requests move, as late as needed to keep the allowed exposure to a bad release. Instances
// exchange counts of the answers of both releases; sequential tests on the sums stop a bad
// release after few answers, and an upgrade is completed only once the new release is sound under
// the load of all requests. There is no leader: each instance may record the outcome, and
// the store accepts the first write.
package upgrade

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/basilrail/basilrail/internal/dispatch"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/storefeed"
)

const (
	// canaryRate is the number of requests per second from the whole fleet in a canary: a
	// release that fails a third of them shows 35 failures in 10 s.
	canaryRate = 10.0
	// maxAnswerDuration is the longest time that an answer may take. The idle time of a
	// session is counted from the end of its last answer.
	maxAnswerDuration = 25 * time.Second
	// maxRecentSessions bounds the sessions whose last release is kept.
	maxRecentSessions = 8192
	// rateWindow is the time over which the request rate is measured.
	rateWindow = 5 * time.Second
	// restoredRecordDelay is how much later than one that knows the end of an upgrade an
	// instance writes a record after a restore of the store: the former write it within
	// the longest peers.WriteDelay. An instance that knows no record waits twice as long.
	restoredRecordDelay = 2500 * time.Millisecond
	// maxEarlier bounds the earlier requests that are remembered for each service.
	maxEarlier = 8
	// stepInterval is the interval between two steps of each upgrade; evidence is sent
	// only in a step in which it is due.
	stepInterval = 250 * time.Millisecond
)

// Upgrade is an operator's request to move a service to a release.
type Upgrade struct {
	Service string
	To      string
	// Duration is the time within which the upgrade must be done.
	Duration time.Duration
	// Revision identifies an upgrade of the service; later upgrades have higher
	// revisions. The operator writes its request again after a restore of the store,
	// which changes the revision.
	Revision storefeed.Position
}

// sameRequest reports whether two requests of the operator differ at most in their
// revision.
func (u Upgrade) sameRequest(v Upgrade) bool {
	return u.Service == v.Service && u.To == v.To && u.Duration == v.Duration
}

// Record is the stored progress of an upgrade.
type Record struct {
	Service string
	To      string
	// UpgradeRevision is the revision of the upgrade.
	UpgradeRevision storefeed.Position
	// Started is the time at which the upgrade was first seen, on the store's clock.
	Started time.Duration
	State   statechart.State
	// CanaryShare is the share of sessions on the new release in the canary.
	CanaryShare float64
	// Revision is the revision of the record; zero before it is written.
	Revision storefeed.Position
}

// belongsTo reports whether the record is that of an upgrade. A record that was written
// before a restore of the store names the revision of the request before it was written
// again.
func (r Record) belongsTo(u Upgrade) bool {
	return r.UpgradeRevision == u.Revision || r.To == u.To && r.UpgradeRevision.Era != u.Revision.Era
}

// RecordStore stores records. After any error other than ErrConflict the outcome of the
// write is unknown.
type RecordStore interface {
	// Load returns the last record received from the store; loaded is false before the
	// first read.
	Load(service string) (r Record, found, loaded bool)
	// Save writes a record and the status shown to operators, if the stored record
	// still has r.Revision.
	Save(ctx context.Context, r Record) error
	// Now returns the time on the store's clock; ok is false while it is unknown.
	Now() (now time.Duration, ok bool)
}

// Options are the dependencies and settings of a Controller.
type Options struct {
	Bus     peers.Bus
	Records RecordStore
	Fleet   *fleet.Set
	Chart   *statechart.Chart
	// Exposure bounds the requests that a bad release may get; the zero value stands for
	// defaultExposure.
	Exposure Exposure
	// SessionIdleTimeout is the idle time after which a session counts as new.
	SessionIdleTimeout time.Duration
	// Seed seeds the random decisions, so that tests are reproducible.
	Seed uint64
	Log  *events.Logger
}

// Controller chooses the release for each request and carries out upgrades. It is
// safe for concurrent use.
type Controller struct {
	Options
	mu  sync.Mutex
	rng *rand.Rand
	// upgrades holds the latest upgrade of each service.
	upgrades map[string]*upgradeState
	// settled holds the release of each service outside of upgrades, see settledRelease.
	settled map[string]string
	// withdrawn lists by service the targets of earlier upgrades that were judged bad.
	withdrawn map[string][]string
	recent    *lru.Cache[sessionKey, sessionRelease]
	evidence  *evidenceStore
	baselines *baselines
	rates     map[string]*rate
}

// rate counts the requests of a service at this instance.
type rate struct {
	since time.Time
	count float64
}

// sessionRelease is the release on which a session last ran.
type sessionRelease struct {
	release string
	at      time.Time
}

// upgradeState is the state of one upgrade at this instance, kept also once it has
// completed or was reverted.
type upgradeState struct {
	upgrade Upgrade
	record  Record
	machine *statechart.Machine
	// recordKnown is true once the stored record was loaded or found to be missing: the
	// start time in record is valid.
	recordKnown bool
	// stored is true once the record was in the store.
	stored bool
	// extraDelay delays the first write of the record.
	extraDelay time.Duration
	// lostSince is when this instance found that the store no longer has the record as
	// it is known here, because the store was restored; zero if it has it.
	lostSince time.Time
	// earlier are the requests that this upgrade and its predecessors replaced.
	earlier []Upgrade
	// isReturn is set if the release is the settled one: the operator takes back an order before it
	// is completed. The settled release is not judged, since the others were judged by it.
	isReturn bool
	// bad is true if this instance or a peer marked the release as bad, at badSince.
	bad      bool
	badSince time.Time
	// verdict is this instance's judgement of the new release.
	verdict verdict
	// moved is set once all requests may run on the new release, movedAt is the fraction
	// of the duration at which that was.
	moved   bool
	movedAt float64
	// hasPacked is set once requests were packed at this instance, which raises latencies.
	hasPacked bool
	// totals are the numbers of answers of both releases in the last steps of this
	// instance.
	totals []timedTotal
	// loggedShare is the share of requests on the new release that was last logged.
	loggedShare float64
	// savedAt is the time of the last attempt to write the record.
	savedAt time.Time
	// evidenceSentAt is when this instance last sent its evidence, sentBad the number of
	// bad answers in it, and sentMoved whether it reported the move.
	evidenceSentAt time.Time
	sentBad        uint64
	sentMoved      bool
	// pins are sent to the peers; hasUnsentPins is true if some were not sent yet.
	pins          map[sessionKey]pin
	hasUnsentPins bool
}

// New returns a Controller and registers its message handler.
func New(o Options) *Controller {
	// The only error is a size below one.
	recent, _ := lru.New[sessionKey, sessionRelease](maxRecentSessions)
	c := &Controller{
		Options:   o,
		rng:       rand.New(rand.NewPCG(o.Seed, o.Seed)),
		upgrades:  make(map[string]*upgradeState),
		settled:   make(map[string]string),
		withdrawn: make(map[string][]string),
		recent:    recent,
		evidence:  newEvidenceStore(),
		baselines: newBaselines(),
		rates:     make(map[string]*rate),
	}
	if c.Exposure == (Exposure{}) {
		c.Exposure = defaultExposure
	}
	o.Bus.Handle(peers.KindUpgradeEvidence, c.handleEvidence)
	return c
}

// Start begins an upgrade. It does nothing if the service's upgrade already has this
// revision or a later one. If uncertain is set, the store was just restored, and the
// operator may write its requests again: a request that is already known then is not
// a new one.
func (c *Controller) Start(upgrade Upgrade, uncertain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.upgrades[upgrade.Service]
	if old != nil && (!old.upgrade.Revision.Before(upgrade.Revision) || c.isKnown(old, upgrade, uncertain)) {
		return
	}
	u := &upgradeState{upgrade: upgrade, machine: statechart.NewMachine(c.Chart), pins: make(map[sessionKey]pin)}
	if uncertain {
		// Instances that know the record of this upgrade write it again before.
		u.extraDelay = 2 * restoredRecordDelay
	}
	c.withdraw(old)
	if old != nil && old.moved && !old.isWithdrawn() {
		// All requests run on its release although it was not completed yet.
		c.settled[upgrade.Service] = old.upgrade.To
	}
	c.withdrawn[upgrade.Service] = slices.DeleteFunc(c.withdrawn[upgrade.Service], func(release string) bool { return release == upgrade.To })
	if old != nil {
		u.earlier = append(old.earlier, old.upgrade)
		u.earlier = u.earlier[max(0, len(u.earlier)-maxEarlier):]
	}
	if c.settledRelease(upgrade.Service) == upgrade.To {
		u.isReturn, u.moved = true, true
	}
	c.upgrades[upgrade.Service] = u
	c.evidence.reset(upgrade)
	c.pinRunningSessions(u)
	c.Log.Log(events.UpgradeRequested, events.Fields{
		Path: upgrade.Service, Version: upgrade.To, Era: upgrade.Revision.Era, Revision: upgrade.Revision.Revision, Duration: upgrade.Duration,
	})
}

// isKnown reports whether a request with a later revision than the current upgrade is
// the same request, written again after a restore of the store, or an earlier one that
// the restore brought back. The caller holds the lock.
func (c *Controller) isKnown(u *upgradeState, upgrade Upgrade, uncertain bool) bool {
	isRestored := upgrade.Revision.Era > u.upgrade.Revision.Era
	if (isRestored || uncertain) && u.upgrade.sameRequest(upgrade) {
		u.upgrade.Revision = upgrade.Revision
		return true
	}
	return isRestored && slices.ContainsFunc(u.earlier, func(e Upgrade) bool {
		return e.sameRequest(upgrade) && e.Revision.Revision == upgrade.Revision.Revision
	})
}

// Cancel discards the upgrade of a service. Its requests then run on the service's
// settled release.
func (c *Controller) Cancel(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdraw(c.upgrades[service])
	delete(c.upgrades, service)
}

// Choose returns the release for a request; empty means any release.
func (c *Controller) Choose(service, session string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countRequest(service)
	key := keyOf(service, session)
	release := c.release(service, session, key)
	if session != "" {
		c.recent.Add(key, sessionRelease{release: release, at: time.Now()})
		c.pinSession(c.upgrades[service], key, release)
	}
	return release
}

// release returns the release for a request of a session. The caller holds the lock.
func (c *Controller) release(service, session string, key sessionKey) string {
	u := c.upgrades[service]
	if u == nil {
		return c.settledRelease(service)
	}
	old := c.oldRelease(service, u.upgrade.To)
	switch state := u.machine.State(); {
	case u.isReturn:
		return c.releaseOnReturn(u, session, key)
	case state == statechart.UpgradeCompleted:
		return u.upgrade.To
	case u.isWithdrawn():
		return old
	case !u.stored || !c.isCanaryDue(u) || !c.serves(service, u.upgrade.To):
		return old
	}
	return c.releaseDuring(u, session, key, old)
}

// countRequest updates the rate of requests of a service at this instance.
func (c *Controller) countRequest(service string) {
	r := c.rates[service]
	now := time.Now()
	if r == nil {
		r = &rate{since: now}
		c.rates[service] = r
	}
	if now.Sub(r.since) > 2*rateWindow {
		// Drops the older half of the window.
		r.since, r.count = r.since.Add(now.Sub(r.since)/2), r.count/2
	}
	r.count++
}

// requestRate estimates the fleet's rate of requests to a service, per second, from this
// instance's requests; zero if it has none.
func (c *Controller) requestRate(service string) float64 {
	r := c.rates[service]
	if r == nil {
		return 0
	}
	seconds := max(1, time.Since(r.since).Seconds())
	return r.count / seconds * float64(len(c.Bus.Peers())+1)
}

// settledRelease returns the release of a service without an upgrade; empty while it is
// unknown. It is the target of the last completed upgrade, or else the first release
// found to be the only one with servers. Once known it is kept, because servers of
// another release may register before the upgrade that they were started for. The
// caller holds the lock.
func (c *Controller) settledRelease(service string) string {
	if release := c.settled[service]; release != "" {
		return release
	}
	if releases := c.Fleet.Snapshot().Releases(service); len(releases) == 1 && !c.isWithdrawn(service, releases[0]) {
		c.settled[service] = releases[0]
	}
	return c.settled[service]
}

// releaseOnReturn returns the release for a session while an order is taken back: the settled one, but
// for sessions that began on another one, in the first half.
func (c *Controller) releaseOnReturn(u *upgradeState, session string, key sessionKey) string {
	seen, ok := c.recent.Get(key)
	isRecent := session != "" && ok && time.Since(seen.at) < c.sessionTTL()
	if isRecent && seen.release != "" && u.machine.State() == statechart.UpgradeObserving && !c.isWithdrawn(u.upgrade.Service, seen.release) {
		return seen.release
	}
	return u.upgrade.To
}

// releaseDuring returns the release for a session during an upgrade.
func (c *Controller) releaseDuring(u *upgradeState, session string, key sessionKey, old string) string {
	seen, ok := c.recent.Get(key)
	isRecent := session != "" && ok && time.Since(seen.at) < c.sessionTTL()
	switch {
	case isRecent && seen.release == u.upgrade.To:
		return u.upgrade.To
	case isRecent && u.machine.State() == statechart.UpgradeObserving:
		return old
	case c.drawFraction(u.upgrade, session, key) < u.share():
		return u.upgrade.To
	}
	return old
}

// progress returns the elapsed fraction of an upgrade's duration.
func (c *Controller) progress(u *upgradeState) float64 {
	now, ok := c.Records.Now()
	if !ok || u.upgrade.Duration <= 0 {
		return 0
	}
	return float64(now-u.record.Started) / float64(u.upgrade.Duration)
}

// oldRelease returns the release that the service had before: the settled one if it has
// servers; empty if its servers report only the new one, or others that were withdrawn.
func (c *Controller) oldRelease(service, to string) string {
	old := ""
	for _, release := range c.Fleet.Snapshot().Releases(service) {
		if release == to || c.isWithdrawn(service, release) {
			continue
		}
		if release == c.settled[service] {
			return release
		}
		if old == "" {
			old = release
		}
	}
	return old
}

func (c *Controller) serves(service, release string) bool {
	return slices.Contains(c.Fleet.Snapshot().Releases(service), release)
}

// Observe records the outcome of an attempt.
func (c *Controller) Observe(o dispatch.Observation) {
	if o.Latency == 0 && !o.Failed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.upgrades[o.Service]
	isRunning := u != nil && !u.machine.Final()
	if c.isWithdrawn(o.Service, o.Release) && !(isRunning && o.Release == u.upgrade.To) {
		return
	}
	if isRunning {
		c.evidence.observe(u.upgrade, o, c.baselines.compare(o), u.moved)
	}
	if !isRunning || (o.Release == u.upgrade.To) == u.isReturn {
		c.baselines.learn(o)
	}
}
