package scheduling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/settings"
)

var (
	testVersion = settings.VersionRef{Model: "m", Version: "v1"}
	testNow     = time.Unix(1_000, 0)
)

// newStore returns a store of n servers that have the version loaded and report no
// load.
func newStore(n int, options ...datastore.Option) *datastore.Store {
	store := newEmptyStore(n, options...)
	for i := range n {
		setStatus(store, i, datastore.Status{ReportedAt: testNow})
	}
	return store
}

// newEmptyStore returns a store of n servers without reports.
func newEmptyStore(n int, options ...datastore.Option) *datastore.Store {
	tree := settings.Tree{Servers: map[string]settings.Server{}}
	for i := range n {
		domain := []string{"a", "b"}[i%2]
		tree.Servers[serverID(i)] = settings.Server{FailureDomain: domain, Models: []string{"m"}, Capacity: 1}
	}
	store := datastore.New(options...)
	store.SetSettings(settings.Compile(1, tree))
	return store
}

func serverID(i int) string { return fmt.Sprintf("s%05d", i) }

func setStatus(store *datastore.Store, i int, status datastore.Status) {
	status.Versions = []settings.VersionRef{testVersion}
	store.SetStatus(serverID(i), status)
}

// countPicks makes 1,000 decisions and counts the picks of each server.
func countPicks(t *testing.T, store *datastore.Store, req Request) map[string]int {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	counts := make(map[string]int)
	for range 1_000 {
		decision, err := Pick(store.Snapshot(), req, rng)
		require.NoError(t, err)
		counts[decision.Server.ID]++
	}
	return counts
}

func TestPickRejects(t *testing.T) {
	testCases := []struct {
		desc   string
		status datastore.Status
		req    Request
		want   Reason
	}{
		{desc: "a draining server", status: datastore.Status{Draining: true}, want: RejectedDraining},
		{desc: "a server that is down", status: datastore.Status{Down: true}, want: RejectedDown},
		{desc: "an excluded server", req: Request{Excluded: []string{serverID(0)}}, want: RejectedExcluded},
	}
	for _, test := range testCases {
		t.Run(test.desc, func(t *testing.T) {
			store := newStore(1)
			setStatus(store, 0, test.status)
			test.req.Version = testVersion
			_, err := Pick(store.Snapshot(), test.req, rand.New(rand.NewPCG(1, 2)))
			var none *NoServerError
			require.ErrorAs(t, err, &none)
			assert.Equal(t, []Candidate{{Server: serverID(0), Reason: test.want}}, none.Candidates)
		})
	}
}

func TestPickSpreadsByLoad(t *testing.T) {
	const servers = 4
	testCases := []struct {
		desc string
		// report is the status of server 0; the others report 1,000 tokens.
		report datastore.Status
		// own is this instance's tokens in flight on server 0.
		own int64
		// minPicks and maxPicks bound the picks of server 0 in 1,000 decisions.
		minPicks, maxPicks int
	}{
		{desc: "equal loads get equal shares", report: datastore.Status{RunningTokens: 1_000, ReportedAt: testNow}, minPicks: 150, maxPicks: 350},
		{desc: "a loaded server is not picked", report: datastore.Status{QueuedTokens: 2_000, ReportedAt: testNow}, maxPicks: 0},
		{desc: "own load counts without a report", own: 2_000, maxPicks: 0},
		{desc: "a missing report counts as the mean", minPicks: 150, maxPicks: 350},
		{desc: "an old report of an idle server counts as the mean", report: datastore.Status{ReportedAt: testNow.Add(-time.Minute)}, minPicks: 150, maxPicks: 350},
		{desc: "a report below the own load is ignored", report: datastore.Status{ReportedAt: testNow}, own: 500, maxPicks: 0},
		{desc: "a negative report is ignored", report: datastore.Status{RunningTokens: -1 << 40, ReportedAt: testNow}, minPicks: 150, maxPicks: 350},
		{desc: "an exaggerated report affects only its server", report: datastore.Status{RunningTokens: 1 << 50, ReportedAt: testNow}, maxPicks: 0},
	}
	for _, test := range testCases {
		t.Run(test.desc, func(t *testing.T) {
			store := newStore(servers)
			for i := range servers {
				setStatus(store, i, datastore.Status{RunningTokens: 1_000, ReportedAt: testNow})
			}
			store.Snapshot().Servers[serverID(0)].Begin(test.own)
			setStatus(store, 0, test.report)
			counts := countPicks(t, store, Request{Version: testVersion, Tokens: 100, FailureDomain: "c", Now: testNow})
			assert.GreaterOrEqual(t, counts[serverID(0)], test.minPicks)
			assert.LessOrEqual(t, counts[serverID(0)], test.maxPicks)
		})
	}
}

func TestExaggeratedReportDoesNotSkewOtherServers(t *testing.T) {
	store := newStore(4)
	for i := range 4 {
		setStatus(store, i, datastore.Status{RunningTokens: 1_000, ReportedAt: testNow})
	}
	setStatus(store, 0, datastore.Status{RunningTokens: 1 << 50, ReportedAt: testNow})
	setStatus(store, 1, datastore.Status{})
	counts := countPicks(t, store, Request{Version: testVersion, Tokens: 100, FailureDomain: "c", Now: testNow})
	assert.Greater(t, counts[serverID(1)], 250, "a server without a report must not be scored like the exaggerating one")
}

