package leaving

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/peers/membus"
)

type countingBus struct {
	peers.Bus
	broadcasts *atomic.Int64
}

func (b countingBus) Broadcast(kind peers.Kind, body any) {
	b.broadcasts.Add(1)
	b.Bus.Broadcast(kind, body)
}

// TestAnnouncementReachesAllInstancesOnce covers a release: each server announces in all
// its answers to all instances that it is leaving.
func TestAnnouncementReachesAllInstancesOnce(t *testing.T) {
	network := membus.New()
	var broadcasts atomic.Int64
	var sets []*fleet.Set
	var notifiers []*Notifier
	for i := range 8 {
		set := fleet.NewSet("d", nil)
		for _, id := range []string{"a", "b"} {
			set.Put(fleet.Registration{ID: id, Started: 1, Service: "web", Slots: 4})
		}
		sets = append(sets, set)
		notifiers = append(notifiers, New(countingBus{network.Join(fmt.Sprint("i", i), "d"), &broadcasts}, set, nil))
	}
	for i, n := range notifiers {
		server, ok := sets[i].Snapshot().Server("a")
		require.True(t, ok)
		n.Announced(server)
		n.Announced(server)
	}
	assert.EqualValues(t, 1, broadcasts.Load())
	for _, set := range sets {
		a, _ := set.Snapshot().Server("a")
		b, _ := set.Snapshot().Server("b")
		assert.True(t, a.Status().Draining)
		assert.False(t, b.Status().Draining)
	}
	sets[0].Put(fleet.Registration{ID: "b", Started: 1, Service: "web", Slots: 4, Draining: true})
	b, _ := sets[0].Snapshot().Server("b")
	notifiers[0].Announced(b)
	assert.EqualValues(t, 1, broadcasts.Load(), "the registration tells the others")
}
