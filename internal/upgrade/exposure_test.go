package upgrade

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/dispatch"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/storefeed"
)

const (
	// badAnswersToStop is the number of bad answers of a release, and stopWithin the time
	// after them, from which on it must get no request.
	badAnswersToStop = 50
	stopWithin       = 5 * time.Second
)

// simRoute is a kind of requests in a simulated service.
type simRoute struct {
	name string
	// share is its share of the requests.
	share float64
	// latency is the median time to the first event, duration that to the end after it.
	latency, duration time.Duration
	// spread is the standard deviation of the logarithm of the latency.
	spread float64
	// failures is the share of requests that fail at any release.
	failures float64
}

// simService is a simulated service and its traffic.
type simService struct {
	instances         int
	requestsPerSecond float64
	hasSessions       bool
	routes            []simRoute
	duration          time.Duration
	// models is the number of models whose latencies are compared separately, each twice as
	// slow as the one before; zero for one.
	models int
	// rampTime is the time from the start in which the load raises all latencies to rampFactor
	// times what they were; zero for constant latencies.
	rampTime   time.Duration
	rampFactor float64
}

// plainService has no sessions, and so few requests that a canary has some forty answers.
var plainService = simService{
	instances: 7, requestsPerSecond: 30, duration: 16 * time.Second,
	routes: []simRoute{
		{name: "book", share: 0.7, latency: 14 * time.Millisecond, spread: 0.4, failures: 0.02},
		{name: "look", share: 0.28, latency: 14 * time.Millisecond, spread: 0.5, failures: 0.02},
		{name: "broken", share: 0.02, latency: 400 * time.Millisecond, failures: 1},
	},
}

// modelService has streams of seconds whose time to the first event varies a lot.
var modelService = simService{
	instances: 9, requestsPerSecond: 90, hasSessions: true, duration: 16 * time.Second,
	routes: []simRoute{
		{name: "plan", share: 0.2, latency: 130 * time.Millisecond, duration: 4 * time.Second, spread: 0.9},
		{name: "summary", share: 0.5, latency: 25 * time.Millisecond, duration: 1500 * time.Millisecond, spread: 0.9},
		{name: "flag", share: 0.3, latency: 40 * time.Millisecond, duration: 100 * time.Millisecond, spread: 0.9},
	},
}

// grownService is called at so many instances that each has few answers of a kind, soon after
// the start of the traffic.
var grownService = simService{
	instances: 68, requestsPerSecond: 280, hasSessions: true, duration: 15 * time.Second, models: 3, rampTime: 12 * time.Second, rampFactor: 3,
	routes: []simRoute{
		{name: "plan", share: 0.2, latency: 130 * time.Millisecond, duration: 3 * time.Second, spread: 1.4},
		{name: "summary", share: 0.5, latency: 25 * time.Millisecond, duration: 1500 * time.Millisecond, spread: 1.4},
		{name: "flag", share: 0.3, latency: 40 * time.Millisecond, duration: 100 * time.Millisecond, spread: 1.4},
	},
}

// defect is how the new release answers worse than the old one.
type defect struct {
	name string
	// isBad reports whether an answer is bad, given the time since the operator's request
	// and the share of the requests that run on the new release.
	isBad func(rng *rand.Rand, route string, since time.Duration, share float64) bool
	// slowdown is the factor of the latency of a bad answer; zero for a failure.
	slowdown float64
	// overall is a factor of the latency of all answers of the new release.
	overall float64
}

func chance(p float64) func(*rand.Rand, string, time.Duration, float64) bool {
	return func(rng *rand.Rand, _ string, _ time.Duration, _ float64) bool { return rng.Float64() < p }
}

// underLoad names the defect that shows only once all requests have moved.
const underLoad = "under load"

var defects = []defect{
	{name: "half fail", isBad: chance(0.5)},
	{name: "a third fail", isBad: chance(0.31)},
	{name: "half slow", isBad: chance(0.5), slowdown: 8},
	{name: "a third slow", isBad: chance(0.31), slowdown: 8},
	{name: "all slower", isBad: chance(0.5), slowdown: 5, overall: 2.5},
	{name: "one route fails", isBad: func(rng *rand.Rand, route string, _ time.Duration, _ float64) bool {
		return (route == "look" || route == "flag") && rng.Float64() < 0.5
	}},
	{name: "late", isBad: func(rng *rand.Rand, _ string, since time.Duration, _ float64) bool {
		return since > 5*time.Second && rng.Float64() < 0.5
	}},
	{name: underLoad, isBad: func(rng *rand.Rand, _ string, _ time.Duration, share float64) bool {
		return share > 0.25 && rng.Float64() < 0.02
	}},
}

