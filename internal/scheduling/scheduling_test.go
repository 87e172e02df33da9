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

// newStore makes servers with the version loaded and no load.
func newStore(n int, options ...datastore.Option) *datastore.Store {
	store := newEmptyStore(n, options...)
	for i := range n {
		setStatus(store, i, datastore.Status{ReportedAt: testNow})
	}
	return store
}

// newEmptyStore makes servers that reported nothing yet.
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

// picks counts which servers 1,000 decisions take.
func picks(t *testing.T, store *datastore.Store, req Request) map[string]int {
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
		{desc: "a leaving server", status: datastore.Status{Leaving: true}, want: RejectedLeaving},
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
			assert.Equal(t, []Candidate{{Server: serverID(0), Why: test.want}}, none.Candidates)
		})
	}
}

func TestPickSpreadsByLoad(t *testing.T) {
	const servers = 4
	testCases := []struct {
		desc string
		// report is the status of server 0; the others report 1,000 tokens.
		report datastore.Status
		// own is this entry's tokens in flight on server 0.
		own int64
		// least and most bound the decisions in 1,000 that take server 0.
		least, most int
	}{
		{desc: "equal loads share", report: datastore.Status{RunningTokens: 1_000, ReportedAt: testNow}, least: 150, most: 350},
		{desc: "a loaded server loses", report: datastore.Status{QueuedTokens: 2_000, ReportedAt: testNow}, most: 0},
		{desc: "own load counts without a report", own: 2_000, most: 0},
		{desc: "a missing report counts as the mean", least: 150, most: 350},
		{desc: "an old report of an idle server counts as the mean", report: datastore.Status{ReportedAt: testNow.Add(-time.Minute)}, least: 150, most: 350},
		{desc: "a report below the own load is not believed", report: datastore.Status{ReportedAt: testNow}, own: 500, most: 0},
		{desc: "a negative report is not believed", report: datastore.Status{RunningTokens: -1 << 40, ReportedAt: testNow}, least: 150, most: 350},
		{desc: "an exaggerated report only costs its server", report: datastore.Status{RunningTokens: 1 << 50, ReportedAt: testNow}, most: 0},
	}
	for _, test := range testCases {
		t.Run(test.desc, func(t *testing.T) {
			store := newStore(servers)
			for i := range servers {
				setStatus(store, i, datastore.Status{RunningTokens: 1_000, ReportedAt: testNow})
			}
			store.Snapshot().Servers[serverID(0)].Begin(test.own)
			setStatus(store, 0, test.report)
			counts := picks(t, store, Request{Version: testVersion, Tokens: 100, FailureDomain: "c", Now: testNow})
			assert.GreaterOrEqual(t, counts[serverID(0)], test.least)
			assert.LessOrEqual(t, counts[serverID(0)], test.most)
		})
	}
}

func TestExaggeratedReportLeavesTheOthersEven(t *testing.T) {
	store := newStore(4)
	for i := range 4 {
		setStatus(store, i, datastore.Status{RunningTokens: 1_000, ReportedAt: testNow})
	}
	setStatus(store, 0, datastore.Status{RunningTokens: 1 << 50, ReportedAt: testNow})
	setStatus(store, 1, datastore.Status{})
	counts := picks(t, store, Request{Version: testVersion, Tokens: 100, FailureDomain: "c", Now: testNow})
	assert.Greater(t, counts[serverID(1)], 250, "a server without a report must not look as loaded as the exaggerating one")
}

func TestPickPrefersOwnFailureDomainWhenEqual(t *testing.T) {
	counts := picks(t, newStore(2), Request{Version: testVersion, Tokens: 100, FailureDomain: "b", Now: testNow})
	assert.Equal(t, map[string]int{serverID(1): 1_000}, counts)
}

// affine returns the server that a prefix goes to.
func affine(t *testing.T, store *datastore.Store, prefix uint64) string {
	t.Helper()
	req := Request{Version: testVersion, Tokens: 100, PrefixHash: prefix, Now: testNow}
	decision, err := Pick(store.Snapshot(), req, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	return decision.Server.ID
}

func TestPrefixAffinity(t *testing.T) {
	req := Request{Version: testVersion, Tokens: 100, PrefixHash: 42, Now: testNow}

	t.Run("holds while the load is bounded", func(t *testing.T) {
		assert.Len(t, picks(t, newStore(18), req), 1)
	})
	t.Run("is the same in every entry at 10,000 servers", func(t *testing.T) {
		assert.Len(t, picks(t, newStore(10_000), req), 1)
	})
	t.Run("moves with few prefixes when a server goes", func(t *testing.T) {
		moved := 0
		all, oneLess := newStore(1_000), newStore(999)
		for prefix := range uint64(1_000) {
			if affine(t, all, prefix+1) != affine(t, oneLess, prefix+1) {
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
			assert.LessOrEqual(t, requests, int64(130), "1.25 times the mean of 100, and a few from before it grew")
		}
	})
}

func TestSlicesOfAllEntriesMakeUpTheCapacity(t *testing.T) {
	const capacity, servers, entries = 8, 100, 7
	store := newStore(servers)
	list := store.Snapshot().Watched()
	for _, server := range list {
		server.Settings.Capacity = capacity
	}
	total := make(map[string]int64)
	for e := range entries {
		slice := Slice{From: float64(e) / entries, To: float64(e+1) / entries}
		assert.InDelta(t, float64(capacity*servers)/entries, slice.Places(list), 1.5)
		for i, server := range list {
			total[server.ID] += slice.places(capacity, offsetOf(i, servers))
		}
	}
	for id, places := range total {
		assert.EqualValues(t, capacity, places, id)
	}
}

func TestPickKeepsToTheSlice(t *testing.T) {
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
		assert.EqualValues(t, 1, requests, "a place on each server")
	}
	_, err := Pick(store.Snapshot(), req, rng)
	require.NoError(t, err, "a preference leaves a choice where none is left")
}

func TestSubset(t *testing.T) {
	const servers, size, entries = 1_000, 64, 200
	subsetOf := func(entry string, n int) map[string]bool {
		ids := make(map[string]bool)
		for _, server := range newEmptyStore(n, datastore.WithSubset(entry, size)).Snapshot().Watched() {
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
	assert.LessOrEqual(t, lost, 1, "one server gone changes one place at most")

	watchers := make(map[string]int)
	for e := range entries {
		for id := range subsetOf(fmt.Sprint("entry-", e), servers) {
			watchers[id]++
		}
	}
	assert.Len(t, watchers, servers, "every server is watched by some entry")
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
