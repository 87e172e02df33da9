package commitrelay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/tablestore/groupcommit"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

const fleetRate = 300

// fleet is a set of relays that share one table.
type fleet struct {
	table   *memtable.Table
	network *membus.Network
	ids     []string
	relays  []*Relay
}

func newFleet(ctx context.Context, size int) *fleet {
	f := &fleet{table: memtable.New(), network: membus.New()}
	for i := range size {
		f.ids = append(f.ids, fmt.Sprintf("e%04d", i))
	}
	for _, id := range f.ids {
		r := New(f.network.Join(id, "hall"), fleetRate)
		r.SetInstances(f.ids)
		local := groupcommit.New(f.table, r.Budget)
		r.SetLocal(local)
		go local.Run(ctx)
		f.relays = append(f.relays, r)
	}
	return f
}

func insert(key string) tablestore.Txn {
	return tablestore.Txn{
		Conditions: []tablestore.Condition{{Key: key}},
		Mutations:  []tablestore.Mutation{{Key: key, Value: []byte("v")}},
	}
}

// commitAll commits one row through each relay concurrently and counts the outcomes.
func (f *fleet) commitAll(ctx context.Context, prefix string) map[tablestore.Outcome]int {
	var mu sync.Mutex
	outcomes := make(map[tablestore.Outcome]int)
	var wg sync.WaitGroup
	for i, r := range f.relays {
		wg.Go(func() {
			result := r.Commit(ctx, insert(prefix+f.ids[i]))
			mu.Lock()
			defer mu.Unlock()
			outcomes[result.Outcome]++
		})
	}
	wg.Wait()
	return outcomes
}

func TestBudgetsAddUpToFleetRate(t *testing.T) {
	for _, size := range []int{1, 9, maxDirectInstances, maxDirectInstances + 1, 1200} {
		bubble.Test(t, func(t *testing.T) {
			f := newFleet(t.Context(), 0)
			for i := range size {
				f.ids = append(f.ids, fmt.Sprint(i))
			}
			total := 0.0
			for _, id := range f.ids {
				r := New(f.network.Join(id, "hall"), fleetRate)
				r.SetInstances(f.ids)
				total += r.Budget()
			}
			require.InDelta(t, fleetRate, total, 0.001)
		})
	}
}

func TestLargeFleetCommitsThroughCollectors(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 300)
		start := time.Now()
		require.Equal(t, map[tablestore.Outcome]int{tablestore.OutcomeCommitted: 300}, f.commitAll(ctx, "a/"))
		require.Less(t, time.Since(start), time.Second)
		require.LessOrEqual(t, f.table.Counts().Commits, 3*Collectors)
		cancel()
		synctest.Wait()
	})
}

func TestFailedCollectorsAreSkipped(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 100)
		for _, id := range f.relays[0].collectors[:Collectors-1] {
			f.network.SetPartitioned(id, true)
		}
		require.Equal(t, tablestore.OutcomeCommitted, f.relays[0].Commit(ctx, insert("a")).Outcome)
		f.network.SetPartitioned(f.relays[0].collectors[Collectors-1], true)
		require.Equal(t, tablestore.OutcomeCommitted, f.relays[0].Commit(ctx, insert("b")).Outcome, "without collectors the instance commits itself")
		cancel()
		synctest.Wait()
	})
}