// simulation plays the traffic of a service through an upgrade.
type simulation struct {
	simService
	fleet  *testFleet
	defect *defect
	rng    *rand.Rand

	mu       sync.Mutex
	started  time.Time
	began    time.Time
	newShare float64
	// all and newer count the requests between the operator's request and its deadline.
	all, newer int
	badAnswers []time.Duration
	// sent are the times of the requests to the new release.
	sent []time.Duration
	// underWay are the requests without a complete answer.
	underWay sync.WaitGroup
}

func (s *simulation) route() simRoute {
	draw := s.rng.Float64()
	for _, r := range s.routes {
		if draw -= r.share; draw < 0 {
			return r
		}
	}
	return s.routes[0]
}

// request sends one request and observes its answer when it is complete.
func (s *simulation) request(n int) {
	c, route := s.fleet.controllers[s.rng.IntN(len(s.fleet.controllers))], s.route()
	session := ""
	if s.hasSessions {
		session = fmt.Sprint("s", n/3)
	}
	release := c.Choose(service, session)
	since := time.Since(s.began)
	model := 0
	if s.models > 1 {
		model = s.rng.IntN(s.models)
	}
	latency := float64(route.latency) * math.Exp(route.spread*s.rng.NormFloat64()) * float64(int(1)<<model) * s.loadFactor()
	failed := s.rng.Float64() < route.failures
	isNew, isBad := release == newRelease, false
	if !s.began.IsZero() && since < s.duration {
		s.all++
		s.newShare *= 0.98
	}
	if isNew {
		s.newShare += 0.02
		s.sent = append(s.sent, since)
		if since < s.duration {
			s.newer++
		}
	}
	if isNew && s.defect != nil {
		latency *= max(1, s.defect.overall)
		if isBad = s.defect.isBad(s.rng, route.name, since, s.newShare); isBad {
			latency *= max(1, s.defect.slowdown)
			failed = failed || s.defect.slowdown == 0
		}
	}
	s.underWay.Go(func() {
		time.Sleep(time.Duration(latency) + route.duration)
		if isBad {
			s.mu.Lock()
			s.badAnswers = append(s.badAnswers, time.Since(s.began))
			s.mu.Unlock()
		}
		c.Observe(dispatch.Observation{
			Service: service, Release: release, Route: route.name, Model: fmt.Sprint("m", model), Failed: failed, Latency: time.Duration(latency),
		})
	})
}

// loadFactor returns the factor by which the load raises latencies now.
func (s *simulation) loadFactor() float64 {
	if s.rampTime == 0 {
		return 1
	}
	return 1 + (s.rampFactor-1)*min(1, float64(time.Since(s.started))/float64(s.rampTime))
}

// play sends the traffic for a time.
func (s *simulation) play(d time.Duration, first int) (next int) {
	end, n := time.Now().Add(d), first
	for ; time.Now().Before(end); n++ {
		s.request(n)
		time.Sleep(time.Duration(s.rng.ExpFloat64() / s.requestsPerSecond * float64(time.Second)))
	}
	return n
}

func simulate(t *testing.T, what simService, worse *defect, seed uint64) *simulation {
	s := &simulation{simService: what, fleet: startFleet(t, what.instances), defect: worse, rng: rand.New(rand.NewPCG(seed, 1)), started: time.Now()}
	next := s.play(4*time.Second, 0)
	s.began = time.Now()
	for i, c := range s.fleet.controllers {
		s.fleet.sets[i].Put(registrations(newRelease)...)
		c.Start(Upgrade{Service: service, To: newRelease, Duration: s.duration, Revision: storefeed.Position{Revision: 7}}, false)
	}
	s.play(s.duration+8*time.Second, next)
	s.fleet.stop()
	s.underWay.Wait()
	return s
}

