package modelcommands

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/memnet"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

var (
	one   = settings.VersionRef{Model: "writer", Version: "1"}
	two   = settings.VersionRef{Model: "writer", Version: "2"}
	three = settings.VersionRef{Model: "writer", Version: "3"}
)

// fakeServers is a fake of the backend servers, by address.
type fakeServers struct {
	mu     sync.Mutex
	loaded map[string]map[string]bool
	// fencing is the highest fencing number that each server has seen.
	fencing map[string]uint64
	checks  bool
	refused int
}

func newFakeServers(n int, checks bool) *fakeServers {
	e := &fakeServers{loaded: make(map[string]map[string]bool), fencing: make(map[string]uint64), checks: checks}
	for i := range n {
		e.loaded[address(i)] = make(map[string]bool)
	}
	return e
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:80", i+1) }

func (e *fakeServers) RoundTrip(req *http.Request) (*http.Response, error) {
	var cmd commandBody
	if err := json.NewDecoder(req.Body).Decode(&cmd); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	at, status := req.URL.Host, http.StatusOK
	switch {
	case e.checks && cmd.Fencing < e.fencing[at]:
		status = http.StatusConflict
		e.refused++
	case cmd.Action == ActionLoad:
		e.loaded[at][cmd.Version] = true
	default:
		delete(e.loaded[at], cmd.Version)
	}
	e.fencing[at] = max(e.fencing[at], cmd.Fencing)
	return &http.Response{StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: io.NopCloser(strings.NewReader("{}"))}, nil
}

// versions returns the versions that a server has loaded.
func (e *fakeServers) versions(i int) []settings.VersionRef {
	e.mu.Lock()
	defer e.mu.Unlock()
	var refs []settings.VersionRef
	for _, ref := range []settings.VersionRef{one, two, three} {
		if e.loaded[address(i)][ref.String()] {
			refs = append(refs, ref)
		}
	}
	return refs
}

func tree(n int) settings.Tree {
	tree := settings.Tree{
		Models: map[string]settings.Model{"writer": {Versions: map[string]settings.Version{"1": {}, "2": {}, "3": {Withdrawn: true}}}},
		Teams: map[string]settings.Team{"shops": {
			Models: map[string]settings.TeamModel{"writer": {Stable: "1", Allowed: []string{"1", "2", "3"}}},
		}},
		Rollouts: map[string]map[string]settings.Rollout{"shops": {"to-2": {
			Model: "writer", From: "1", To: "2", Status: settings.RolloutRunning, Stages: []settings.Stage{{Percent: 1}},
		}}},
		Servers: make(map[string]settings.Server),
	}
	for i := range n {
		tree.Servers[fmt.Sprint("s", i)] = settings.Server{Address: address(i), Models: []string{"writer"}}
	}
	return tree
}

func newStore(n int) *datastore.Store {
	store := datastore.New()
	store.SetSettings(settings.Compile(1, tree(n)))
	return store
}

// report stores the loaded versions of every server, as a watcher does.
func report(store *datastore.Store, e *fakeServers, n int) {
	for i := range n {
		store.SetStatus(fmt.Sprint("s", i), datastore.Status{Versions: e.versions(i), ReportedAt: time.Now()})
	}
}

func TestPlan(t *testing.T) {
	const n = 6
	store := newStore(n)
	require.Empty(t, Plan(store.Snapshot()), "servers without a report get no commands")
	e := newFakeServers(n, true)
	e.loaded[address(0)] = map[string]bool{one.String(): true, three.String(): true}
	report(store, e, n)
	counts := make(map[Command]int)
	for _, cmd := range Plan(store.Snapshot()) {
		counts[Command{Action: cmd.Action, Ref: cmd.Ref}]++
	}
	require.Equal(t, map[Command]int{
		{Action: ActionLoad, Ref: one}:     n - 1,
		{Action: ActionLoad, Ref: two}:     minServers,
		{Action: ActionUnload, Ref: three}: 1,
	}, counts, "a withdrawn version is unloaded, a new one is loaded on a few servers")
	store.SetStatus("s1", datastore.Status{Draining: true, ReportedAt: time.Now()})
	for _, cmd := range Plan(store.Snapshot()) {
		require.NotEqual(t, "s1", cmd.Server)
	}
}

// TestLease checks that at most one instance holds the lease, and that the fencing number
// never decreases and grows with takeovers, despite lost answers and outages of the store.
func TestLease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := memtable.New()
		leases := []*Lease{NewLease(table, "a", 1), NewLease(table, "b", 2)}
		last := uint64(0)
		faults := []memtable.Faults{{}, {LoseAnswers: true}, {}, {Down: true}, {}, {DropWrites: true}, {}}
		for i := range 2000 {
			table.SetFaults(faults[i/100%len(faults)])
			time.Sleep(500 * time.Millisecond)
			// In turn the first, the second and neither instance is paused for 25 s.
			if paused := i / 50 % 3; paused != 0 {
				_ = leases[0].Step(t.Context())
			}
			if paused := i / 50 % 3; paused != 1 {
				_ = leases[1].Step(t.Context())
			}
			numberA, heldA := leases[0].Fencing()
			numberB, heldB := leases[1].Fencing()
			require.False(t, heldA && heldB)
			if heldA || heldB {
				require.GreaterOrEqual(t, numberA+numberB, last)
				last = numberA + numberB
			}
		}
		require.Greater(t, last, uint64(5))
	})
}

