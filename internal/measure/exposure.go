package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/rollout"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/tablestore"
)

func init() { Register(50, "exposure", measureExposure) }

const (
	// maxBadAnswers, maxFalseStops and maxStopTime are the targets.
	maxBadAnswers = 30
	maxFalseStops = 0.01
	maxStopTime   = 6 * time.Second

	exposureModel      = "writer"
	exposureTeam       = "shops"
	exposureAccount    = settings.AccountID("shops/lekki")
	badRateLimit       = 0.05
	badVersionBadRate  = 0.5
	goodVersionBadRate = 0.02
	firstStagePercent  = 1.0
	// ratingDelay is the time from an answer to its rating.
	ratingDelay = time.Second
	// sessionsPerSecond is the rate of new sessions, which begin in groups of
	// sessionsPerTick every exposureInterval.
	sessionsPerSecond = 5000
	exposureInterval  = 2 * time.Millisecond
	sessionsPerTick   = int(sessionsPerSecond * exposureInterval / time.Second)
	// exposureFleets is the number of fleets that are run; the worst one counts.
	exposureFleets = 8
	// exposureTime is the time limit of a run; a version not stopped by then counts
	// as never stopped.
	exposureTime = 30 * time.Second
	// settleTime is the time for which the instances of a new fleet run before the
	// traffic starts, so that their start-up is over.
	settleTime = 6 * time.Second
	// goodRollouts and goodAnswers are the numbers of simulated good rollouts and of
	// answers in each.
	goodRollouts = 1000
	goodAnswers  = 3000
	// checkEvery is the number of answers between two checks by an instance, and
	// publishEvery between two messages.
	checkEvery   = 5
	publishEvery = 4
	// fixedMinSamples is the number of samples from which the baseline, a fixed
	// threshold, is applied.
	fixedMinSamples = 20
)

// measureExposure runs fleets whose store is unreachable, so that a version can be
// stopped only by messages between peers.
func measureExposure(seed uint64) []Row {
	rows := make([]Row, 3)
	var runs sync.WaitGroup
	for i, row := range []func(uint64) Row{firstStageRow, falseStopRow, lateRegressionRow} {
		runs.Go(func() { rows[i] = row(seed) })
	}
	runs.Wait()
	return rows
}

// exposureFleet is the instances of one run.
type exposureFleet struct {
	instances []*rollout.Controller
	random    *lockedRand
	version   settings.VersionRef
	cancel    context.CancelFunc
	work      sync.WaitGroup

	mu          sync.Mutex
	bad         int
	globalCusum rollout.Cusum
	// sufficientAt is when an observer that receives every rating at once would stop
	// the version.
	sufficientAt time.Time
}

// frozenSettings are settings that cannot be changed because the store is
// unreachable.
type frozenSettings struct{ snapshot *settings.Snapshot }

// Document returns no document, so there is nothing to change.
func (frozenSettings) Document(string) (settings.Document, bool) { return settings.Document{}, false }

// Apply refuses every change.
func (frozenSettings) Apply(context.Context, settings.Change) tablestore.Outcome {
	return tablestore.OutcomeNotApplied
}

func (f frozenSettings) get() *settings.Snapshot { return f.snapshot }

func exposureSettings(status settings.RolloutStatus) frozenSettings {
	return frozenSettings{settings.Compile(1, settings.Tree{
		Models: map[string]settings.Model{exposureModel: {Versions: map[string]settings.Version{"1": {}, "2": {}}}},
		Teams: map[string]settings.Team{exposureTeam: {
			Models: map[string]settings.TeamModel{exposureModel: {Stable: "1", Allowed: []string{"1", "2"}}},
		}},
		Accounts: map[string]map[string]settings.Account{exposureTeam: {"lekki": {}}},
		Rollouts: map[string]map[string]settings.Rollout{exposureTeam: {"to-2": {
			Model: exposureModel, From: "1", To: "2", Status: status, BadRate: badRateLimit,
			Stages: []settings.Stage{{Percent: firstStagePercent, MinSamples: goodAnswers}},
		}}},
	})}
}

