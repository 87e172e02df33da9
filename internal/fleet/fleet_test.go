package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
)

func registration(id string) Registration {
	return Registration{ID: id, Started: 1, Service: "web", Address: id + ":1", FailureDomain: "here", Release: "v1", Slots: 4}
}

func TestRestartUnderSameIDResetsServer(t *testing.T) {
	s := NewSet("here", nil)
	s.Put(registration("a"))
	old, _ := s.Snapshot().Server("a")
	old.Begin(10)
	for range ejectAfter {
		old.RecordFailure(time.Now())
	}
	s.Put(registration("a"))
	same, _ := s.Snapshot().Server("a")
	assert.False(t, same.Available(time.Now()), "an unchanged registration changes nothing")

	restarted := registration("a")
	restarted.Started = 2
	s.Put(restarted)
	fresh, _ := s.Snapshot().Server("a")
	assert.True(t, fresh.Available(time.Now()))
	assert.Zero(t, fresh.OwnLoad().Requests)
}

func TestDrainingServerKeepsCountersAndGetsNoWork(t *testing.T) {
	s := NewSet("here", nil)
	s.Put(registration("a"), registration("b"))
	before, _ := s.Snapshot().Server("a")
	before.Begin(1)
	draining := registration("a")
	draining.Draining = true
	s.Put(draining)
	after, _ := s.Snapshot().Server("a")
	assert.EqualValues(t, 1, after.OwnLoad().Requests)
	assert.True(t, after.Status().Draining)
	assert.Equal(t, []string{"v1"}, s.Snapshot().Releases("web"))
}

func TestRequestHoldingServerSeesItsRemoval(t *testing.T) {
	s := NewSet("here", nil)
	s.Put(registration("a"))
	held, _ := s.Snapshot().Server("a")
	s.Remove("a")
	assert.True(t, held.Status().Draining)
	assert.Empty(t, s.Snapshot().Candidates("web", "v1"))
}

func TestMissingServerIsRemovedAfterGracePeriod(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := NewSet("here", nil)
		s.Put(registration("lost"), registration("back"))
		s.MarkMissing("lost", 2*time.Second)
		s.MarkMissing("back", 2*time.Second)
		time.Sleep(time.Second)
		require.Len(t, s.Snapshot().Candidates("web", ""), 2)
		s.Put(registration("back"))
		time.Sleep(2 * time.Second)
		_, known := s.Snapshot().Server("lost")
		assert.False(t, known)
		_, known = s.Snapshot().Server("back")
		assert.True(t, known)
	})
}

func TestSameDomainReturnsOwnFailureDomain(t *testing.T) {
	s := NewSet("here", nil)
	far := registration("far")
	far.FailureDomain = "there"
	s.Put(registration("near"), far)
	near := s.Snapshot().SameDomain("web", "")
	require.Len(t, near, 1)
	assert.Equal(t, "near", near[0].ID)
	assert.Len(t, s.Snapshot().Candidates("web", "v1"), 2)
}

func TestEjectionGrowsAndEnds(t *testing.T) {
	s := NewSet("here", nil)
	s.Put(registration("a"))
	server, _ := s.Snapshot().Server("a")
	now := time.Now()
	assert.False(t, server.RecordFailure(now))
	assert.False(t, server.RecordFailure(now))
	assert.True(t, server.RecordFailure(now))
	assert.False(t, server.Available(now.Add(initialEjectDuration-time.Millisecond)))
	now = now.Add(initialEjectDuration)
	assert.True(t, server.Available(now))
	assert.True(t, server.RecordFailure(now))
	assert.False(t, server.Available(now.Add(initialEjectDuration)), "the second ejection is longer")
	server.RecordSuccess()
	assert.True(t, server.Available(now))
}

func TestUnresponsiveServerIsEjectedUnlessItSentRecently(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := NewSet("here", nil)
		s.Put(registration("a"))
		server, _ := s.Snapshot().Server("a")
		server.RecordReceived()
		time.Sleep(responsiveWindow / 2)
		assert.False(t, server.RecordReportedUnresponsive(time.Now()), "bytes arrived recently")
		assert.True(t, server.Available(time.Now()))
		time.Sleep(responsiveWindow)
		began := time.Now()
		time.Sleep(time.Millisecond)
		assert.True(t, server.RecordReportedUnresponsive(time.Now()))
		assert.False(t, server.Available(time.Now()))
		assert.True(t, server.ReportedUnresponsiveSince(began))
		time.Sleep(unresponsiveEjectDuration)
		assert.True(t, server.Available(time.Now()))
		server.RecordReceived()
		assert.False(t, server.ReportedUnresponsiveSince(began))
	})
}

func TestUtilizationCountsSlotsAndPrefill(t *testing.T) {
	s := NewSet("here", nil)
	s.Put(registration("a"), registration("b"))
	assert.Zero(t, s.Snapshot().Utilization("web", "v1"))
	a, _ := s.Snapshot().Server("a")
	for range 4 {
		a.Begin(1)
	}
	assert.InDelta(t, 0.5, s.Snapshot().Utilization("web", "v1"), 0.01, "half of the slots")
	a.AddPrefill(2 * prefillAtFull)
	assert.InDelta(t, 1, s.Snapshot().Utilization("web", "v1"), 0.01, "prompts wait although slots are free")
	assert.Zero(t, s.Snapshot().Utilization("other", ""))
}

// A server that fails immediately has the least load; unless it becomes suspect it
// attracts every request.
func TestServerThatFailsImmediatelyIsSuspect(t *testing.T) {
	s := NewSet("here", nil)
	s.Put(registration("a"))
	server, _ := s.Snapshot().Server("a")
	now := time.Now()
	assert.False(t, server.IsDegraded(now))
	server.RecordFailure(now)
	assert.True(t, server.IsDegraded(now.Add(recentFailureWindow/2)))
	assert.True(t, server.Available(now), "it is still used if there is no other server")
	assert.False(t, server.IsDegraded(now.Add(recentFailureWindow)))
}