// TestBadReleaseKeepsTheExposureBound guards against a bad release that is moved to, or
// that gets requests for too long, because the evidence about it is weak, late or absent.
func TestBadReleaseKeepsTheExposureBound(t *testing.T) {
	for name, what := range map[string]simService{"plain service": plainService, "model service": modelService} {
		for _, worse := range defects {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("%s, %s, seed %d", name, worse.name, seed), func(t *testing.T) {
					bubble.Test(t, func(t *testing.T) {
						s := simulate(t, what, &worse, seed)
						s.checkShare(t)
						if worse.name == underLoad {
							// See TestReleaseBadOnlyUnderLoadIsReverted.
							return
						}
						s.checkStop(t)
					})
				})
			}
		}
	}
}

// checkShare verifies that a bad release got at most the allowed share of the requests.
func (s *simulation) checkShare(t *testing.T) {
	assert.LessOrEqual(t, float64(s.newer), testExposure.Share*float64(s.all)+testExposure.Slack, "requests to the bad release of %d", s.all)
}

// checkStop verifies that a bad release was reverted, and got nothing later than stopWithin after
// its bad answer badAnswersToStop.
func (s *simulation) checkStop(t *testing.T) {
	assert.Equal(t, statechart.UpgradeReverted, s.fleet.records.current().State)
	if slices.Sort(s.badAnswers); len(s.badAnswers) >= badAnswersToStop {
		assert.Less(t, slices.Max(s.sent), s.badAnswers[badAnswersToStop-1]+stopWithin, "the last request to the bad release")
	}
}

// TestBadReleaseIsStoppedInTimeInALargeFleet guards against a bad release that goes on for too long
// because each instance compares its latencies with few answers of its own, from before the load
// rose.
func TestBadReleaseIsStoppedInTimeInALargeFleet(t *testing.T) {
	worse := defect{name: "half slow", isBad: chance(0.5), slowdown: 5}
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := simulate(t, grownService, &worse, seed)
				s.checkShare(t)
				s.checkStop(t)
			})
		})
	}
}

// TestBadReleaseOfASmallServiceIsReverted guards against a bad release that is completed because
// its canary has too few answers, though the allowed exposure would permit more.
func TestBadReleaseOfASmallServiceIsReverted(t *testing.T) {
	for _, test := range []struct {
		defect string
		seeds  []uint64
	}{
		{"a third fail", []uint64{1059, 1085}},
		{"a third slow", []uint64{1059, 1085}},
		{"one route fails", []uint64{1011, 1013, 1019, 1026, 1031, 1066, 1085, 1093}},
	} {
		worse := defects[slices.IndexFunc(defects, func(d defect) bool { return d.name == test.defect })]
		for _, seed := range test.seeds {
			t.Run(fmt.Sprintf("%s, seed %d", test.defect, seed), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					s := simulate(t, plainService, &worse, seed)
					s.checkShare(t)
					assert.Equal(t, statechart.UpgradeReverted, s.fleet.records.current().State)
				})
			})
		}
	}
}

// TestBadReleaseWithWeakEvidenceIsReverted guards against a bad release that is completed because
// the answers of its canary differ too little from those of the old release.
func TestBadReleaseWithWeakEvidenceIsReverted(t *testing.T) {
	for _, test := range []struct {
		service simService
		defect  string
		seed    uint64
	}{
		{modelService, "a third slow", 1056},
	} {
		worse := defects[slices.IndexFunc(defects, func(d defect) bool { return d.name == test.defect })]
		t.Run(fmt.Sprintf("%s, seed %d", test.defect, test.seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := simulate(t, test.service, &worse, test.seed)
				assert.Equal(t, statechart.UpgradeReverted, s.fleet.records.current().State)
			})
		})
	}
}

// TestReleaseBadOnlyUnderLoadIsReverted guards against a release that is completed because
// its canary has too little load to show what is bad about it.
func TestReleaseBadOnlyUnderLoadIsReverted(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		worse := defects[slices.IndexFunc(defects, func(d defect) bool { return d.name == underLoad })]
		s := simulate(t, modelService, &worse, 0)
		assert.Equal(t, statechart.UpgradeReverted, s.fleet.records.current().State)
	})
}

