package rollout

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/tablestore"
)

// Applier reads and changes the settings' documents.
type Applier interface {
	// Document returns the latest known document at a path.
	Document(path string) (settings.Document, bool)
	// Apply commits a change conditionally. An unknown outcome need not be resolved,
	// because the rollout is evaluated again.
	Apply(ctx context.Context, change settings.Change) tablestore.Outcome
}

// Options are the dependencies of a Controller.
type Options struct {
	Bus     peers.Bus
	Applier Applier
	// Settings returns the settings in effect.
	Settings func() *settings.Snapshot
	Chart    *statechart.Chart
	Rand     *rand.Rand
	Logger   *events.Logger
}

const (
	// tickInterval is the mean interval at which the evidence is evaluated.
	tickInterval = 500 * time.Millisecond
	// warmUp is the time after an instance's start in which answers are not added to
	// the CUSUM, because those reported by peers may be old.
	warmUp = 5 * time.Second
)

// Controller chooses versions, collects evidence, and advances and withdraws
// rollouts. It is safe for concurrent use.
type Controller struct {
	bus      peers.Bus
	applier  Applier
	settings func() *settings.Snapshot
	chart    *statechart.Chart
	logger   *events.Logger
	limiter  *rate.Limiter
	epoch    uint64
	wake     chan struct{}
	view     atomic.Pointer[View]
	// applying is true while a change is being written.
	applying atomic.Bool

	mu          sync.Mutex
	rand        *rand.Rand
	started     time.Time
	expiredAt   time.Time
	revision    uint64
	evidence    *evidenceStore
	own         map[EvidenceKey]Counts
	sent        map[EvidenceKey]sentRow
	monitors    map[EvidenceKey]*monitor
	suspensions map[EvidenceKey]Suspension
	changes     uint64
	sends       int
}

// sentRow holds the counts last sent to the peers for a key.
type sentRow struct {
	counts Counts
	at     time.Time
}

// monitor is an instance's local state for a key, besides the evidence.
type monitor struct {
	cusum    Cusum
	baseline Baseline
	// tested are the totals at the last test; answers up to them are not tested again.
	tested Counts
	bad    bool
	// assigned is the number of sessions that this instance assigned to the version.
	assigned int
	seenAt   time.Time
	stage    stageMark
	// due is when this instance may change the settings; zero if no change is planned.
	due time.Time
	// stalledLogged and noReplacementLogged prevent an event from being logged again.
	stalledLogged       bool
	noReplacementLogged bool
}

// stageMark is the state of a rollout when its current stage was first seen.
type stageMark struct {
	seen   bool
	number int
	status settings.RolloutStatus
	at     time.Time
	counts Counts
}

// New returns a Controller and registers its message handlers.
func New(o Options) *Controller {
	c := &Controller{
		bus:         o.Bus,
		applier:     o.Applier,
		settings:    o.Settings,
		chart:       o.Chart,
		logger:      o.Logger,
		limiter:     rate.NewLimiter(ownRowsPerSecond, rowBurst),
		epoch:       o.Rand.Uint64(),
		wake:        make(chan struct{}, 1),
		rand:        o.Rand,
		started:     time.Now(),
		evidence:    newEvidenceStore(),
		own:         make(map[EvidenceKey]Counts),
		sent:        make(map[EvidenceKey]sentRow),
		monitors:    make(map[EvidenceKey]*monitor),
		suspensions: make(map[EvidenceKey]Suspension),
	}
	o.Bus.Handle(peers.KindEvidence, c.handleEvidence)
	o.Bus.Handle(peers.KindSuspension, c.handleSuspension)
	return c
}

// Run evaluates evidence and carries out changes until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	for {
		c.tick(ctx)
		timer := time.NewTimer(c.jittered(tickInterval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-c.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (c *Controller) tick(ctx context.Context) {
	s := c.settings()
	found := c.judge(s)
	c.publish(s, found)
	c.sendEvidence()
	c.startDueChange(ctx, s)
}

// jittered returns a random interval from 0.5 to 1.5 times d.
func (c *Controller) jittered(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.rand.Int64N(int64(d)))
}

// fleetSize returns the number of listed instances.
func (c *Controller) fleetSize() int { return len(c.bus.Peers()) + 1 }

// View returns the suspensions in effect.
func (c *Controller) View() *View { return c.view.Load() }

// Suspended reports whether the version is suspended for the client account's team;
// it is the last check before a request is sent.
func (c *Controller) Suspended(id settings.AccountID, ref settings.VersionRef) bool {
	account, ok := c.settings().Account(id)
	return ok && c.View().Suspended(account.TeamName, ref)
}

// Choose returns the version for a new session, or for a request without one,
// and counts it against the allowance of a version under test.
func (c *Controller) Choose(id settings.AccountID, session, model string) (Choice, bool) {
	s := c.settings()
	choice, ok := Choose(s, c.View(), id, session, model, true)
	if !ok || !choice.Canary {
		return choice, ok
	}
	account, _ := s.Account(id)
	if c.admit(EvidenceKey{Team: account.TeamName, Ref: choice.Ref, Rollout: choice.Rollout}) {
		return choice, true
	}
	return Choose(s, c.View(), id, session, model, false)
}

// admit reports whether the allowance permits another session on a version under
// test, and counts it if so.
func (c *Controller) admit(key EvidenceKey) bool {
	n := c.fleetSize()
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.monitorFor(key)
	rated := c.evidence.totals[key].Total()
	if m.assigned >= allowance(c.bus.Self(), key, n, rated, time.Since(m.seenAt)) {
		return false
	}
	m.assigned++
	return true
}

// monitorFor returns the key's monitor, which is created on first use.
func (c *Controller) monitorFor(key EvidenceKey) *monitor {
	m, ok := c.monitors[key]
	if !ok {
		m = &monitor{seenAt: time.Now()}
		c.monitors[key] = m
	}
	return m
}

// Observe counts one rated answer of a version, or one whose failure is attributed to
// the version.
func (c *Controller) Observe(id settings.AccountID, ref settings.VersionRef, good bool) {
	s := c.settings()
	account, ok := s.Account(id)
	if !ok {
		return
	}
	key := evidenceKeyFor(s, account.TeamName, ref)
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.own[key]
	if good {
		counts.Good++
	} else {
		counts.Bad++
	}
	c.own[key] = counts
	c.evidence.update(key, source{instance: c.bus.Self(), epoch: c.epoch}, counts, time.Now())
}

// fullRatingAnswers is the number of rated answers up to which every answer of a
// version under test should be rated.
const fullRatingAnswers = 500

// MustRate reports whether each answer of the version to the client account should
// be rated, because a rollout tests it and has fewer than fullRatingAnswers.
func (c *Controller) MustRate(id settings.AccountID, ref settings.VersionRef) bool {
	s := c.settings()
	account, ok := s.Account(id)
	if !ok || !underTest(s, account.TeamName, ref) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.totals[evidenceKeyFor(s, account.TeamName, ref)].Total() < fullRatingAnswers
}

// Evidence returns the counts of a version summed over all teams, and whether it is
// suspended for any team.
func (c *Controller) Evidence(ref settings.VersionRef) (counts Counts, suspended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, total := range c.evidence.totals {
		if key.Ref != ref {
			continue
		}
		counts.Good += total.Good
		counts.Bad += total.Bad
		suspended = suspended || c.View().Suspended(key.Team, ref)
	}
	return counts, suspended
}