func TestPickPrefersOwnFailureDomainWhenEqual(t *testing.T) {
	counts := countPicks(t, newStore(2), Request{Version: testVersion, Tokens: 100, FailureDomain: "b", Now: testNow})
	assert.Equal(t, map[string]int{serverID(1): 1_000}, counts)
}

// affinityServer returns the server picked for a prefix.
func affinityServer(t *testing.T, store *datastore.Store, prefix uint64) string {
	t.Helper()
	req := Request{Version: testVersion, Tokens: 100, PrefixHash: prefix, Now: testNow}
	decision, err := Pick(store.Snapshot(), req, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	return decision.Server.ID
}

func TestPrefixAffinity(t *testing.T) {
	req := Request{Version: testVersion, Tokens: 100, PrefixHash: 42, Now: testNow}

	t.Run("holds while the load is within the bound", func(t *testing.T) {
		assert.Len(t, countPicks(t, newStore(18), req), 1)
	})
	t.Run("is the same in every instance with 10,000 servers", func(t *testing.T) {
		assert.Len(t, countPicks(t, newStore(10_000), req), 1)
	})
	t.Run("moves few prefixes when a server is removed", func(t *testing.T) {
		moved := 0
		all, oneLess := newStore(1_000), newStore(999)
		for prefix := range uint64(1_000) {
			if affinityServer(t, all, prefix+1) != affinityServer(t, oneLess, prefix+1) {
				moved++
			}
		}
		assert.Less(t, moved, 50)
	})
	t.Run("yields to load", func(t *testing.T) {
		store := newStore(18)
		rng := rand.New(rand.NewPCG(1, 2))
		for range 1_800 {
			decision, err := Pick(store.Snapshot(), req, rng)
			require.NoError(t, err)
			decision.Server.Begin(req.Tokens)
		}
		for _, server := range store.Snapshot().Watched() {
			requests, _ := server.InFlight()
			assert.LessOrEqual(t, requests, int64(130), "1.25 times the mean of 100, plus a few from while the mean was still growing")
		}
	})
}

func TestSlicesOfAllInstancesSumToTheCapacity(t *testing.T) {
	const capacity, servers, instances = 8, 100, 7
	store := newStore(servers)
	list := store.Snapshot().Watched()
	for _, server := range list {
		server.Settings.Capacity = capacity
	}
	total := make(map[string]int64)
	for instance := range instances {
		slice := Slice{From: float64(instance) / instances, To: float64(instance+1) / instances}
		assert.InDelta(t, float64(capacity*servers)/instances, slice.Slots(list), 1.5)
		for i, server := range list {
			total[server.ID] += slice.slotsOn(capacity, offsetOf(i, servers))
		}
	}
	for id, slots := range total {
		assert.EqualValues(t, capacity, slots, id)
	}
}

func TestPickStaysWithinTheSlice(t *testing.T) {
	store := newStore(4)
	req := Request{Version: testVersion, Tokens: 100, Slice: Slice{To: 1}, Now: testNow}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 4 {
		decision, err := Pick(store.Snapshot(), req, rng)
		require.NoError(t, err)
		decision.Server.Begin(1)
	}
	for _, server := range store.Snapshot().Watched() {
		requests, _ := server.InFlight()
		assert.EqualValues(t, 1, requests, "one slot on each server")
	}
	_, err := Pick(store.Snapshot(), req, rng)
	require.NoError(t, err, "a preference must not drop all servers")
}

func TestSubset(t *testing.T) {
	const servers, size, instances = 1_000, 64, 200
	subsetOf := func(instance string, n int) map[string]bool {
		ids := make(map[string]bool)
		for _, server := range newEmptyStore(n, datastore.WithSubset(instance, size)).Snapshot().Watched() {
			ids[server.ID] = true
		}
		return ids
	}

	assert.Equal(t, subsetOf("e1", servers), subsetOf("e1", servers))
	assert.Len(t, subsetOf("e1", servers), size)

	lost := 0
	smaller := subsetOf("e1", servers-1)
	for id := range subsetOf("e1", servers) {
		if !smaller[id] {
			lost++
		}
	}
	assert.LessOrEqual(t, lost, 1, "removing a server changes at most one member of the subset")

	watchers := make(map[string]int)
	for i := range instances {
		for id := range subsetOf(fmt.Sprint("entry-", i), servers) {
			watchers[id]++
		}
	}
	assert.Len(t, watchers, servers, "every server is watched by some instance")
}

func BenchmarkPick(b *testing.B) {
	for _, servers := range []int{100, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			snap := newStore(servers).Snapshot()
			rng := rand.New(rand.NewPCG(1, 2))
			req := Request{Version: testVersion, Tokens: 100, PrefixHash: 42, Now: testNow}
			b.ReportAllocs()
			for b.Loop() {
				req.PrefixHash++
				_, _ = Pick(snap, req, rng)
			}
		})
	}
}
