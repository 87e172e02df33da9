package rollout

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/tablestore"
)

// store is an Applier for a whole fleet, with conditional changes.
type store struct {
	mu       sync.Mutex
	tree     settings.Tree
	docs     map[string]settings.Document
	revision uint64
	snapshot *settings.Snapshot
	// outcome is the result of a change that does not conflict; unless it is
	// OutcomeNotApplied, the change takes effect.
	outcome tablestore.Outcome
	commits int
}

func newStore(t *testing.T, tree settings.Tree) *store {
	s := &store{tree: tree, docs: make(map[string]settings.Document), outcome: tablestore.OutcomeCommitted, revision: 1}
	for name, r := range tree.Rollouts["shops"] {
		body, err := yaml.Marshal(r)
		require.NoError(t, err)
		path := "/teams/shops/rollouts/" + name
		s.docs[path] = settings.Document{Path: path, Body: body, Revision: 1}
	}
	s.snapshot = settings.Compile(1, tree)
	return s
}

func (s *store) Settings() *settings.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

func (s *store) Document(path string) (settings.Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc, ok := s.docs[path]
	return doc, ok
}

func (s *store) Apply(_ context.Context, change settings.Change) tablestore.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	doc := change.Documents[0]
	switch {
	case s.outcome == tablestore.OutcomeNotApplied:
		return s.outcome
	case s.docs[doc.Path].Revision != doc.Revision:
		return tablestore.OutcomeConflict
	}
	var r settings.Rollout
	if err := yaml.Unmarshal(doc.Body, &r); err != nil {
		panic(err)
	}
	s.commits++
	s.revision++
	doc.Revision = s.revision
	s.docs[doc.Path] = doc
	rollouts := maps.Clone(s.tree.Rollouts["shops"])
	if rollouts == nil {
		rollouts = make(map[string]settings.Rollout)
	}
	rollouts[doc.Path[strings.LastIndex(doc.Path, "/")+1:]] = r
	s.tree.Rollouts = map[string]map[string]settings.Rollout{"shops": rollouts}
	s.snapshot = settings.Compile(s.revision, s.tree)
	return s.outcome
}

func (s *store) setOutcome(o tablestore.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcome = o
}

// fleet is a number of instances in one synctest bubble.
type fleet struct {
	store     *store
	network   *membus.Network
	instances []*Controller
	stops     []context.CancelFunc
	log       *logtest.Hook
	rand      *rand.Rand
}

func newFleet(t *testing.T, n int, tree settings.Tree) *fleet {
	charts, err := statechart.Load()
	require.NoError(t, err)
	logger, hook := logtest.NewNullLogger()
	logger.SetLevel(logrus.InfoLevel)
	f := &fleet{store: newStore(t, tree), network: membus.New(), log: hook, rand: rand.New(rand.NewPCG(7, 7))}
	for i := range n {
		c := New(Options{
			Bus: f.network.Join(fmt.Sprint("entry-", i), "a"), Applier: f.store, Settings: f.store.Settings,
			Chart: charts.Rollout, Rand: rand.New(rand.NewPCG(9, uint64(i))), Logger: events.NewLogger(logger),
		})
		ctx, stop := context.WithCancel(t.Context())
		f.instances, f.stops = append(f.instances, c), append(f.stops, stop)
		go c.Run(ctx)
	}
	time.Sleep(warmUp + time.Second)
	return f
}

// ratingDelay is the time from an answer to its rating.
const ratingDelay = 2 * time.Second

// traffic sends sessions to random instances for the time d; badRate is the bad rate by
// version. It returns the answers by version.
func (f *fleet) traffic(d time.Duration, perSecond int, badRate map[string]float64) map[string]Counts {
	answers := make(map[string]Counts)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		instance := f.instances[f.rand.IntN(len(f.instances))]
		choice, ok := instance.Choose(account, fmt.Sprint(f.rand.Uint64()), model)
		if !ok {
			continue
		}
		good := f.rand.Float64() >= badRate[choice.Ref.Version]
		time.AfterFunc(ratingDelay, func() { instance.Observe(account, choice.Ref, good) })
		c := answers[choice.Ref.Version]
		if good {
			c.Good++
		} else {
			c.Bad++
		}
		answers[choice.Ref.Version] = c
	}
	return answers
}

