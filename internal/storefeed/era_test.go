package storefeed

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/peers/membus"
)

// requireStoreContent checks that every member has exactly the store's rows.
func (f *testFleet) requireStoreContent(t *testing.T) {
	t.Helper()
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	want := make(map[string]string)
	for key, row := range f.store.rows {
		want[key] = string(row.Value)
	}
	for _, m := range f.members {
		m.mu.Lock()
		require.Equal(t, want, m.values, m.name)
		m.mu.Unlock()
	}
}

// TestRestoredStoreIsReadAgain covers a store that gives its revisions out again for
// other content. A feed that went on from an old position would miss changes.
func TestRestoredStoreIsReadAgain(t *testing.T) {
	withFleet(t, 40, func(t *testing.T, f *testFleet) {
		f.store.put("kept", "1")
		time.Sleep(10 * time.Second)
		copied := f.store.copy()
		f.store.put("a", "lost")
		f.store.put("lost", "1")
		f.store.remove("kept")
		time.Sleep(2 * time.Second)
		f.requireStoreContent(t)
		calls := f.store.count()
		f.store.setDown("", true)
		time.Sleep(500 * time.Millisecond)
		f.store.restore(copied)
		// The revisions of the lost changes, with other content, and one more.
		f.store.put("a", "new")
		f.store.put("b", "new")
		f.store.put("c", "new")
		f.store.put("d", "new")
		f.store.setDown("", false)
		time.Sleep(2 * time.Second)
		f.requireStoreContent(t)
		f.store.put("a", "later")
		time.Sleep(time.Second)
		f.requireStoreContent(t)
		assert.Less(t, f.store.count()-calls, 200, "calls of 40 instances, one of each to read the store's clock")
		synctest.Wait()
		for _, m := range f.members {
			position := m.follower.tables["t"].position
			assert.Equal(t, uint64(1), position.Era, m.name)
			assert.Less(t, m.age(f.store), 2*time.Second, m.name)
		}
	})
}

// TestRowWithTheSameRevisionInANewEra covers a row that a restored store gives the
// revision that it had before, with other content.
func TestRowWithTheSameRevisionInANewEra(t *testing.T) {
	withFleet(t, 5, func(t *testing.T, f *testFleet) {
		time.Sleep(5 * time.Second)
		copied := f.store.copy()
		f.store.put("a", "first")
		time.Sleep(time.Second)
		f.store.restore(copied)
		f.store.put("a", "second")
		time.Sleep(2 * time.Second)
		f.requireStoreContent(t)
	})
}

func TestTwoRestoresInSuccession(t *testing.T) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			withFleet(t, 12, func(t *testing.T, f *testFleet) {
				time.Sleep(5 * time.Second)
				copied := f.store.copy()
				for i := range 4 {
					f.store.put(fmt.Sprint("lost", i), "1")
				}
				time.Sleep(time.Second)
				for i := range 2 {
					f.store.restore(copied)
					f.store.put("a", fmt.Sprint("restore", i))
					time.Sleep(pause)
				}
				time.Sleep(3 * time.Second)
				f.requireStoreContent(t)
			})
		})
	}
}

// TestInstanceCutFromTheStoreFollowsANewEra covers an instance that learns of a
// restore only from its peers.
func TestInstanceCutFromTheStoreFollowsANewEra(t *testing.T) {
	withFleet(t, 12, func(t *testing.T, f *testFleet) {
		time.Sleep(5 * time.Second)
		cut := f.members[3]
		f.store.setDown(cut.name, true)
		copied := f.store.copy()
		f.store.put("a", "lost")
		time.Sleep(time.Second)
		require.Equal(t, "lost", cut.value("a"))
		f.store.restore(copied)
		f.store.put("b", "new")
		time.Sleep(2 * time.Second)
		assert.Equal(t, "1", cut.value("a"))
		assert.Equal(t, "new", cut.value("b"))
		f.store.put("a", "2")
		time.Sleep(time.Second)
		assert.Equal(t, "2", cut.value("a"))
		assert.Less(t, cut.age(f.store), 2500*time.Millisecond)
	})
}

