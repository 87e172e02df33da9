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
	// maxBadAnswers, maxFalseStops and maxOffEverywhere are the targets.
	maxBadAnswers    = 30
	maxFalseStops    = 0.01
	maxOffEverywhere = 6 * time.Second

	exposureModel   = "writer"
	exposureTeam    = "shops"
	exposureAccount = settings.AccountID("shops/lekki")
	exposureLimit   = 0.05
	badShare        = 0.5
	goodShare       = 0.02
	firstPercent    = 1.0
	// ratingDelay is the time from an answer to its rating.
	ratingDelay = time.Second
	// sessionsPerSecond is the rate of new sessions, which begin in groups.
	sessionsPerSecond = 5000
	exposureInterval  = 2 * time.Millisecond
	sessionsAtOnce    = int(sessionsPerSecond * exposureInterval / time.Second)
	// exposureFleets is the number of fleets whose worst one counts.
	exposureFleets = 8
	// exposureTime bounds a run; its end counts as never stopped.
	exposureTime = 30 * time.Second
	// settleTime lets an instance get past its start.
	settleTime = 6 * time.Second
	// goodRollouts and goodAnswers are the size of the run of good roll-outs.
	goodRollouts = 1000
	goodAnswers  = 3000
	// lookEvery is the number of answers between two looks of an instance, and
	// tellEvery between two messages.
	lookEvery = 5
	tellEvery = 4
	// fixedSamples is when the baseline of a fixed threshold begins to judge.
	fixedSamples = 20
)

// measureExposure runs fleets whose store is down, so that only the peers can
// stop a version.
func measureExposure(seed uint64) []Row {
	rows := make([]Row, 3)
	var runs sync.WaitGroup
	for i, row := range []func(uint64) Row{firstStageRow, falseStopRow, turnsBadRow} {
		runs.Go(func() { rows[i] = row(seed) })
	}
	runs.Wait()
	return rows
}

// exposureFleet is the entry instances of one run.
type exposureFleet struct {
	entries []*rollout.Controller
	random  *lockedRand
	version settings.VersionRef
	cancel  context.CancelFunc
	work    sync.WaitGroup

	mu   sync.Mutex
	bad  int
	fair rollout.Cusum
	// enough is when one that sees every rating at once would know.
	enough time.Time
}

// frozenSettings are settings whose store is down.
type frozenSettings struct{ snapshot *settings.Snapshot }

// Document finds nothing to change.
func (frozenSettings) Document(string) (settings.Document, bool) { return settings.Document{}, false }

// Apply is refused.
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
			Model: exposureModel, From: "1", To: "2", Status: status, BadRate: exposureLimit,
			Stages: []settings.Stage{{Percent: firstPercent, MinSamples: goodAnswers}},
		}}},
	})}
}

