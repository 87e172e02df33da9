package groupcommit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

func insert(key string) tablestore.Txn {
	return tablestore.Txn{
		Conditions: []tablestore.Condition{{Key: key}},
		Mutations:  []tablestore.Mutation{{Key: key, Value: []byte("v")}},
	}
}

// run commits the transactions concurrently and returns their results.
func run(t *testing.T, table *memtable.Table, perSecond float64, txns ...tablestore.Txn) []tablestore.Result {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := New(table, func() float64 { return perSecond })
	results := make([]tablestore.Result, len(txns))
	var wg sync.WaitGroup
	for i, txn := range txns {
		wg.Go(func() { results[i] = c.Commit(ctx, txn) })
	}
	synctest.Wait()
	go c.Run(ctx)
	wg.Wait()
	return results
}

func TestConflictFailsOnlyItsOwnTransaction(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := memtable.New()
		table.Commit(t.Context(), insert("taken"))
		results := run(t, table, 100, insert("a"), insert("taken"), insert("b"))
		require.Equal(t, tablestore.OutcomeCommitted, results[0].Outcome)
		require.Equal(t, tablestore.OutcomeConflict, results[1].Outcome)
		require.Equal(t, "taken", results[1].Conflicts[0].Key)
		require.Equal(t, tablestore.OutcomeCommitted, results[2].Outcome)
		require.Equal(t, 3, table.Counts().Commits, "the setup row, the merged commit, and the retry without the conflicting transaction")
	})
}

func TestTransactionsOnSameRowAreSerialised(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		results := run(t, memtable.New(), 100, insert("a"), insert("a"))
		outcomes := []tablestore.Outcome{results[0].Outcome, results[1].Outcome}
		require.ElementsMatch(t, []tablestore.Outcome{tablestore.OutcomeCommitted, tablestore.OutcomeConflict}, outcomes)
	})
}

func TestManyTransactionsStayWithinTheBudget(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const perSecond = 10
		table := memtable.New()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := New(table, func() float64 { return perSecond })
		go c.Run(ctx)
		var wg sync.WaitGroup
		for i := range 1000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				require.Equal(t, tablestore.OutcomeCommitted, c.Commit(ctx, insert(fmt.Sprint(i))).Outcome)
			})
		}
		wg.Wait()
		require.LessOrEqual(t, table.Counts().Commits, 10*perSecond+burst+perSecond)
	})
}

func TestOutageFailsFast(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := memtable.New()
		table.SetFaults(memtable.Faults{Down: true})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := New(table, func() float64 { return 1 })
		go c.Run(ctx)
		start := time.Now()
		for range 100 {
			require.Equal(t, tablestore.OutcomeNotApplied, c.Commit(ctx, insert("a")).Outcome)
		}
		require.Zero(t, time.Since(start))
		require.Equal(t, 1, table.Counts().Commits)
	})
}

func TestCancelledWhileQueuedIsNotApplied(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		table := memtable.New()
		c := New(table, func() float64 { return 1 })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.Equal(t, tablestore.OutcomeNotApplied, c.Commit(ctx, insert("a")).Outcome)
		run, stop := context.WithCancel(t.Context())
		go c.Run(run)
		time.Sleep(time.Minute)
		stop()
		synctest.Wait()
		require.Empty(t, table.Rows(""))
	})
}
