package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers/membus"
)

// TestRestartedInstanceKnowsContentsThatDisconnectServers guards against contents that are passed on again by
// instances restarted in turn, until they have crashed as many servers once more (BUDGET).
func TestRestartedInstanceKnowsContentsThatDisconnectServers(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := membus.New()
		start := func(i int) (*DisconnectTracker, func()) {
			ctx, stop := context.WithCancel(t.Context())
			d := NewDisconnectTracker(DisconnectOptions{Bus: network.Join(fmt.Sprint("i", i), "d")})
			go d.Run(ctx)
			return d, stop
		}
		var trackers [3]*DisconnectTracker
		var stops [3]func()
		for i := range trackers {
			trackers[i], stops[i] = start(i)
		}
		time.Sleep(2 * catchUpTime)
		for i := range disconnectLimit {
			trackers[i].Disconnected(culprit, fleet.Process{ID: servers[i], Started: 1}, time.Now(), time.Now())
			time.Sleep(2 * broadcastInterval)
		}
		for i := range trackers {
			stops[i]()
			trackers[i], stops[i] = start(i)
			time.Sleep(3 * catchUpInterval)
			assert.Positive(t, trackers[i].RefusedFor(culprit), "instance %d", i)
		}
	})
}

// TestReportOfAnInstanceThatKnowsLessIsAnswered guards against instances that stay uninformed because
// their peers could not be reached when they started (BUDGET).
func TestReportOfAnInstanceThatKnowsLessIsAnswered(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := membus.New()
		join := func(id string) *DisconnectTracker {
			d := NewDisconnectTracker(DisconnectOptions{Bus: network.Join(id, "d")})
			go d.Run(t.Context())
			return d
		}
		informed, late := join("i0"), join("i1")
		network.SetPartitioned("i1", true)
		for i := range disconnectLimit {
			informed.Disconnected(culprit, fleet.Process{ID: servers[i]}, time.Now(), time.Now())
			time.Sleep(time.Second)
		}
		time.Sleep(2 * catchUpTime)
		network.SetPartitioned("i1", false)
		assert.Zero(t, late.RefusedFor(culprit))
		late.Disconnected(culprit, fleet.Process{ID: servers[disconnectLimit]}, time.Now(), time.Now())
		time.Sleep(3 * broadcastInterval)
		assert.Positive(t, late.RefusedFor(culprit))
	})
}
