// Package peers defines the messages between entry instances and the bus that carries
// them. The bus sends WebSocket frames with CBOR bodies over a bounded number of
// connections per instance.
package peers

import (
	"context"

	"github.com/pkg/errors"
)

// ErrNotConnected is returned by Request if the peer could not be reached and nothing
// was sent.
var ErrNotConnected = errors.New("peer not connected")

// Kind identifies the type of a message. The meaning of a kind never changes; a new
// message format gets a new kind.
type Kind uint16

// The message kinds.
const (
	// KindHeartbeat reports liveness and the freshness of the sender's settings. Only the
	// capacity measurement sends it; instances don't.
	KindHeartbeat Kind = iota + 1
	// KindSettingsHint announces a new settings revision.
	KindSettingsHint
	// KindSettingsFetch requests the documents changed since a revision.
	KindSettingsFetch
	// KindBill transfers bill records that are not yet in the store.
	KindBill
	// KindBillFlushed reports that bill records are in the store.
	KindBillFlushed
	// KindEvidence carries the sender's counts of rated answers by version.
	KindEvidence
	// KindSuspension suspends a version before the change of the settings is stored.
	KindSuspension
	// KindSuspect reports content that may have crashed a backend server.
	KindSuspect
	// KindDemand carries the sender's demand on backend servers.
	KindDemand
	// KindServerState reports a backend server that was observed draining or down.
	KindServerState
	// KindExplain requests the record of one request.
	KindExplain
	// KindSuspectSlot requests, renews or releases the slot of a server or of a suspect
	// content.
	KindSuspectSlot
	// KindRatings carries rated answers by client account, task and version.
	KindRatings
	// KindSettingsIntent announces a settings commit before it is sent.
	KindSettingsIntent
)

// KindUpgradeEvidence carries the sender's counts of answers by release, whether it has
// marked the new release as bad, and its session pins. Kind 25 was the same without eras of
// the store, kind 30 with good and bad answers only.
const KindUpgradeEvidence Kind = 33

// KindTableChange carries the changes of a table that a reader of the store observed.
// Kind 26 was the same without eras of the store.
const KindTableChange Kind = 31

// KindLoad reports the sender's load in flight at each backend server to the instances
// of its failure domain.
const KindLoad Kind = 27

// KindServerUnresponsive reports an unreachable or unresponsive backend server to the
// instances of the sender's failure domain.
const KindServerUnresponsive Kind = 28

// KindCrashingContent reports contents whose servers disconnected while running them,
// and those that were answered after such a report.
const KindCrashingContent Kind = 29

// KindServerLeaving reports a backend server that announced in an answer that it is
// leaving.
const KindServerLeaving Kind = 32

// KindRequestLimit reports the limit of requests that a backend server named in an answer,
// or that it names none any more.
const KindRequestLimit Kind = 34

// KindPromptCrash reports parts of prompts that had just been sent to servers when these
// crashed, those that servers answered, and those that are refused.
const KindPromptCrash Kind = 35

// KindServerPath reports to the instances of the sender's failure domain the services whose
// servers the sender can't connect to.
const KindServerPath Kind = 36

// KindServerBrittle reports that a backend server announced in an answer that it falls over if
// it has to turn many requests away, or that it doesn't any more.
const KindServerBrittle Kind = 37

// KindServerFull reports a brittle backend server that turned a request away for lack of room.
const KindServerFull Kind = 38

// KindSlot reports the slots of a brittle backend server that the sender occupies to the server's
// arbiter, and asks for another one. KindSlotClaim reports that the sender is the arbiter of a server.
const (
	KindSlot      Kind = 39
	KindSlotClaim Kind = 40
)

// KindServerSpeed carries the sender's samples of the speeds of backend servers.
const KindServerSpeed Kind = 41

// KindDomainSummary carries the load that the instances of the sender's failure domain put on the backend servers of each
// failure domain.
const KindDomainSummary Kind = 42

// KindAdmission carries the sender's demand on a service that may be short of capacity, and what was served.
const KindAdmission Kind = 43

// KindCommit requests that a peer commit a transaction to the table service.
const KindCommit Kind = 24

// IsInsideDomain reports whether broadcasts of a kind stay in the sender's failure domain.
func IsInsideDomain(kind Kind) bool {
	switch kind {
	case KindLoad, KindServerUnresponsive, KindServerPath, KindServerSpeed, KindAdmission:
		return true
	}
	return false
}

// Message is one received message.
type Message struct {
	Kind Kind
	// From is the id of the instance that first sent the message.
	From string
	// Body is the CBOR encoding of the kind's type.
	Body []byte
}

// Handler handles a received message. The reply is encoded and returned to a Request;
// for a Broadcast it is discarded. A handler must not block for long.
type Handler func(ctx context.Context, msg Message) (reply any, err error)

// Peer is another instance.
type Peer struct {
	ID            string
	FailureDomain string
	Address       string
	// Connected reports whether there is currently a connection.
	Connected bool
}

// Bus sends messages to the peers. Implementations never block a caller because of a
// slow peer: queues are bounded, and messages that do not fit are dropped and counted.
type Bus interface {
	// Self is this instance's id.
	Self() string
	// Handle registers the handler of a kind. It must be called before the bus is
	// started.
	Handle(kind Kind, h Handler)
	// Broadcast sends a message to every instance at best effort, directly or
	// relayed. In a fleet too large to be fully connected, only KindSettingsHint,
	// KindSuspension, KindSuspect, KindServerState, KindTableChange,
	// KindUpgradeEvidence, KindCrashingContent, KindServerLeaving, KindRequestLimit,
	// KindPromptCrash, KindServerBrittle, KindServerFull, KindSlotClaim and KindDomainSummary go
	// beyond the neighbours.
	Broadcast(kind Kind, body any)
	// Request sends a message to one peer and decodes the answer into reply, unless
	// reply is nil.
	Request(ctx context.Context, peer string, kind Kind, body, reply any) error
	// Peers returns the listed instances except this one.
	Peers() []Peer
}
