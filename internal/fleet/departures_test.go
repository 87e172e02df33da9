package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
)

const uncertainFor = 2 * time.Second

func inEra(r Registration, era uint64) Registration {
	r.Era = era
	return r
}

func draining(r Registration) Registration {
	r.Draining = true
	return r
}

func (s *Set) takesWork(id string) bool {
	server, known := s.Snapshot().Server(id)
	return known && !server.Status().Draining
}

// TestRestoredRegistrationOfADepartedServer covers a store that was restored from a copy
// in which a server that had left is still registered.
func TestRestoredRegistrationOfADepartedServer(t *testing.T) {
	restarted := registration("a")
	restarted.Started = 2
	for name, c := range map[string]struct {
		// then happens one second after the restore.
		then func(s *Set)
		// now and later are whether the server takes work at once and after the hold.
		restored   Registration
		now, later bool
	}{
		"that stays":      {func(*Set) {}, inEra(registration("a"), 2), false, true},
		"that expires":    {func(s *Set) { s.Remove("a") }, inEra(registration("a"), 2), false, false},
		"that is missing": {func(s *Set) { s.MarkMissing("a", uncertainFor) }, inEra(registration("a"), 2), false, false},
		"that restarted":  {func(*Set) {}, inEra(restarted, 2), true, true},
		"that is renewed": {func(s *Set) { s.Put(inEra(registration("a"), 2)) }, inEra(registration("a"), 2), false, true},
		"in the same era": {func(*Set) {}, inEra(registration("a"), 1), true, true},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := NewSet("here", nil)
				s.Put(inEra(registration("a"), 1))
				s.Remove("a")
				s.PutUncertain(uncertainFor, c.restored)
				assert.Equal(t, c.now, s.takesWork("a"))
				time.Sleep(time.Second)
				c.then(s)
				time.Sleep(departedHold)
				assert.Equal(t, c.later, s.takesWork("a"))
			})
		})
	}
}

// TestDrainingServerStaysDrainingInALaterEra covers a copy that is older than the
// server's announcement.
func TestDrainingServerStaysDrainingInALaterEra(t *testing.T) {
	s := NewSet("here", nil)
	s.Put(inEra(draining(registration("a")), 1), inEra(registration("b"), 1))
	s.PutUncertain(uncertainFor, inEra(registration("a"), 2), inEra(registration("b"), 2))
	assert.False(t, s.takesWork("a"))
	assert.True(t, s.takesWork("b"))
	restarted := registration("a")
	restarted.Started = 2
	s.Put(inEra(restarted, 2))
	assert.True(t, s.takesWork("a"), "another process of the server")
}

func TestServerMissingFromACopyIsKeptUntilItRegisters(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := NewSet("here", nil)
		s.Put(inEra(registration("a"), 1), inEra(registration("b"), 1))
		s.MarkMissing("a", uncertainFor)
		s.MarkMissing("b", uncertainFor)
		time.Sleep(uncertainFor / 2)
		s.PutUncertain(uncertainFor/2, inEra(registration("a"), 2))
		time.Sleep(uncertainFor)
		assert.True(t, s.takesWork("a"))
		assert.False(t, s.takesWork("b"))
	})
}

// TestAnnouncedLeavingLastsForTheProcess covers announcements in answers and by peers,
// also of processes that are not registered yet, and stale registrations after them.
func TestAnnouncedLeavingLastsForTheProcess(t *testing.T) {
	s := NewSet("here", nil)
	s.Put(registration("a"), registration("b"))
	held, _ := s.Snapshot().Server("a")
	held.Begin(1)
	require.True(t, s.MarkLeaving("a", 1))
	assert.False(t, s.MarkLeaving("a", 1), "it is known")
	assert.True(t, held.Status().Draining, "requests that hold the server see it")
	assert.False(t, s.takesWork("a"))
	now, _ := s.Snapshot().Server("a")
	assert.EqualValues(t, 1, now.OwnLoad().Requests)
	stale := registration("a")
	stale.Slots = 9
	s.Put(stale)
	assert.False(t, s.takesWork("a"), "a stale registration does not undo it")
	restarted := registration("a")
	restarted.Started = 2
	s.Put(restarted)
	assert.True(t, s.takesWork("a"))

	require.True(t, s.MarkLeaving("c", 1), "a peer saw it first")
	s.Put(registration("c"))
	assert.False(t, s.takesWork("c"))
	require.True(t, s.MarkLeaving("b", 7), "an earlier process")
	assert.True(t, s.takesWork("b"))
}

// TestCancelledDelayedChangeHasNoEffect covers a timer that fires just before it is
// stopped: its function gets the lock only after the change was cancelled.
func TestCancelledDelayedChangeHasNoEffect(t *testing.T) {
	s := NewSet("here", nil)
	s.Put(inEra(registration("a"), 1))
	s.MarkMissing("a", time.Minute)
	removal := s.missing["a"]
	s.Put(inEra(registration("a"), 1))
	s.removeMissing("a", removal)
	assert.True(t, s.takesWork("a"), "the server has registered again")

	s.Remove("a")
	s.PutUncertain(uncertainFor, inEra(registration("a"), 2))
	held := s.held["a"]
	s.Remove("a")
	s.putHeld(inEra(registration("a"), 2), held)
	assert.False(t, s.takesWork("a"), "the server has deregistered")
}
