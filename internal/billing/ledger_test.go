package billing

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

// instance is an instance with its ledger and its connection to the table.
type instance struct {
	*Ledger
	id    string
	stop  context.CancelFunc
	table *pausedTable
}

// pausedTable refuses commits while paused.
type pausedTable struct {
	*memtable.Table
	paused atomic.Bool
}

func (p *pausedTable) Commit(ctx context.Context, txn tablestore.Txn) tablestore.Result {
	if p.paused.Load() {
		return tablestore.Result{Outcome: tablestore.OutcomeNotApplied}
	}
	return p.Table.Commit(ctx, txn)
}

// fleet is three instances in three failure domains that share one table.
type fleet struct {
	t         *testing.T
	table     *memtable.Table
	network   *membus.Network
	instances []*instance
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, table: memtable.New(), network: membus.New()}
	for i := range 3 {
		f.instances = append(f.instances, f.start(fmt.Sprintf("e%d", i), fmt.Sprintf("hall-%d", i)))
	}
	t.Cleanup(f.stopAll)
	return f
}

func (f *fleet) start(id, domain string) *instance {
	ctx, cancel := context.WithCancel(context.Background())
	table := &pausedTable{Table: f.table}
	bus := f.network.Join(id, domain)
	e := &instance{id: id, stop: cancel, table: table}
	e.Ledger = New(Config{Bus: bus, FailureDomain: domain, Committer: table, Scanner: f.table})
	go e.Run(ctx)
	return e
}

func (f *fleet) stopAll() {
	for _, e := range f.instances {
		e.stop()
	}
}

// kill stops an instance without closing its ledger and disconnects it.
func (f *fleet) kill(e *instance) {
	e.stop()
	f.network.SetPartitioned(e.id, true)
}

func (f *fleet) reconcile() Reconciliation {
	result, err := NewReader(f.table).Reconcile(f.t.Context(), time.Time{}, time.Time{})
	require.NoError(f.t, err)
	return result
}

// requireBilled checks that the account is billed for exactly n bills, each once.
func (f *fleet) requireBilled(n int) {
	result := f.reconcile()
	require.Empty(f.t, result.Conflicts)
	require.Len(f.t, result.Accounts, 1)
	require.Equal(f.t, AccountTotal{Account: "shop", Bills: n, Total: settings.MicroUnits(n * 100)}, result.Accounts[0])
}

func bill(i int) Record {
	return Record{
		Account:   "shop",
		RequestID: fmt.Sprintf("r%06d", i),
		Lines:     []Line{{AttemptID: "a", Target: "small@1", Server: "s1", InputTokens: 300, OutputTokens: 90, Cost: 100, Billed: true}},
		Total:     100,
	}
}

// longBill returns a bill with a 4000-byte server name, to fill memory fast.
func longBill(i int) Record {
	b := bill(i)
	b.Lines[0].Server = strings.Repeat("s", 4000)
	return b
}

func TestOwnerKilledBetweenSendAndFlush(t *testing.T) {
	tests := []struct {
		desc string
		// before runs before the bill is recorded, after runs once it is durable.
		before, after func(f *fleet, owner *instance)
		// duplicates is the number of records beyond the first. Both holders store
		// the block of a failed owner.
		duplicates int
	}{
		{
			desc:       "after the acknowledgement, before the flush",
			after:      func(f *fleet, owner *instance) { f.kill(owner) },
			duplicates: 1,
		},
		{
			desc: "after the flush was applied, its response lost",
			before: func(f *fleet, owner *instance) {
				f.table.SetFaults(memtable.Faults{LoseAnswers: true})
			},
			after: func(f *fleet, owner *instance) {
				time.Sleep(1500 * time.Millisecond)
				f.kill(owner)
				f.table.SetFaults(memtable.Faults{})
			},
		},
		{
			desc: "after the flush, before the holders are notified",
			after: func(f *fleet, owner *instance) {
				f.network.SetPartitioned(owner.id, true)
				time.Sleep(1500 * time.Millisecond)
				f.kill(owner)
			},
		},
		{
			desc:   "during a store outage",
			before: func(f *fleet, owner *instance) { f.table.SetFaults(memtable.Faults{Down: true}) },
			after: func(f *fleet, owner *instance) {
				f.kill(owner)
				time.Sleep(10 * time.Minute)
				f.table.SetFaults(memtable.Faults{})
			},
			duplicates: 1,
		},
		{
			desc: "paused, resumed after the peers stored the block",
			after: func(f *fleet, owner *instance) {
				owner.table.paused.Store(true)
				f.network.SetPartitioned(owner.id, true)
				time.Sleep(time.Minute)
				owner.table.paused.Store(false)
				f.network.SetPartitioned(owner.id, false)
			},
			duplicates: 2,
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFleet(t)
				owner := f.instances[0]
				if test.before != nil {
					test.before(f, owner)
				}
				require.NoError(t, owner.Record(t.Context(), bill(0)))
				synctest.Wait() // until both holders have the bill
				test.after(f, owner)
				time.Sleep(5 * time.Minute)
				f.requireBilled(1)
				require.Equal(t, test.duplicates, f.reconcile().Duplicates)
				require.Zero(t, f.instances[1].Held()+f.instances[2].Held(), "holders have removed their copies")
			})
		})
	}
}