// logged returns the number of log lines of an event.
func (f *fleet) logged(e *events.Event) int {
	n := 0
	for _, entry := range f.log.AllEntries() {
		if entry.Data["event"] == e.Number {
			n++
		}
	}
	return n
}

// suspendedWithin waits until every instance refuses the version, and fails after d.
func (f *fleet) suspendedWithin(t *testing.T, d time.Duration, version string) {
	t.Helper()
	suspended := func() bool {
		s := f.store.Settings()
		for _, c := range f.instances {
			if s.Permission(account, ref(version)) == settings.Permitted && !c.Suspended(account, ref(version)) {
				return false
			}
		}
		return true
	}
	for start := time.Now(); !suspended(); time.Sleep(10 * time.Millisecond) {
		require.Less(t, time.Since(start), d, "version %s is still in use", version)
	}
}

const (
	fleetSize         = 9
	maxBad            = 30
	suspensionTimeout = 6 * time.Second
)

// A bad version in its first stage is stopped after few bad answers, whether the store
// is up, down, or loses every response.
func TestBadVersionIsStopped(t *testing.T) {
	tests := []struct {
		desc      string
		outcome   tablestore.Outcome
		perSecond int
		stored    bool
	}{
		{desc: "store up", outcome: tablestore.OutcomeCommitted, perSecond: 200, stored: true},
		{desc: "responses of the store lost", outcome: tablestore.OutcomeUnknown, perSecond: 200, stored: true},
		{desc: "store down", outcome: tablestore.OutcomeNotApplied, perSecond: 200},
		{desc: "store down at peak traffic", outcome: tablestore.OutcomeNotApplied, perSecond: 5000},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFleet(t, fleetSize, tree(map[string]settings.Rollout{"to-2": rolloutToVersion2(settings.RolloutRunning, 0)}))
				f.store.setOutcome(test.outcome)
				answers := f.traffic(20*time.Second, test.perSecond, map[string]float64{"2": 0.5})
				require.LessOrEqual(t, answers["2"].Bad, uint64(maxBad))
				f.suspendedWithin(t, suspensionTimeout, "2")
				status := f.store.Settings().Tree.Rollouts["shops"]["to-2"].Status
				require.Equal(t, test.stored, status == settings.RolloutWithdrawn)

				f.store.setOutcome(tablestore.OutcomeCommitted)
				time.Sleep(time.Minute)
				require.Equal(t, settings.RolloutWithdrawn, f.store.Settings().Tree.Rollouts["shops"]["to-2"].Status, "stored once the store is up")
				require.Equal(t, 1, f.store.commits, "by one instance only")
				require.False(t, f.instances[0].View().Suspended("shops", ref("2")), "the suspension is lifted once the settings forbid the version")
			})
		})
	}
}

// A good rollout passes every stage exactly once, although most instances stop during
// it.
func TestGoodRolloutCompletesAlthoughInstancesStop(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t, fleetSize, tree(map[string]settings.Rollout{"to-2": rolloutToVersion2(settings.RolloutRunning, 0)}))
		for i := range fleetSize - 2 {
			f.traffic(20*time.Second, 50, map[string]float64{"1": 0.02, "2": 0.02})
			f.stops[i]()
			f.network.SetPartitioned(fmt.Sprint("entry-", i), true)
		}
		f.instances = f.instances[fleetSize-2:]
		f.traffic(5*time.Minute, 50, map[string]float64{"1": 0.02, "2": 0.02})
		require.Equal(t, settings.RolloutComplete, f.store.Settings().Tree.Rollouts["shops"]["to-2"].Status)
		require.Equal(t, 3, f.store.commits, "two stages and the end, none skipped or repeated")
		require.Equal(t, fleetSize, f.logged(events.RolloutFound))
	})
}

