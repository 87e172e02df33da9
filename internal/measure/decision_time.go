package measure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/scheduling"
	"github.com/basilrail/basilrail/internal/settings"
)

func init() { Register(40, "decision", measureDecision) }

const (
	// decisionModels is the number of models; with two versions each, there are 16
	// versions.
	decisionModels = 8
	manyServers    = 10_000
	fewServers     = 100

	maxDecisionTime  = 20 * time.Microsecond
	maxDecisionRatio = 2
)

// measureDecision measures the time of a pick with every server watched, which is
// the worst case, and with an instance's subset.
func measureDecision(seed uint64) []Row {
	few := timeDecision(newDecisionStore(fewServers), seed)
	many := timeDecision(newDecisionStore(manyServers), seed)
	subset := timeDecision(newDecisionStore(manyServers, datastore.WithSubset("entry-0", subsetSize)), seed)
	ratio := float64(many.perDecision) / float64(few.perDecision)
	return []Row{
		{
			Name:     "decision time, 16 versions and 10,000 servers",
			Baseline: fmt.Sprintf("scan of all servers %s", timeScan(newDecisionStore(manyServers)).perDecision),
			Ours:     many.String(),
			Target:   fmt.Sprintf("<= %s", maxDecisionTime),
			Pass:     many.perDecision <= maxDecisionTime,
			Note:     fmt.Sprintf("with a subset of %d servers per model: %s", subsetSize, subset),
		},
		{
			Name:     "decision time, 10,000 servers against 100",
			Baseline: few.String(),
			Ours:     fmt.Sprintf("%.2f x", ratio),
			Target:   fmt.Sprintf("<= %d x", maxDecisionRatio),
			Pass:     ratio <= maxDecisionRatio,
		},
		planRow(seed),
	}
}

// planRow measures the time to plan a cascade of two versions.
func planRow(seed uint64) Row {
	policy := newPlanned(cascadeSettings(), seed, rater{})
	requests := mix70.generate(seed)[:1_000]
	for i := range requests {
		policy.serve(&requests[i])
	}
	i := 0
	took := timeOf(func() {
		i++
		policy.plan(&requests[i%len(requests)])
	})
	return Row{
		Name:     "decision time, plan of a cascade",
		Baseline: "none",
		Ours:     took.String(),
		Target:   fmt.Sprintf("<= %s", maxDecisionTime),
		Pass:     took.perDecision <= maxDecisionTime,
	}
}

// subsetSize is the number of servers per model that an instance watches.
const subsetSize = 64

// timing is the cost of one decision.
type timing struct {
	perDecision time.Duration
	allocations int64
	bytes       int64
}

// String formats the time and the allocations per decision.
func (t timing) String() string {
	return fmt.Sprintf("%s, %d allocations of %d bytes", t.perDecision, t.allocations, t.bytes)
}

// decisionRefs are the 16 versions.
var decisionRefs = func() (refs []settings.VersionRef) {
	for _, version := range []string{"v1", "v2"} {
		for i := range decisionModels {
			refs = append(refs, settings.VersionRef{Model: fmt.Sprint("model-", i), Version: version})
		}
	}
	return refs
}()

func decisionRef(i int) settings.VersionRef { return decisionRefs[i%len(decisionRefs)] }

func newDecisionStore(servers int, options ...datastore.Option) *datastore.Store {
	tree := settings.Tree{Servers: make(map[string]settings.Server, servers)}
	for i := range servers {
		tree.Servers[decisionServer(i)] = settings.Server{
			FailureDomain: fmt.Sprint("domain-", i%19), Models: []string{decisionRef(i).Model}, Capacity: poolCapacity,
		}
	}
	store := datastore.New(options...)
	store.SetSettings(settings.Compile(1, tree))
	for i := range servers {
		store.SetStatus(decisionServer(i), datastore.Status{
			Versions: []settings.VersionRef{decisionRef(i)}, RunningTokens: int64(i % 1_000), ReportedAt: time.Unix(0, 0),
		})
	}
	return store
}

func decisionServer(i int) string { return fmt.Sprintf("server-%05d", i) }

func timeDecision(store *datastore.Store, seed uint64) timing {
	rng := rand.New(rand.NewPCG(seed, 73))
	req := scheduling.Request{
		Tokens: 500, FailureDomain: "domain-0", Slice: scheduling.Slice{To: 1}, Now: time.Unix(1, 0),
	}
	i := 0
	return timeOf(func() {
		i++
		req.Version = decisionRef(i)
		req.PrefixHash = datastore.MixHash(uint64(i)) * uint64(i%2)
		// The choice itself is not checked here.
		_, _ = scheduling.Pick(store.Snapshot(), req, rng)
	})
}

// timeScan measures the baseline, a scan for the least loaded of all servers.
func timeScan(store *datastore.Store) timing {
	i := 0
	return timeOf(func() {
		i++
		minLoad := int64(-1)
		for _, server := range store.Snapshot().ForVersion(decisionRef(i)) {
			_, tokens := server.InFlight()
			load := tokens + server.Status().RunningTokens
			if minLoad < 0 || load < minLoad {
				minLoad = load
			}
		}
	})
}

// timeOf returns the fastest of several runs, which is the one least disturbed by
// other processes.
func timeOf(run func()) timing {
	const runs = 5
	best := timing{perDecision: time.Hour}
	for range runs {
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				run()
			}
		})
		if took := time.Duration(result.NsPerOp()); took < best.perDecision {
			best = timing{perDecision: took, allocations: result.AllocsPerOp(), bytes: result.AllocedBytesPerOp()}
		}
	}
	return best
}
