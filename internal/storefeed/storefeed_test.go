package storefeed

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
)

func TestFewReadersKeepAllInstancesCurrent(t *testing.T) {
	withFleet(t, 40, func(t *testing.T, f *testFleet) {
		time.Sleep(10 * time.Second)
		assert.LessOrEqual(t, len(f.readers()), targetReaders+1)
		before := f.store.count()
		f.store.put("a", "2")
		time.Sleep(200 * time.Millisecond)
		for _, m := range f.members {
			assert.Equal(t, "2", m.value("a"), m.name)
		}
		time.Sleep(10 * time.Second)
		assert.Less(t, f.store.count()-before, 60, "calls in ten seconds, of 40 instances")
		for _, m := range f.members {
			assert.Less(t, m.age(f.store), 2*time.Second, m.name)
		}
	})
}

// TestRarelyChangingTableHasFewReaders guards against additional readers of a
// table whose readers broadcast less often.
func TestRarelyChangingTableHasFewReaders(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleetOf(ctx, 40, Table{Wait: 5 * time.Second, StaleAfter: 12 * time.Second})
		time.Sleep(20 * time.Second)
		assert.LessOrEqual(t, f.store.count(), 40*2+20, "calls at the start: two of each instance, plus those of the readers")
		before := f.store.count()
		time.Sleep(60 * time.Second)
		assert.LessOrEqual(t, f.store.count()-before, 60*targetReaders/5+targetReaders, "calls in a minute")
		assert.LessOrEqual(t, len(f.readers()), targetReaders+1)
		cancel()
		synctest.Wait()
	})
}

// TestLargeRowChangeIsReadOnlyByReaders revokes keys one after the other in a
// configuration of several hundred routes. The patches must fit into broadcasts, so
// that only the readers call the store.
func TestLargeRowChangeIsReadOnlyByReaders(t *testing.T) {
	withFleet(t, 40, func(t *testing.T, f *testFleet) {
		f.store.put("large", largeDocument(0))
		time.Sleep(10 * time.Second)
		before := f.store.count()
		for n := range 10 {
			f.store.put("large", largeDocument(n+1))
			time.Sleep(500 * time.Millisecond)
			for _, m := range f.members {
				require.Equal(t, largeDocument(n+1), m.value("large"), m.name)
			}
		}
		assert.Less(t, f.store.count()-before, 60, "calls for ten changes, of 40 instances")
	})
}

// TestInstancesWithoutPeersReadTheStore covers a start, when no peer is connected
// yet.
func TestInstancesWithoutPeersReadTheStore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleetOf(ctx, 10, Table{ListsPeers: true, Wait: 5 * time.Second, StaleAfter: 12 * time.Second})
		for _, m := range f.members {
			f.network.SetPartitioned(m.name, true)
		}
		time.Sleep(time.Second)
		f.store.put("a", "2")
		time.Sleep(200 * time.Millisecond)
		for _, m := range f.members {
			assert.Equal(t, "2", m.value("a"), m.name)
		}
		time.Sleep(9 * time.Second)
		assert.LessOrEqual(t, f.store.count(), 10*6, "calls: two at the start, one for the change, one every five seconds")
		cancel()
		synctest.Wait()
	})
}

