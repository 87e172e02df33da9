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
