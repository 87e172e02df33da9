package storefeed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
)

// TestFewReadsAtAStartOfAllInstances covers a start of all instances together, as
// after a power loss: until they are connected to each other, each would read the store
// for itself.
func TestFewReadsAtAStartOfAllInstances(t *testing.T) {
	const instances = 200
	const linksUpAfter = 500 * time.Millisecond
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleet(ctx, instances)
		for _, m := range f.members {
			f.network.SetPartitioned(m.name, true)
		}
		time.Sleep(linksUpAfter / 2)
		f.store.put("a", "2")
		time.Sleep(linksUpAfter / 2)
		for _, m := range f.members {
			f.network.SetPartitioned(m.name, false)
		}
		time.Sleep(1400 * time.Millisecond)
		for _, m := range f.members {
			assert.Equal(t, "2", m.value("a"), m.name)
			assert.Less(t, m.age(f.store), 2*time.Second, m.name)
		}
		time.Sleep(8 * time.Second)
		// A complete read, and a feed that shows that it was not stale.
		assert.Less(t, f.store.count(), 2*instances+50)
		assert.LessOrEqual(t, len(f.readers()), targetReaders+1)
		cancel()
		synctest.Wait()
	})
}

// Guards against many instances that become readers at the same instant because they check
// in step after a common start.
func TestInstancesThatStartTogetherDoNotJoinTogether(t *testing.T) {
	withFleet(t, 200, func(t *testing.T, f *testFleet) {
		most := 0
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			most = max(most, len(f.readers()))
		}
		assert.Equal(t, "1", f.members[0].value("a"))
		assert.GreaterOrEqual(t, most, targetReaders)
		assert.LessOrEqual(t, most, targetReaders+1)
	})
}

// Guards against a read by every instance when readers that start together broadcast at the same
// time and the change of one overtakes that of another.
func TestChangesThatOvertakeEachOtherNeedNoRead(t *testing.T) {
	withFleet(t, 1, func(t *testing.T, f *testFleet) {
		time.Sleep(5 * time.Second)
		m := f.members[0]
		table := m.follower.tables["t"]
		at := func(revision uint64) Position { return Position{Revision: revision} }
		deliver := func(base, position uint64, rows ...Row) {
			table.merge("peer", change{Table: "t", Base: at(base), Position: at(position), Rows: rows, Now: int64(time.Since(f.store.started))})
		}
		isBehind := func() bool {
			table.mu.Lock()
			defer table.mu.Unlock()
			return table.behind
		}
		deliver(2, 2)
		time.Sleep(overtakenWait / 2)
		deliver(1, 2, Row{Key: "a", Value: []byte("2"), Revision: 2})
		time.Sleep(overtakenWait)
		assert.Equal(t, "2", m.value("a"))
		assert.False(t, isBehind(), "the overtaken change arrived")
		deliver(3, 3)
		assert.False(t, isBehind())
		f.store.setDown("", true)
		time.Sleep(2 * overtakenWait)
		assert.True(t, isBehind(), "the overtaken change was lost")
	})
}