// newExposureFleet starts the instances. If isolated, they receive no messages from
// each other.
func newExposureFleet(seed uint64, status settings.RolloutStatus, isolated bool) (*exposureFleet, error) {
	charts, err := statechart.Load()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &exposureFleet{
		random:  newLockedRand(seed, 1),
		version: settings.VersionRef{Model: exposureModel, Version: "2"},
		cancel:  cancel,
	}
	source := exposureSettings(status)
	network := membus.New()
	for i := range fleetInstances {
		id := fmt.Sprint("entry-", i)
		c := rollout.New(rollout.Options{
			Bus: network.Join(id, "a"), Applier: source, Settings: source.get,
			Chart: charts.Rollout, Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		network.SetPartitioned(id, isolated)
		f.instances = append(f.instances, c)
		f.work.Go(func() { c.Run(ctx) })
	}
	time.Sleep(settleTime)
	return f, nil
}

func (f *exposureFleet) close() {
	f.cancel()
	f.work.Wait()
}

// stoppedEverywhere reports whether every instance has stopped the version.
func (f *exposureFleet) stoppedEverywhere() bool {
	return !slices.ContainsFunc(f.instances, func(c *rollout.Controller) bool {
		return !c.Suspended(exposureAccount, f.version)
	})
}

// runTraffic sends groups of sessions until every instance has stopped the new
// version, whose answers are bad at the given rate. It reports whether that happened
// within exposureTime.
func (f *exposureFleet) runTraffic(interval time.Duration, group int, badRate float64) (ok bool) {
	var ratings sync.WaitGroup
	defer ratings.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(exposureTime); time.Now().Before(end); <-ticker.C {
		if f.stoppedEverywhere() {
			return true
		}
		for range group {
			f.session(&ratings, badRate)
		}
	}
	return false
}

// session starts a session with one request at a random instance.
func (f *exposureFleet) session(ratings *sync.WaitGroup, badRate float64) {
	instance := f.instances[f.random.intN(len(f.instances))]
	id := strconv.Itoa(f.random.intN(sessionIDs))
	choice, found := instance.Choose(exposureAccount, id, exposureModel)
	if !found || choice.Ref != f.version {
		return
	}
	good := !f.random.chance(badRate)
	f.count(good)
	ratings.Go(func() {
		time.Sleep(ratingDelay)
		f.recordRating(good)
		instance.Observe(exposureAccount, f.version, good)
	})
}

// sessionIDs is the number of different session ids.
const sessionIDs = 1 << 30

func (f *exposureFleet) count(good bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !good {
		f.bad++
	}
}

// recordRating adds a rating to the observer that receives every rating at once.
func (f *exposureFleet) recordRating(good bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.globalCusum.Add(countOf(good), badRateLimit) && f.sufficientAt.IsZero() {
		f.sufficientAt = time.Now()
	}
}

func countOf(good bool) rollout.Counts {
	if good {
		return rollout.Counts{Good: 1}
	}
	return rollout.Counts{Bad: 1}
}

// firstStageRow counts the bad answers of a version in its first stage.
func firstStageRow(seed uint64) Row {
	row := Row{
		Name:   "exposure, first stage",
		Target: fmt.Sprintf("at most %d bad answers before the stop", maxBadAnswers),
		Note: fmt.Sprintf("%d instances, %d sessions/s, %.0f%% of them on a version with half of its answers bad, every answer rated after %s, the worst of %d fleets; in the baseline, each instance decides from its own answers alone",
			fleetInstances, sessionsPerSecond, firstStagePercent, ratingDelay, exposureFleets),
		Pass: true,
	}
	var baseline, ours int
	var mu sync.Mutex
	var runs sync.WaitGroup
	for i := range uint64(exposureFleets) {
		baseline = max(baseline, firstStageAlone(seed+i))
		runs.Go(func() {
			bad, ok := firstStage(seed + i)
			mu.Lock()
			defer mu.Unlock()
			ours = max(ours, bad)
			row.Pass = row.Pass && ok && bad <= maxBadAnswers
		})
	}
	runs.Wait()
	row.Baseline, row.Ours = fmt.Sprint(baseline, " bad answers"), fmt.Sprint(ours, " bad answers")
	return row
}

func firstStage(seed uint64) (bad int, ok bool) {
	f, err := newExposureFleet(seed, settings.RolloutRunning, false)
	if err != nil {
		return 0, false
	}
	defer f.close()
	ok = f.runTraffic(exposureInterval, sessionsPerTick, badVersionBadRate)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bad, ok
}

// firstStageAlone is the baseline: each instance tests only its own rated answers,
// and admits sessions up to the stage's percentage. One step is the time between
// two sessions on the new version.
func firstStageAlone(seed uint64) (bad int) {
	const perSecond = sessionsPerSecond * firstStagePercent / 100
	type answer struct {
		instance, ratedAt int
		good              bool
	}
	random := rand.New(rand.NewPCG(seed, 3))
	var counts [fleetInstances]rollout.Counts
	var pending []answer
	for step := 0; step < int(exposureTime.Seconds()*perSecond); step++ {
		a := answer{
			instance: random.IntN(fleetInstances), good: random.Float64() >= badVersionBadRate,
			ratedAt: step + int(ratingDelay.Seconds()*perSecond),
		}
		if !rollout.Exceeds(counts[a.instance], badRateLimit) {
			pending = append(pending, a)
			if !a.good {
				bad++
			}
		}
		if len(pending) > 0 && pending[0].ratedAt <= step {
			rated := countOf(pending[0].good)
			c := &counts[pending[0].instance]
			c.Good, c.Bad = c.Good+rated.Good, c.Bad+rated.Bad
			pending = pending[1:]
		}
	}
	return bad
}

// falseStopRow tests good rollouts repeatedly as answers arrive. The baseline
// compares the fraction of bad answers with the limit.
func falseStopRow(seed uint64) Row {
	random := rand.New(rand.NewPCG(seed, 2))
	baseline, ours, atLimit := 0, 0, 0
	for range goodRollouts {
		fixed, sequential := countFalseStops(random, goodVersionBadRate)
		baseline += fixed
		ours += sequential
		_, sequential = countFalseStops(random, badRateLimit)
		atLimit += sequential
	}
	return Row{
		Name:     "exposure, false stops",
		Baseline: fmt.Sprintf("%d of %d good rollouts stopped", baseline, goodRollouts),
		Ours:     fmt.Sprintf("%d of %d", ours, goodRollouts),
		Target:   fmt.Sprintf("at most %.0f%%", 100*maxFalseStops),
		Pass:     float64(max(ours, atLimit)) <= maxFalseStops*goodRollouts,
		Note: fmt.Sprintf("versions with a bad-answer rate of %.2f over %d answers, limit %.2f; %d of %d versions exactly at the limit are stopped",
			goodVersionBadRate, goodAnswers, badRateLimit, atLimit, goodRollouts),
	}
}

// countFalseStops runs one version with the given bad rate, which is not above the
// limit, and returns 1 for each of the two rules that stops it. Several instances
// apply the sequential rule, each to its own answers and the counts that the others
// last published.
func countFalseStops(random *rand.Rand, badRate float64) (fixed, sequential int) {
	var views exposureViews
	for i := range goodAnswers {
		instance := random.IntN(fleetInstances)
		answer := countOf(random.Float64() >= badRate)
		tripped := views.add(instance, answer)
		if i%publishEvery == 0 {
			views.publish(random.IntN(fleetInstances))
		}
		if tripped || i%checkEvery == 0 && rollout.Exceeds(views.view(random.IntN(fleetInstances)), badRateLimit) {
			sequential = 1
		}
		if total := views.total; total.Total() >= fixedMinSamples && total.BadRate() > badRateLimit {
			fixed = 1
		}
	}
	return fixed, sequential
}

// exposureViews holds the counts of one version as each of several instances has
// them.
type exposureViews struct {
	own, published [fleetInstances]rollout.Counts
	total          rollout.Counts
	cusum          rollout.Cusum
}

// add counts an answer at an instance and reports whether the CUSUM detector for a
// later regression trips.
func (v *exposureViews) add(instance int, answer rollout.Counts) bool {
	v.own[instance] = sum(v.own[instance], answer)
	v.total = sum(v.total, answer)
	return v.cusum.Add(answer, badRateLimit)
}

// publish sends the counts of an instance to the others.
func (v *exposureViews) publish(instance int) { v.published[instance] = v.own[instance] }

// view returns the sum of an instance's own counts and those published by the others.
func (v *exposureViews) view(instance int) rollout.Counts {
	total := v.own[instance]
	for other, counts := range v.published {
		if other != instance {
			total = sum(total, counts)
		}
	}
	return total
}

func sum(a, b rollout.Counts) rollout.Counts {
	return rollout.Counts{Good: a.Good + b.Good, Bad: a.Bad + b.Bad}
}

// lateRegressionRow measures the time from sufficient evidence until every instance
// has stopped a version at full traffic. In the baseline, the instances receive
// no messages from each other.
func lateRegressionRow(seed uint64) Row {
	const interval = 30 * time.Millisecond
	var took [2]time.Duration
	var oks [2]bool
	var runs sync.WaitGroup
	for which, isolated := range []bool{true, false} {
		runs.Go(func() { took[which], oks[which] = lateRegression(seed, interval, isolated) })
	}
	runs.Wait()
	return Row{
		Name:     "exposure, turned bad",
		Baseline: formatStopTime(took[0], oks[0]),
		Ours:     formatStopTime(took[1], oks[1]),
		Target:   fmt.Sprintf("stopped everywhere at most %s after the evidence suffices", maxStopTime),
		Pass:     oks[1] && took[1] <= maxStopTime,
		Note: fmt.Sprintf("%d instances, %.0f rated answers/s, store unreachable; the evidence suffices when an observer that receives every rating at once would stop the version",
			fleetInstances, time.Second.Seconds()/interval.Seconds()),
	}
}

func formatStopTime(d time.Duration, ok bool) string {
	if !ok {
		return fmt.Sprintf("not stopped within %s", exposureTime)
	}
	return fmt.Sprintf("%.1f s", d.Seconds())
}

func lateRegression(seed uint64, interval time.Duration, isolated bool) (time.Duration, bool) {
	f, err := newExposureFleet(seed, settings.RolloutComplete, isolated)
	if err != nil {
		return 0, false
	}
	defer f.close()
	ok := f.runTraffic(interval, 1, badVersionBadRate)
	stoppedAt := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.sufficientAt.IsZero() {
		f.sufficientAt = stoppedAt
	}
	return stoppedAt.Sub(f.sufficientAt), ok
}