// TestMessagesOfAnEarlierEraAreDropped covers an instance that was frozen over a restore
// and sends what it knew before.
func TestMessagesOfAnEarlierEraAreDropped(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *testFleet) {
		time.Sleep(5 * time.Second)
		copied := f.store.copy()
		f.store.put("a", "lost")
		time.Sleep(time.Second)
		synctest.Wait()
		lost := f.members[0].follower.tables["t"].position
		f.store.restore(copied)
		time.Sleep(2 * time.Second)
		m := f.members[1]
		m.follower.tables["t"].merge("frozen", change{
			Table: "t", Base: lost, Position: Position{Revision: lost.Revision + 5}, Reads: true, Now: int64(time.Hour),
			Rows: []Row{{Key: "a", Value: []byte("frozen"), Revision: lost.Revision + 5}},
		})
		synctest.Wait()
		assert.Equal(t, "1", m.value("a"))
		assert.Less(t, m.confirmed, time.Minute, "the message confirms nothing")
		assert.NotContains(t, m.follower.tables["t"].readers.lastSeen, "frozen")
	})
}

// TestDifferenceFromAnotherBaseIsNotApplied covers a row that one instance has and the
// sender of a difference never had, or has seen removed before.
func TestDifferenceFromAnotherBaseIsNotApplied(t *testing.T) {
	for name, m := range map[string]change{
		"into a later era": {Base: Position{Era: 0, Revision: 9}, Position: Position{Era: 1, Revision: 20}},
		"over a gap":       {Base: Position{Era: 1, Revision: 5}, Position: Position{Era: 1, Revision: 20}, Gap: true},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := New(Options{Bus: membus.New().Join("i", "d")})
				m1 := &member{values: make(map[string]string), changedAt: make(map[string]time.Time)}
				f.Add(Table{Name: "t", Apply: m1.apply})
				table := f.tables["t"]
				require.NoError(t, table.load(&Page{Position: Position{Era: 1, Revision: 13}, Rows: []Row{{Key: "gone", Value: []byte("1"), Revision: 12, Era: 1}}}))
				m.Table = "t"
				table.merge("peer", m)
				assert.True(t, table.behind, "the instance reads the changes that the difference does not have")
				assert.Equal(t, Position{Era: 1, Revision: 13}, table.position)
			})
		})
	}
}

// TestRestoredTableIsConfirmedOnceItIsSettled: what the operator wrote last may still be
// missing from a restored store.
func TestRestoredTableIsConfirmedOnceItIsSettled(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleet(ctx, 4)
		var recorded atomic.Uint64
		for _, m := range f.members {
			m.follower.EraRecorded = func(era uint64) bool { return recorded.Load() >= era }
		}
		time.Sleep(5 * time.Second)
		f.store.restore(f.store.copy())
		time.Sleep(time.Second)
		for _, m := range f.members {
			assert.Greater(t, m.age(f.store), 900*time.Millisecond, m.name)
			assert.Positive(t, m.uncertainFor())
			era, age := m.follower.Era()
			assert.Equal(t, uint64(1), era)
			assert.Less(t, age, 2*time.Second)
		}
		recorded.Store(1)
		time.Sleep(1500 * time.Millisecond)
		for _, m := range f.members {
			assert.Less(t, m.age(f.store), 1500*time.Millisecond, "the era was recorded")
		}
		f.store.restore(f.store.copy())
		time.Sleep(recoveryWindow + 2*time.Second)
		for _, m := range f.members {
			assert.Less(t, m.age(f.store), 2*time.Second, "the time to write again has passed")
		}
		late := &member{name: "late", values: make(map[string]string), changedAt: make(map[string]time.Time)}
		late.follower = New(Options{
			Bus: f.network.Join(late.name, "d"), Source: storeClient{f.store, late.name},
			EraRecorded: func(era uint64) bool { return recorded.Load() >= era },
		})
		late.follower.Add(Table{Name: "t", Wait: time.Second, StaleAfter: 1300 * time.Millisecond, Apply: late.apply, Confirmed: late.confirm})
		go late.follower.Run(ctx)
		time.Sleep(time.Second)
		assert.Zero(t, late.confirmedAt(), "a new instance can't know what the restore lost")
		assert.Positive(t, late.uncertainFor())
		time.Sleep(recoveryWindow + time.Second)
		assert.Positive(t, late.confirmedAt())
		cancel()
		synctest.Wait()
	})
}