// TestLeaseRace checks that exactly one of two instances that find the lease free at
// the same time gets it.
func TestLeaseRace(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := memtable.New()
		table.SetFaults(memtable.Faults{Delay: 100 * time.Millisecond})
		leases := []*Lease{NewLease(table, "a", 1), NewLease(table, "b", 2)}
		var steps sync.WaitGroup
		for _, l := range leases {
			steps.Go(func() { _ = l.Step(t.Context()) })
		}
		steps.Wait()
		_, heldA := leases[0].Fencing()
		_, heldB := leases[1].Fencing()
		require.NotEqual(t, heldA, heldB)
	})
}

// TestLateCommandOfPausedHolder covers a holder that is paused between its decision and
// its send. Servers that check the fencing number refuse the late command. On the
// others the current holder restores the versions that the settings require, and no
// request is routed to a server without the version.
func TestLateCommandOfPausedHolder(t *testing.T) {
	const n, restoredWithin = 3, 40 * time.Second
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint("servers check the fencing number: ", checks), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				table, e := memtable.New(), newFakeServers(n, checks)
				client := &http.Client{Transport: e}
				paused := NewLease(table, "paused", 1)
				require.NoError(t, paused.Step(t.Context()))
				number, held := paused.Fencing()
				require.True(t, held)

				store := newStore(n)
				current := New(Options{
					Table: table, Store: store, Client: client, Self: "current",
					FleetSize: func() int { return 2 }, Rand: rand.New(rand.NewPCG(1, 1)),
				})
				go current.Run(t.Context())
				settled := func() bool {
					report(store, e, n)
					return len(Plan(store.Snapshot())) == 0
				}
				for !settled() {
					time.Sleep(time.Second)
				}
				require.True(t, current.HoldsLease())

				err := send(t.Context(), client, address(0), number, Command{Server: "s0", Action: ActionUnload, Ref: one})
				if checks {
					require.ErrorIs(t, err, ErrFenced)
					require.Contains(t, e.versions(0), one)
					return
				}
				require.NoError(t, err)
				report(store, e, n)
				require.Len(t, store.Snapshot().ForVersion(one), n-1, "not routed to while not loaded")
				start := time.Now()
				for !settled() {
					time.Sleep(time.Second)
					require.Less(t, time.Since(start), restoredWithin)
				}
			})
		})
	}
}

// Guards against commands of two holders at a hand-over: one that waited for a connection while
// the lease ended was sent after its successor's.
func TestCommandThatWaitsForAConnectionEndsWithTheLease(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const n, connectsAfter = 2, 30 * time.Second
		var late atomic.Int64
		network := memnet.New()
		for i := range n {
			listener, err := network.Listen(address(i))
			require.NoError(t, err)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { late.Add(1) })}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
		}
		slow := &http.Transport{DialContext: func(ctx context.Context, protocol, addr string) (net.Conn, error) {
			time.Sleep(connectsAfter)
			return network.Dial(ctx, protocol, addr)
		}}
		defer slow.CloseIdleConnections()
		table, store, e := memtable.New(), newStore(n), newFakeServers(n, false)
		report(store, e, n)
		earlier := New(Options{
			Table: table, Store: store, Client: &http.Client{Transport: slow}, Self: "earlier",
			FleetSize: func() int { return 2 }, Rand: rand.New(rand.NewPCG(1, 1)),
		})
		require.NoError(t, earlier.lease.Step(t.Context()))
		earlier.dispatchDue(t.Context())
		later := New(Options{
			Table: table, Store: store, Client: &http.Client{Transport: e}, Self: "later",
			FleetSize: func() int { return 2 }, Rand: rand.New(rand.NewPCG(2, 2)),
		})
		go later.Run(t.Context())
		time.Sleep(connectsAfter + time.Minute)
		require.True(t, later.HoldsLease())
		require.NotEmpty(t, e.versions(0))
		require.Zero(t, late.Load(), "commands of the earlier holder after the hand-over")
	})
}

// TestUnloadWaitsForInFlightRequests checks that a withdrawn version is unloaded only
// after unloadAfter, when no request can be in flight on it.
func TestUnloadWaitsForInFlightRequests(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const n = 2
		e, store := newFakeServers(n, true), newStore(n)
		for i := range n {
			e.loaded[address(i)] = map[string]bool{one.String(): true, two.String(): true, three.String(): true}
		}
		report(store, e, n)
		issuer := New(Options{
			Table: memtable.New(), Store: store, Client: &http.Client{Transport: e}, Self: "a",
			FleetSize: func() int { return 1 }, Rand: rand.New(rand.NewPCG(1, 1)),
		})
		go issuer.Run(t.Context())
		time.Sleep(unloadAfter - time.Minute)
		require.Contains(t, e.versions(0), three)
		time.Sleep(2 * time.Minute)
		require.NotContains(t, e.versions(0), three)
		require.Contains(t, e.versions(0), two)
	})
}

// TestFencedHolderStops checks that a holder sends no further commands under its
// fencing number once a server has refused it.
func TestFencedHolderStops(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const n, newer = 2, 100
		table, e := memtable.New(), newFakeServers(n, true)
		for i := range n {
			e.fencing[address(i)] = newer
		}
		store := newStore(n)
		report(store, e, n)
		issuer := New(Options{
			Table: table, Store: store, Client: &http.Client{Transport: e}, Self: "a",
			FleetSize: func() int { return 1 }, Rand: rand.New(rand.NewPCG(1, 1)),
		})
		require.NoError(t, issuer.lease.Step(t.Context()))
		issuer.dispatchDue(t.Context())
		synctest.Wait()
		require.Positive(t, e.refused)
		require.False(t, issuer.HoldsLease())
		refused := e.refused
		issuer.dispatchDue(t.Context())
		synctest.Wait()
		require.Equal(t, refused, e.refused)
	})
}
