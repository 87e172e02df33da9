package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers/membus"
)

// TestCrashAfterALostAnswerCounts guards against deadly parts that are not refused because the servers
// had lost answers before, or went on once after a lost connection (BUDGET).
func TestCrashAfterALostAnswerCounts(t *testing.T) {
	for _, pause := range []time.Duration{0, 10 * time.Second, time.Minute} {
		t.Run(fmt.Sprint("after ", pause), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				network := membus.New()
				a, b := newTracker(network, "i0"), newTracker(network, "i1")
				go a.Run(t.Context())
				go b.Run(t.Context())
				for i := range newPartCrashes {
					loseAnswer(a, b, fleet.Process{ID: fmt.Sprint("s", i)}, []Part{first, subject})
				}
				time.Sleep(pause)
				deadly := []Part{first, subject, guilty}
				for i := range newPartCrashes {
					crashServer(b, fmt.Sprint("s", i), deadly, false)
				}
				for _, tracker := range []*Tracker{a, b} {
					_, refused, _ := tracker.Refused(deadly)
					assert.True(t, refused)
					_, refused, _ = tracker.Refused([]Part{first, subject})
					assert.False(t, refused)
				}
			})
		})
	}
}

// TestServerThatRestartsUnderItsIDIsAnotherProcess guards against deadly parts that are not refused because few
// servers, which start again under their ids, count once each (BUDGET, LOST).
func TestServerThatRestartsUnderItsIDIsAnotherProcess(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := membus.New()
		a, b := newTracker(network, "i0"), newTracker(network, "i1")
		go a.Run(t.Context())
		go b.Run(t.Context())
		deadly := []Part{first, subject, guilty}
		for i := range newPartCrashes {
			process := fleet.Process{ID: "s", Started: int64(i + 1)}
			attempt := a.Begin(process, deadly, func() {})
			time.Sleep(100 * time.Millisecond)
			attempt.Received()
			attempt.Disconnected(time.Now())
			time.Sleep(3 * time.Second)
		}
		for _, tracker := range []*Tracker{a, b} {
			_, refused, _ := tracker.Refused(deadly)
			assert.True(t, refused)
		}
	})
}

// TestEarlierBuildsReportProcessesByID guards against reports that get lost, or count twice, while instances of an
// earlier build, which know servers by their ids alone, run beside others.
func TestEarlierBuildsReportProcessesByID(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		e := newEvidence()
		at := time.Now()
		e.addCrash(fleet.Process{ID: "s", Started: 7}, at, []partSet{{1}})
		e.addCrash(fleet.Process{ID: "s"}, at.Add(300*time.Millisecond), []partSet{{2}})
		assert.Len(t, e.crashes, 1)
		assert.Len(t, e.crashes[0].requests, 2)

		time.Sleep(time.Second)
		tracker := newTracker(membus.New(), "i0")
		tracker.evidence = e
		tracker.mergeAliveIDs([]string{"s"})
		assert.True(t, e.crashes[0].isRefuted)
	})
}