func TestDurableOnlyInOtherFailureDomainOrTableService(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.instances = append(f.instances, f.start("e9", "hall-0"))
		f.network.SetPartitioned("e1", true)
		f.network.SetPartitioned("e2", true)
		f.table.SetFaults(memtable.Faults{Down: true})
		owner := f.instances[0]
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.NoError(t, owner.Admit())
		require.ErrorIs(t, owner.Record(ctx, bill(0)), context.DeadlineExceeded)
		require.ErrorIs(t, owner.Admit(), ErrNotDurable)

		f.table.SetFaults(memtable.Faults{})
		require.NoError(t, owner.Record(t.Context(), bill(1)), "stored in the table service without a peer")
		require.NoError(t, owner.Admit())
		f.requireBilled(2)
	})
}

func TestTenMinuteOutageBoundsMemoryAndRefusesNewWork(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.table.SetFaults(memtable.Faults{Down: true})
		owner := f.instances[0]
		const perSecond = 8
		admitted, refused := 0, 0
		for i := range 600 * perSecond {
			time.Sleep(time.Second / perSecond)
			if owner.Admit() != nil {
				refused++
				continue
			}
			require.NoError(t, owner.Record(t.Context(), longBill(i)))
			admitted++
		}
		t.Logf("admitted %d, refused %d", admitted, refused)
		require.Positive(t, refused)
		require.LessOrEqual(t, owner.bytes, MaxOwnBytes)
		require.LessOrEqual(t, f.instances[1].held.bytes, MaxHeldBytes)

		f.table.SetFaults(memtable.Faults{})
		time.Sleep(time.Minute)
		require.NoError(t, owner.Admit())
		f.requireBilled(admitted)
		require.Zero(t, owner.bytes)
		require.Zero(t, f.instances[1].held.bytes)
	})
}

func TestSlowPeerDoesNotDelayTheOther(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.instances[1].held.mu.Lock() // blocks its message handler
		defer f.instances[1].held.mu.Unlock()
		start := time.Now()
		require.NoError(t, f.instances[0].Record(t.Context(), bill(0)))
		require.Less(t, time.Since(start), replicationTimeout)
		f.stopAll()
	})
}

func TestDuplicateRecordIsBilledOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t)
		require.NoError(t, f.instances[0].Record(t.Context(), bill(0)))
		time.Sleep(3 * time.Second)
		require.NoError(t, f.instances[1].Record(t.Context(), bill(0)))
		time.Sleep(3 * time.Second)
		f.requireBilled(1)
		require.Equal(t, 1, f.reconcile().Duplicates)
		other := bill(0)
		other.Total = 7
		require.NoError(t, f.instances[2].Record(t.Context(), other))
		time.Sleep(3 * time.Second)
		require.Len(t, f.reconcile().Conflicts, 1)
	})
}

func TestCloseStoresOrReplicates(t *testing.T) {
	tests := []struct {
		desc        string
		down        bool
		partitioned bool
		lost        int
	}{
		{desc: "store up"},
		{desc: "store down, peers up", down: true},
		{desc: "store down, disconnected", down: true, partitioned: true, lost: 1},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFleet(t)
				owner := f.instances[0]
				f.table.SetFaults(memtable.Faults{Down: test.down})
				f.network.SetPartitioned(owner.id, test.partitioned)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_ = owner.Record(ctx, bill(0))
				closing, end := context.WithTimeout(t.Context(), 20*time.Second)
				defer end()
				require.Equal(t, test.lost, owner.Close(closing))
				f.kill(owner)
				time.Sleep(time.Minute)
				f.table.SetFaults(memtable.Faults{})
				time.Sleep(time.Minute)
				if test.lost == 0 {
					f.requireBilled(1)
				}
			})
		})
	}
}

func TestListPages(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for i := range 10 {
			require.NoError(t, f.instances[i%3].Record(t.Context(), bill(i)))
			time.Sleep(1100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		reader := NewReader(f.table)
		var ids []string
		after := ""
		for pages := 0; pages == 0 || after != ""; pages++ {
			page, err := reader.List(t.Context(), "shop", after, 3)
			require.NoError(t, err)
			for _, b := range page.Bills {
				ids = append(ids, b.RequestID)
			}
			after = page.Next
		}
		require.Len(t, ids, 10)
		require.IsIncreasing(t, ids)
		page, err := reader.List(t.Context(), "other", "", 3)
		require.NoError(t, err)
		require.Empty(t, page.Bills)
		page, err = reader.List(t.Context(), "", "", 100)
		require.NoError(t, err)
		require.Len(t, page.Bills, 10, "an empty account selects all bills")
	})
}
