package upgrade

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
)

// TestSessionsStayWhenAnotherInstanceSetsTheCanaryShare guards against sessions that move to the
// new release at another instance, because theirs has dropped them from its messages by its own
// estimate of the canary's share, before the record with a larger one is stored.
func TestSessionsStayWhenAnotherInstanceSetsTheCanaryShare(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const sessions, epoch = 600, 1
		f := startFleet(t, 2)
		f.stop()
		busy, idle := f.controllers[0], f.controllers[1]
		for n := range sessions {
			require.Equal(t, oldRelease, busy.Choose(service, fmt.Sprint("s", n)))
			time.Sleep(5 * time.Millisecond)
		}
		f.upgrade()
		// Both find no record; that of the idle instance is stored.
		busy.sendEvidence(service, epoch)
		busy.loadRecord(service)
		idle.step(t.Context(), service, epoch)
		busy.saveRecord(t.Context(), service)
		for range 2 * canaryDelay / stepInterval {
			time.Sleep(stepInterval)
			busy.step(t.Context(), service, epoch)
			idle.step(t.Context(), service, epoch)
			synctest.Wait()
		}
		require.True(t, idle.isCanaryDue(idle.upgrades[service]))
		for n := range sessions {
			assert.Equal(t, oldRelease, idle.Choose(service, fmt.Sprint("s", n)))
		}
	})
}