// TestAllInstancesMoveTogether guards against sessions that change their release back and
// forth in a large fleet, whose instances send evidence seldom.
func TestAllInstancesMoveTogether(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		what := modelService
		what.instances = 60
		s := simulate(t, what, nil, 0)
		var moves []float64
		for _, c := range s.fleet.controllers {
			moves = append(moves, c.upgrades[service].movedAt)
		}
		skew := (slices.Max(moves) - slices.Min(moves)) * what.duration.Seconds()
		assert.Positive(t, slices.Min(moves))
		assert.LessOrEqual(t, skew, 2*stepInterval.Seconds())
	})
}

// TestGoodReleaseCompletesByItsDeadline checks that the evidence clears a good release of
// services whose answers fail now and then and vary in latency.
func TestGoodReleaseCompletesByItsDeadline(t *testing.T) {
	for name, what := range map[string]simService{"plain service": plainService, "model service": modelService} {
		stopped := 0
		const seeds = 20
		for seed := range uint64(seeds) {
			bubble.Test(t, func(t *testing.T) {
				s := simulate(t, what, nil, seed)
				if s.fleet.records.current().State != statechart.UpgradeCompleted {
					stopped++
				}
				assert.LessOrEqual(t, float64(s.newer), testExposure.Share*float64(s.all)+testExposure.Slack)
			})
		}
		assert.LessOrEqual(t, stopped, 1, "%s: good releases that were not completed, of %d", name, seeds)
	}
}

// TestCleanRecordOfTheOldReleaseCondemnsNoRelease guards against a good release that is
// stopped for one or two bad answers because the old one happened to have none.
func TestCleanRecordOfTheOldReleaseCondemnsNoRelease(t *testing.T) {
	for _, test := range []struct {
		name       string
		old, newer answerCounts
		leansBad   bool
	}{
		{"one failure of six", answerCounts{Answers: 132}, answerCounts{Answers: 6, Failed: 1}, false},
		{"two outliers of 27", answerCounts{Answers: 266, Timed: 266}, answerCounts{Answers: 27, Timed: 27, Outliers: 2}, false},
		{"four failures of eleven", answerCounts{Answers: 105, Failed: 2}, answerCounts{Answers: 11, Failed: 4}, true},
		{"seven outliers of 34", answerCounts{Answers: 371, Timed: 371, Outliers: 3}, answerCounts{Answers: 34, Timed: 34, Outliers: 7}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			counts := routeCounts{{Route: "r"}: test.old, {Route: "r", Variant: variantNew}: test.newer}
			assert.Equal(t, test.leansBad, counts.withTotals().leanBad())
		})
	}
}

// TestReleaseThatFailsUnderLoadIsRevertedWithItsOldServers guards against a release that fails under the load of
// all requests and is completed half a second after these have moved to it, which ends the old servers.
func TestReleaseThatFailsUnderLoadIsRevertedWithItsOldServers(t *testing.T) {
	worse := defect{name: "a third fail under load", isBad: func(rng *rand.Rand, route string, _ time.Duration, share float64) bool {
		return route != "broken" && share > 0.25 && rng.Float64() < 0.31
	}}
	for _, length := range []time.Duration{12 * time.Second, 16 * time.Second, 24 * time.Second} {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%v, seed %d", length, seed), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					what := plainService
					what.duration = length
					s := simulate(t, what, &worse, seed)
					s.checkShare(t)
					s.checkStop(t)
				})
			})
		}
	}
}

// TestReleaseWithoutServersIsNotCompleted guards against an upgrade that is completed, which ends the
// old servers, although no server of the new release has registered.
func TestReleaseWithoutServersIsNotCompleted(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &simulation{simService: plainService, fleet: startFleet(t, 3), rng: rand.New(rand.NewPCG(1, 1)), started: time.Now()}
		next := s.play(4*time.Second, 0)
		s.began = time.Now()
		for _, c := range s.fleet.controllers {
			c.Start(Upgrade{Service: service, To: newRelease, Duration: s.duration, Revision: storefeed.Position{Revision: 7}}, false)
		}
		s.play(s.duration+8*time.Second, next)
		s.fleet.stop()
		s.underWay.Wait()
		assert.NotEqual(t, statechart.UpgradeCompleted, s.fleet.records.current().State)
	})
}