// newExposureFleet starts instances; apart ones hear nothing from each other.
func newExposureFleet(seed uint64, status settings.RolloutStatus, apart bool) (*exposureFleet, error) {
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
	for i := range fleetEntries {
		id := fmt.Sprint("entry-", i)
		c := rollout.New(rollout.Options{
			Bus: network.Join(id, "a"), Applier: source, Settings: source.get,
			Chart: charts.Rollout, Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		network.SetPartitioned(id, apart)
		f.entries = append(f.entries, c)
		f.work.Go(func() { c.Run(ctx) })
	}
	time.Sleep(settleTime)
	return f, nil
}

func (f *exposureFleet) close() {
	f.cancel()
	f.work.Wait()
}

// off reports whether every instance has stopped the version.
func (f *exposureFleet) off() bool {
	return !slices.ContainsFunc(f.entries, func(c *rollout.Controller) bool {
		return !c.Suspended(exposureAccount, f.version)
	})
}

// play sends groups of sessions, of which the new version answers a share badly,
// until the version is off everywhere; ok is false if that takes too long.
func (f *exposureFleet) play(interval time.Duration, group int, share float64) (ok bool) {
	var ratings sync.WaitGroup
	defer ratings.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(exposureTime); time.Now().Before(end); <-ticker.C {
		if f.off() {
			return true
		}
		for range group {
			f.session(&ratings, share)
		}
	}
	return false
}

// session begins a session of one request at a random instance.
func (f *exposureFleet) session(ratings *sync.WaitGroup, share float64) {
	entry := f.entries[f.random.intN(len(f.entries))]
	id := strconv.Itoa(f.random.intN(sessionIDs))
	choice, found := entry.Choose(exposureAccount, id, exposureModel)
	if !found || choice.Ref != f.version {
		return
	}
	good := !f.random.chance(share)
	f.count(good)
	ratings.Go(func() {
		time.Sleep(ratingDelay)
		f.rate(good)
		entry.Observe(exposureAccount, f.version, good)
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

// rate lets the one who sees everything judge.
func (f *exposureFleet) rate(good bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fair.Add(countOf(good), exposureLimit) && f.enough.IsZero() {
		f.enough = time.Now()
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
		Note: fmt.Sprintf("%d instances, %d sessions a second, %.0f in 100 on a version bad in half of its answers, every answer rated after %s, the worst of %d fleets; the baseline's instances judge alone",
			fleetEntries, sessionsPerSecond, firstPercent, ratingDelay, exposureFleets),
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
	ok = f.play(exposureInterval, sessionsAtOnce, badShare)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bad, ok
}

// firstStageAlone is the baseline: each instance tests its own rated answers
// only, and lets in whatever the stage's percentage allows. One step is the time
// between two sessions on the new version.
func firstStageAlone(seed uint64) (bad int) {
	const perSecond = sessionsPerSecond * firstPercent / 100
	type answer struct {
		entry, ratedAt int
		good           bool
	}
	random := rand.New(rand.NewPCG(seed, 3))
	var counts [fleetEntries]rollout.Counts
	var pending []answer
	for step := 0; step < int(exposureTime.Seconds()*perSecond); step++ {
		a := answer{
			entry: random.IntN(fleetEntries), good: random.Float64() >= badShare,
			ratedAt: step + int(ratingDelay.Seconds()*perSecond),
		}
		if !rollout.Exceeds(counts[a.entry], exposureLimit) {
			pending = append(pending, a)
			if !a.good {
				bad++
			}
		}
		if len(pending) > 0 && pending[0].ratedAt <= step {
			rated := countOf(pending[0].good)
			c := &counts[pending[0].entry]
			c.Good, c.Bad = c.Good+rated.Good, c.Bad+rated.Bad
			pending = pending[1:]
		}
	}
	return bad
}

// falseStopRow judges good roll-outs again and again as answers come in. The
// baseline compares the share of bad answers with the limit.
func falseStopRow(seed uint64) Row {
	random := rand.New(rand.NewPCG(seed, 2))
	baseline, ours, atLimit := 0, 0, 0
	for range goodRollouts {
		fixed, sequential := judgeGood(random, goodShare)
		baseline += fixed
		ours += sequential
		_, sequential = judgeGood(random, exposureLimit)
		atLimit += sequential
	}
	return Row{
		Name:     "exposure, false stops",
		Baseline: fmt.Sprintf("%d of %d good roll-outs stopped", baseline, goodRollouts),
		Ours:     fmt.Sprintf("%d of %d", ours, goodRollouts),
		Target:   fmt.Sprintf("at most %.0f in 100", 100*maxFalseStops),
		Pass:     float64(max(ours, atLimit)) <= maxFalseStops*goodRollouts,
		Note: fmt.Sprintf("versions bad in %.2f of %d answers, limit %.2f; of versions exactly at the limit %d of %d are stopped",
			goodShare, goodAnswers, exposureLimit, atLimit, goodRollouts),
	}
}

// judgeGood returns 1 for each of the two rules that stops the version. Several
// instances judge, each with its own answers and what the others last told.
func judgeGood(random *rand.Rand, share float64) (fixed, sequential int) {
	var views exposureViews
	for i := range goodAnswers {
		entry := random.IntN(fleetEntries)
		answer := countOf(random.Float64() >= share)
		turned := views.add(entry, answer)
		if i%tellEvery == 0 {
			views.tell(random.IntN(fleetEntries))
		}
		if turned || i%lookEvery == 0 && rollout.Exceeds(views.of(random.IntN(fleetEntries)), exposureLimit) {
			sequential = 1
		}
		if total := views.total; total.Total() >= fixedSamples && total.BadRate() > exposureLimit {
			fixed = 1
		}
	}
	return fixed, sequential
}

// exposureViews is what each of several instances knows of one version.
type exposureViews struct {
	own, told [fleetEntries]rollout.Counts
	total     rollout.Counts
	watch     rollout.Cusum
}

// add counts an answer at an instance; it reports whether the watch for a turn trips.
func (v *exposureViews) add(entry int, answer rollout.Counts) bool {
	v.own[entry] = sum(v.own[entry], answer)
	v.total = sum(v.total, answer)
	return v.watch.Add(answer, exposureLimit)
}

// tell lets an instance tell the others all it knows.
func (v *exposureViews) tell(entry int) { v.told[entry] = v.own[entry] }

// of is what an instance knows.
func (v *exposureViews) of(entry int) rollout.Counts {
	known := v.own[entry]
	for other, counts := range v.told {
		if other != entry {
			known = sum(known, counts)
		}
	}
	return known
}

func sum(a, b rollout.Counts) rollout.Counts {
	return rollout.Counts{Good: a.Good + b.Good, Bad: a.Bad + b.Bad}
}

// turnsBadRow takes the time from enough evidence until a version at full
// traffic is off everywhere. The baseline's instances hear nothing from each other.
func turnsBadRow(seed uint64) Row {
	const interval = 30 * time.Millisecond
	var took [2]time.Duration
	var oks [2]bool
	var runs sync.WaitGroup
	for which, apart := range []bool{true, false} {
		runs.Go(func() { took[which], oks[which] = turnsBad(seed, interval, apart) })
	}
	runs.Wait()
	return Row{
		Name:     "exposure, turned bad",
		Baseline: offTime(took[0], oks[0]),
		Ours:     offTime(took[1], oks[1]),
		Target:   fmt.Sprintf("off everywhere at most %s after the evidence suffices", maxOffEverywhere),
		Pass:     oks[1] && took[1] <= maxOffEverywhere,
		Note: fmt.Sprintf("%d instances, %.0f rated answers a second, store down; the evidence suffices when one that sees every rating at once would stop the version",
			fleetEntries, time.Second.Seconds()/interval.Seconds()),
	}
}

func offTime(d time.Duration, ok bool) string {
	if !ok {
		return fmt.Sprintf("not off within %s", exposureTime)
	}
	return fmt.Sprintf("%.1f s", d.Seconds())
}

func turnsBad(seed uint64, interval time.Duration, apart bool) (time.Duration, bool) {
	f, err := newExposureFleet(seed, settings.RolloutComplete, apart)
	if err != nil {
		return 0, false
	}
	defer f.close()
	ok := f.play(interval, 1, badShare)
	off := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.enough.IsZero() {
		f.enough = off
	}
	return off.Sub(f.enough), ok
}
