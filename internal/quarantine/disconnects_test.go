package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/peers/membus"
)

// newTrackers returns the trackers of n connected instances.
func newTrackers(t *testing.T, n int) []*DisconnectTracker {
	network := membus.New()
	var list []*DisconnectTracker
	for i := range n {
		b := NewDisconnectTracker(network.Join(fmt.Sprint("i", i), "d"), nil)
		list = append(list, b)
		go b.Run(t.Context())
	}
	return list
}

func TestContentThatDisconnectsServersIsRefusedOnAllInstances(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newTrackers(t, 7)
		ran := 0
		for n := range 60 {
			at := fleet[n%len(fleet)]
			if at.RefusedFor(culprit) == 0 {
				started := time.Now()
				time.Sleep(20 * time.Millisecond)
				at.Disconnected(culprit, fmt.Sprint("s", ran), started, time.Now())
				ran++
			}
			time.Sleep(1500 * time.Millisecond)
		}
		// The 90 s of requests span the first refusal of 30 s, after which the
		// content runs once more.
		assert.Equal(t, disconnectLimit+1, ran)
		for _, b := range fleet {
			assert.Positive(t, b.RefusedFor(culprit))
			assert.Zero(t, b.RefusedFor(innocent))
		}
	})
}

func TestSimultaneousDisconnectsCountOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newTrackers(t, 1)[0]
		started := time.Now()
		time.Sleep(time.Second)
		for _, server := range servers {
			b.Disconnected(innocent, server, started, time.Now())
		}
		assert.Zero(t, b.RefusedFor(innocent), "the loss of a failure domain disconnects all requests in flight there")
	})
}

func TestCompleteAnswerClearsContentOnAllInstances(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newTrackers(t, 3)
		for i, b := range fleet {
			b.Disconnected(innocent, servers[i], time.Now(), time.Now())
			time.Sleep(2 * broadcastInterval)
		}
		assert.Positive(t, fleet[0].RefusedFor(innocent))
		fleet[1].Answered(innocent)
		time.Sleep(2 * broadcastInterval)
		for _, b := range fleet {
			assert.Zero(t, b.RefusedFor(innocent))
			assert.True(t, b.Empty())
		}
	})
}

func TestContentAnsweredBeforeBroadcastIsNotReported(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		fleet := newTrackers(t, 2)
		fleet[0].Disconnected(innocent, "s1", time.Now(), time.Now())
		time.Sleep(100 * time.Millisecond)
		fleet[0].Answered(innocent)
		time.Sleep(3 * broadcastInterval)
		assert.True(t, fleet[1].Empty())
	})
}

func TestRepeatedDisconnectsOfOneServerCountOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newTrackers(t, 1)[0]
		for range 10 {
			b.Disconnected(innocent, "s1", time.Now(), time.Now())
			time.Sleep(time.Second)
		}
		assert.Zero(t, b.RefusedFor(innocent))
	})
}
