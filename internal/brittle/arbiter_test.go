package brittle

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
)

const testSlots = 3

// arbiterSetup is an arbiter of one server in a fleet of two instances.
type arbiterSetup struct {
	*arbiter
	server *fleet.Server
	list   *members
	claims int
	next   slotID
}

func newArbiterSetup() *arbiterSetup {
	set := fleet.NewSet("", nil)
	set.Put(fleet.Registration{ID: "s", Service: "models", Address: "s:1", Slots: testSlots})
	server, _ := set.Snapshot().Server("s")
	s := &arbiterSetup{server: server}
	s.arbiter = newArbiter(func(serverKey) { s.claims++ })
	s.setOthers(true)
	return s
}

// setOthers makes this instance the arbiter in a fleet with two others.
func (s *arbiterSetup) setOthers(linked bool) {
	others := []peers.Peer{{ID: "b", Connected: linked}, {ID: "c", Connected: linked}}
	for _, self := range []string{"a", "d", "e", "f", "g", "h", "i", "j"} {
		s.list = newMembers(s.list, self, "", others, time.Now())
		if s.list.arbiterOf("s", "") == self {
			return
		}
	}
}

// ask asks for a slot for an instance that occupies others.
func (s *arbiterSetup) ask(from string, sequence uint64, held ...slotID) (id slotID, granted bool) {
	s.next++
	m := &slotMessage{Server: "s", Process: 1, Sequence: sequence, Ask: s.next, Pending: []slotID{s.next}, TTL: 60_000}
	for _, h := range held {
		m.Held = append(m.Held, heldSlot{ID: h, TTL: 60_000})
	}
	return s.next, s.handle(from, m, s.server, s.list)
}

// settled makes the first ask and waits until the arbiter grants slots.
func (s *arbiterSetup) settled() {
	s.ask("b", 1)
	time.Sleep(lingerTime)
	synctest.Wait()
}

// Guards against a new arbiter that grants slots which instances occupy that have not reported yet
// (LIMIT).
func TestNewArbiterWaitsForReports(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newArbiterSetup()
		_, granted := s.ask("b", 1)
		assert.False(t, granted)
		synctest.Wait()
		assert.Equal(t, 1, s.claims)
		report := &slotMessage{Server: "s", Process: 1, Sequence: 1, Held: []heldSlot{{ID: 1, TTL: 60_000}, {ID: 2, TTL: 60_000}}}
		assert.False(t, s.handle("c", report, s.server, s.list))
		time.Sleep(lingerTime)
		_, granted = s.ask("b", 2)
		assert.True(t, granted)
		_, granted = s.ask("c", 2, 1, 2)
		assert.False(t, granted, "three slots are occupied")
	})
}

// Guards against slots that are lost, or granted twice, because messages are lost or overtake each
// other.
func TestLateAndLostMessagesDoNotChangeTheSlots(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newArbiterSetup()
		s.settled()
		first, granted := s.ask("b", 5)
		assert.True(t, granted)
		_, granted = s.ask("b", 7, first)
		assert.True(t, granted)
		_, granted = s.ask("b", 6, first)
		assert.False(t, granted, "a later message did not list it as pending")
		third, granted := s.ask("b", 8, first)
		assert.True(t, granted, "the report that the second one is free was lost")
		_, granted = s.ask("c", 1)
		assert.True(t, granted)
		_, granted = s.ask("c", 2)
		assert.True(t, granted, "its first slot is free again")
		_, granted = s.ask("b", 9, first, third)
		assert.False(t, granted)
	})
}

// Guards against slots of a killed process that are granted while the server still runs its requests.
func TestSlotsOfAFormerProcessStayOccupiedForAWhile(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newArbiterSetup()
		s.settled()
		var held []slotID
		for sequence := range uint64(testSlots) {
			id, granted := s.ask("b", 2+sequence, held...)
			assert.True(t, granted)
			held = append(held, id)
		}
		restarted := &slotMessage{Server: "s", Process: 2, Sequence: 1, Ask: 99, Pending: []slotID{99}, TTL: 1000}
		assert.False(t, s.handle("b", restarted, s.server, s.list))
		time.Sleep(lingerTime)
		restarted.Sequence++
		assert.True(t, s.handle("b", restarted, s.server, s.list))
		late := &slotMessage{Server: "s", Process: 1, Sequence: 9, Held: []heldSlot{{ID: 1, TTL: 60_000}, {ID: 2, TTL: 60_000}}}
		s.handle("b", late, s.server, s.list)
		_, granted := s.ask("c", 1)
		assert.True(t, granted, "a late message of the former process does not count")
	})
}

// Guards against two arbiters that grant the same slots: one that is cut off, and one that another
// instance replaced.
func TestArbiterWithoutQuorumOrAfterAClaimGrantsNothing(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newArbiterSetup()
		s.settled()
		_, granted := s.ask("b", 2)
		assert.True(t, granted)
		s.yield(serverKey{id: "s"})
		_, granted = s.ask("b", 3)
		assert.False(t, granted)
		time.Sleep(yieldTime)
		s.settled()
		_, granted = s.ask("b", 4)
		assert.True(t, granted)
		s.setOthers(false)
		_, granted = s.ask("b", 5)
		assert.False(t, granted)
	})
}

// Guards against a full server that gets its requests back all at once.
func TestServerThatTurnedARequestAwayGetsItsRequestsBackOneByOne(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := newArbiterSetup()
		s.settled()
		first, granted := s.ask("b", 2)
		assert.True(t, granted)
		rejected := &slotMessage{Server: "s", Process: 1, Sequence: 3, Held: []heldSlot{{ID: first, TTL: 60_000}}, Rejected: true}
		s.handle("b", rejected, s.server, s.list)
		_, granted = s.ask("c", 1)
		assert.False(t, granted)
		time.Sleep(fullFor)
		_, granted = s.ask("c", 2)
		assert.False(t, granted, "it was full with one")
		time.Sleep(capacityStepTime)
		id, granted := s.ask("c", 3)
		assert.True(t, granted)
		_, granted = s.ask("c", 4, id)
		assert.False(t, granted)
	})
}