// An instance that planned a change and was then paused does not apply it to a rollout
// that changed in the meantime.
func TestPausedInstanceChangesNothingLater(t *testing.T) {
	tests := []struct {
		desc    string
		current settings.Rollout
	}{
		{desc: "another instance advanced it", current: rolloutToVersion2(settings.RolloutRunning, 1)},
		{desc: "an operator paused it", current: rolloutToVersion2(settings.RolloutPaused, 0)},
		{desc: "an operator withdrew it", current: rolloutToVersion2(settings.RolloutWithdrawn, 0)},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, tree(map[string]settings.Rollout{"to-2": rolloutToVersion2(settings.RolloutRunning, 0)}))
				stale := plan{
					key:   EvidenceKey{Team: "shops", Ref: ref("2"), Rollout: "to-2"},
					event: statechart.RolloutStagePassed, rollout: rolloutToVersion2(settings.RolloutRunning, 0), revision: 1,
				}
				f.store.Apply(t.Context(), settings.Change{Documents: []settings.Document{{
					Path: stale.key.path(), Body: mustYAML(t, test.current), Revision: 1,
				}}})
				f.instances[0].applyChange(t.Context(), stale)
				require.Equal(t, test.current, f.store.Settings().Tree.Rollouts["shops"]["to-2"])
			})
		})
	}
}

func mustYAML(t *testing.T, r settings.Rollout) []byte {
	body, err := yaml.Marshal(r)
	require.NoError(t, err)
	return body
}

// A version that turns bad at full traffic is suspended at every instance, with or
// without a rollout to it, and the team's other version answers.
func TestVersionThatTurnsBadAtFullTrafficIsSuspended(t *testing.T) {
	tests := []struct {
		desc     string
		rollouts map[string]settings.Rollout
		version  string
		outcome  tablestore.Outcome
		document string
	}{
		{
			desc: "after a complete rollout", rollouts: map[string]settings.Rollout{"to-2": rolloutToVersion2(settings.RolloutComplete, 2)},
			version: "2", outcome: tablestore.OutcomeCommitted, document: "to-2",
		},
		{desc: "stable without a rollout", version: "1", outcome: tablestore.OutcomeCommitted, document: "withdraw-writer-1"},
		{desc: "stable without a rollout, store down", version: "1", outcome: tablestore.OutcomeNotApplied},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFleet(t, fleetSize, tree(test.rollouts))
				before := f.traffic(time.Minute, 50, map[string]float64{test.version: 0.02})
				require.Positive(t, before[test.version].Good)
				f.store.setOutcome(test.outcome)
				f.traffic(10*time.Second, 50, map[string]float64{test.version: 0.5})
				f.suspendedWithin(t, suspensionTimeout, test.version)
				after := f.traffic(30*time.Second, 50, nil)
				require.Zero(t, after[test.version].Total())
				require.Positive(t, after[otherThan(test.version)].Total())
				if test.document != "" {
					require.Equal(t, settings.RolloutWithdrawn, f.store.Settings().Tree.Rollouts["shops"][test.document].Status)
				}
			})
		})
	}
}

func otherThan(version string) string {
	if version == "1" {
		return "2"
	}
	return "1"
}

// If the team may use no other version, the bad version stays in use and each instance
// logs that once.
func TestBadVersionWithoutAlternativeStaysInUse(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		tree := tree(nil)
		tree.Teams["shops"].Models[model] = settings.TeamModel{Stable: "1", Allowed: []string{"1"}}
		f := newFleet(t, 3, tree)
		f.traffic(time.Minute, 50, map[string]float64{"1": 0.02})
		f.traffic(30*time.Second, 50, map[string]float64{"1": 0.5})
		choice, ok := f.instances[0].Choose(account, "s", model)
		require.True(t, ok)
		require.Equal(t, ref("1"), choice.Ref)
		require.Equal(t, 3, f.logged(events.VersionBadNoAlternative))
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0xa2, 0x01, 0x01, 0x02, 0x80})
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = decodeEvidence(body)
		_, _ = decodeSuspensions(body)
	})
}
