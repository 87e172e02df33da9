package brittle

import (
	"time"

	"github.com/basilrail/basilrail/internal/fleet"
)

// serverKey identifies a process of a backend server.
type serverKey struct {
	id string
	// started distinguishes successive processes of a server with the same id.
	started int64
}

func keyOf(server *fleet.Server) serverKey {
	return serverKey{id: server.ID, started: server.Registration.Started}
}

// fullMessage is the body of peers.KindServerFull.
type fullMessage struct {
	Server  string `cbor:"1,keyasint"`
	Started int64  `cbor:"2,keyasint"`
}

// claimMessage is the body of peers.KindSlotClaim.
type claimMessage struct {
	Server  string `cbor:"1,keyasint"`
	Started int64  `cbor:"2,keyasint"`
}

// slotID identifies a slot among those of one process of an instance. Zero is none.
type slotID uint64

// heldSlot is a slot that an instance occupies, and for how long at most.
type heldSlot struct {
	_   struct{} `cbor:",toarray"`
	ID  slotID
	TTL int64 // milliseconds
}

// slotMessage is the body of peers.KindSlot: all slots of a server that the sender occupies, and the one
// that it asks for. Each message replaces the earlier ones, so that the next one makes up for a lost one.
type slotMessage struct {
	Server  string `cbor:"1,keyasint"`
	Started int64  `cbor:"2,keyasint"`
	// Process distinguishes successive processes of the sender, Sequence orders its messages
	// about the server.
	Process  uint64     `cbor:"3,keyasint"`
	Sequence uint64     `cbor:"4,keyasint"`
	Held     []heldSlot `cbor:"5,keyasint"`
	// Pending are the slots that the sender has asked for without having received a reply.
	Pending []slotID `cbor:"6,keyasint"`
	// Ask is the slot that the sender asks for, for at most TTL milliseconds; zero for none.
	Ask slotID `cbor:"7,keyasint"`
	TTL int64  `cbor:"8,keyasint"`
	// Rejected is set if the server has turned a request of the sender away since its last message.
	Rejected bool `cbor:"9,keyasint"`
}

func (m *slotMessage) key() serverKey { return serverKey{id: m.Server, started: m.Started} }

// slotReply is the reply to a slotMessage.
type slotReply struct {
	Granted bool `cbor:"1,keyasint"`
}

// ttlOf returns the time until a moment in milliseconds, minTTL at least.
func ttlOf(until, now time.Time) int64 {
	return int64(max(minTTL, until.Sub(now)) / time.Millisecond)
}

// untilOf returns the end of a time to live in milliseconds.
func untilOf(ttl int64, now time.Time) time.Time {
	return now.Add(min(max(minTTL, time.Duration(min(ttl, maxTTL.Milliseconds()))*time.Millisecond), maxTTL))
}