// largeDocument returns a document of several hundred routes; versions differ in a few
// bytes.
func largeDocument(version int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range 400 {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"h%x.example","prefix":"/%x/","kind":"streaming"},`, i*7919, i*104729, i*1299709)
	}
	fmt.Fprintf(&b, `{}],"keys":["k%x","k%x"]}`, version*7907, version*7901)
	return b.String()
}

func TestUnreachableReadersAreReplaced(t *testing.T) {
	withFleet(t, 12, func(t *testing.T, f *testFleet) {
		time.Sleep(10 * time.Second)
		failed := f.readers()
		for _, name := range failed {
			f.store.setDown(name, true)
		}
		f.store.put("a", "3")
		time.Sleep(2 * time.Second)
		for _, m := range f.members {
			assert.Equal(t, "3", m.value("a"), m.name)
		}
		time.Sleep(8 * time.Second)
		for _, m := range f.members {
			assert.Less(t, m.age(f.store), 2500*time.Millisecond, m.name)
		}
	})
}

func TestInstanceRefusedByStoreFollowsPeers(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *testFleet) {
		time.Sleep(5 * time.Second)
		f.store.setDown("i02", true)
		before := f.store.refused("i02")
		defer func() {
			assert.Less(t, f.store.refused("i02")-before, 12, "calls that the store refused in ten seconds")
		}()
		for i := range 10 {
			f.store.put("a", fmt.Sprint("v", i))
			time.Sleep(time.Second)
			assert.Equal(t, fmt.Sprint("v", i), f.members[2].value("a"))
			assert.Less(t, f.members[2].age(f.store), 2500*time.Millisecond)
		}
		assert.Zero(t, f.members[2].uncertainFor(), "the table was confirmed throughout")
	})
}

func TestOutageBoundsCallsAndRecoveryTime(t *testing.T) {
	withFleet(t, 40, func(t *testing.T, f *testFleet) {
		time.Sleep(10 * time.Second)
		f.store.setDown("", true)
		before := f.store.count()
		time.Sleep(10 * time.Second)
		// 40 instances with one call every 1.2 s on average.
		assert.Less(t, f.store.count()-before, 500)
		for _, m := range f.members {
			assert.Greater(t, m.age(f.store), 9*time.Second, "no instance confirms the table without the store")
		}
		f.store.setDown("", false)
		f.store.put("a", "after")
		time.Sleep(time.Second)
		for _, m := range f.members {
			assert.Equal(t, "after", m.value("a"), m.name)
			assert.Less(t, m.age(f.store), 1100*time.Millisecond, m.name)
			assert.Positive(t, m.uncertainFor(), "entries may have expired during the outage")
			assert.LessOrEqual(t, m.uncertainFor(), recoveryWindow)
		}
		time.Sleep(2 * time.Second)
		f.store.put("a", "later")
		time.Sleep(time.Second)
		assert.Zero(t, f.members[0].uncertainFor(), "rows missing after the recovery window were deleted")
	})
}

// TestFirstCallAfterAnOutageJustBeforeAChange covers the order in which the first call
// that succeeds after an outage misses a change, while the other instances hold off.
func TestFirstCallAfterAnOutageJustBeforeAChange(t *testing.T) {
	for run := range 25 {
		t.Run(fmt.Sprint(run), func(t *testing.T) {
			withFleet(t, 40, func(t *testing.T, f *testFleet) {
				time.Sleep(10 * time.Second)
				f.store.setDown("", true)
				time.Sleep(10 * time.Second)
				var changed time.Time
				f.store.mu.Lock()
				f.store.afterAnswer = func() {
					f.store.put("a", "after")
					changed = time.Now()
				}
				f.store.mu.Unlock()
				f.store.setDown("", false)
				time.Sleep(5 * time.Second)
				synctest.Wait()
				require.False(t, changed.IsZero())
				for _, m := range f.members {
					require.Equal(t, "after", m.value("a"), m.name)
					require.Less(t, m.since("a").Sub(changed), time.Second, m.name)
				}
			})
		})
	}
}

func TestLostHistoryTriggersFullRead(t *testing.T) {
	withFleet(t, 4, func(t *testing.T, f *testFleet) {
		time.Sleep(5 * time.Second)
		f.store.setDown("", true)
		time.Sleep(time.Second)
		f.store.put("b", "1")
		f.store.dropHistory()
		f.store.setDown("", false)
		time.Sleep(4 * time.Second)
		for _, m := range f.members {
			assert.Equal(t, "1", m.value("b"), m.name)
		}
	})
}

// TestLostHistoryIsReadOnlyByReaders covers a store that drops its history while rows
// change: only the readers read the full table, and their broadcasts update the others.
func TestLostHistoryIsReadOnlyByReaders(t *testing.T) {
	withFleet(t, 40, func(t *testing.T, f *testFleet) {
		f.store.put("gone", "1")
		time.Sleep(10 * time.Second)
		calls, broadcasts := f.store.count(), f.broadcasts.Load()
		f.store.change(func() {
			f.store.log = nil
			f.store.oldest = f.store.revision + 10
			f.store.revision += 20
			delete(f.store.rows, "gone")
			f.store.rows["b"] = Row{Key: "b", Value: []byte("2"), Revision: f.store.revision}
		})
		time.Sleep(3 * time.Second)
		for _, m := range f.members {
			assert.Equal(t, "2", m.value("b"), m.name)
			assert.Empty(t, m.value("gone"), m.name)
			assert.Positive(t, m.uncertainFor(), m.name)
		}
		assert.Less(t, f.store.count()-calls, 30, "calls in three seconds, of 40 instances")
		assert.Less(t, f.broadcasts.Load()-broadcasts, int64(20), "number of broadcasts")
	})
}

// TestLateInstanceDoesNotRebroadcastKnownChanges guards against broadcasts by instances that
// only catch up, as when instances start one after the other.
func TestLateInstanceDoesNotRebroadcastKnownChanges(t *testing.T) {
	withFleet(t, 20, func(t *testing.T, f *testFleet) {
		time.Sleep(10 * time.Second)
		f.store.put("a", "2")
		time.Sleep(time.Second)
		before := f.broadcasts.Load()
		for _, m := range f.members {
			if m.follower.TablesRead() == 0 {
				table := m.follower.tables["t"]
				table.mu.Lock()
				table.behind, table.position.Revision = true, 1
				table.mu.Unlock()
			}
		}
		time.Sleep(500 * time.Millisecond)
		assert.LessOrEqual(t, f.broadcasts.Load()-before, int64(targetReaders))
	})
}

func TestStaleScanDoesNotRevertRows(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *testFleet) {
		time.Sleep(3 * time.Second)
		f.store.put("a", "new")
		time.Sleep(time.Second)
		f.store.mu.Lock()
		f.store.stale = &Page{Position: Position{Revision: 1}, Rows: []Row{{Key: "a", Value: []byte("1"), Revision: 1}}}
		f.store.mu.Unlock()
		f.store.setDown("", true)
		time.Sleep(time.Second)
		f.store.put("c", "1")
		f.store.dropHistory()
		f.store.setDown("", false)
		time.Sleep(5 * time.Second)
		assert.Equal(t, "new", f.members[0].value("a"))
		f.store.mu.Lock()
		f.store.stale = nil
		f.store.mu.Unlock()
		time.Sleep(5 * time.Second)
		assert.Equal(t, "1", f.members[0].value("c"))
	})
}

func TestDelayedMessageDoesNotLookFresh(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleet(ctx, 1)
		time.Sleep(5 * time.Second)
		f.store.setDown("", true)
		sentAt := time.Since(f.store.started)
		time.Sleep(6 * time.Second)
		m := f.members[0]
		m.follower.tables["t"].merge("i", change{Table: "t", Base: Position{Revision: 1}, Position: Position{Revision: 1}, Now: int64(sentAt)})
		require.GreaterOrEqual(t, m.age(f.store), 6*time.Second)
		cancel()
		synctest.Wait()
	})
}
