package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers/membus"
)

// newTrackers returns the trackers of n connected instances.
func newTrackers(t *testing.T, n int) []*DisconnectTracker {
	network := membus.New()
	var list []*DisconnectTracker
	for i := range n {
		b := NewDisconnectTracker(DisconnectOptions{Bus: network.Join(fmt.Sprint("i", i), "d")})
		list = append(list, b)
		go b.Run(t.Context())
	}
	return list
}

func TestContentThatDisconnectsServersIsRefusedOnAllInstances(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		trackers := newTrackers(t, 7)
		ran := 0
		for n := range 60 {
			at := trackers[n%len(trackers)]
			if at.RefusedFor(culprit) == 0 {
				started := time.Now()
				time.Sleep(20 * time.Millisecond)
				at.Disconnected(culprit, fleet.Process{ID: fmt.Sprint("s", ran)}, started, time.Now())
				ran++
			}
			time.Sleep(1500 * time.Millisecond)
		}
		// The 90 s of requests span the first refusal of 30 s, after which the
		// content runs once more.
		assert.Equal(t, disconnectLimit+1, ran)
		for _, b := range trackers {
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
			b.Disconnected(innocent, fleet.Process{ID: server}, started, time.Now())
		}
		assert.Zero(t, b.RefusedFor(innocent), "the loss of a failure domain disconnects all requests in flight there")
	})
}

func TestCompleteAnswerClearsContentOnAllInstances(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		trackers := newTrackers(t, 3)
		for i, b := range trackers {
			b.Disconnected(innocent, fleet.Process{ID: servers[i]}, time.Now(), time.Now())
			time.Sleep(2 * broadcastInterval)
		}
		assert.Positive(t, trackers[0].RefusedFor(innocent))
		trackers[1].Answered(innocent)
		time.Sleep(2 * broadcastInterval)
		for _, b := range trackers {
			assert.Zero(t, b.RefusedFor(innocent))
			assert.True(t, b.Empty())
		}
	})
}

func TestContentAnsweredBeforeBroadcastIsNotReported(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		trackers := newTrackers(t, 2)
		trackers[0].Disconnected(innocent, fleet.Process{ID: "s1"}, time.Now(), time.Now())
		time.Sleep(100 * time.Millisecond)
		trackers[0].Answered(innocent)
		time.Sleep(3 * broadcastInterval)
		assert.True(t, trackers[1].Empty())
	})
}

func TestRepeatedDisconnectsOfOneServerCountOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newTrackers(t, 1)[0]
		for range 10 {
			b.Disconnected(innocent, fleet.Process{ID: "s1"}, time.Now(), time.Now())
			time.Sleep(time.Second)
		}
		assert.Zero(t, b.RefusedFor(innocent))
	})
}

// TestRestartedServersCountAgain guards against contents that are let through for ever once each
// id of a service has crashed, because servers start again under their ids (BUDGET).
func TestRestartedServersCountAgain(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		trackers := newTrackers(t, 3)
		ran := 0
		for n := range 40 {
			at := trackers[n%len(trackers)]
			if at.RefusedFor(culprit) == 0 {
				process := fleet.Process{ID: servers[ran%3], Started: int64(ran + 1)}
				at.Disconnected(culprit, process, time.Now(), time.Now())
				ran++
			}
			time.Sleep(3 * time.Second)
		}
		assert.LessOrEqual(t, ran, disconnectLimit+2, "in two minutes")
	})
}

// TestReportsOfEarlierBuildsCountByID guards against reports without the starts of processes that count a
// server twice, while instances of an earlier build run beside others.
func TestReportsOfEarlierBuildsCountByID(t *testing.T) {
	d := NewDisconnectTracker(DisconnectOptions{Bus: membus.New().Join("i0", "d")})
	d.Disconnected(culprit, fleet.Process{ID: "s1", Started: 7}, time.Now(), time.Now())
	d.mergeReport(contentReport{Fingerprint: culprit, Servers: []string{"s1", "s2"}})
	state, _ := d.contents.Peek(culprit)
	assert.Len(t, state.servers, 2)
}
