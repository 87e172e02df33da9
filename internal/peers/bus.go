// Package peers carries messages between entry instances: WebSocket frames
// with CBOR bodies, over a bounded number of connections per instance.
package peers

import (
	"context"

	"github.com/pkg/errors"
)

// ErrNotConnected is returned by a Request whose peer could not be reached:
// nothing was sent.
var ErrNotConnected = errors.New("peer not connected")

// Kind tells what a message carries. A kind never changes its meaning; a new
// shape gets a new kind.
type Kind uint16

// The kinds of message.
const (
	// KindHeartbeat carries liveness and freshness of settings.
	KindHeartbeat Kind = iota + 1
	// KindSettingsHint tells of a new settings revision.
	KindSettingsHint
	// KindSettingsFetch asks for the documents changed since a revision.
	KindSettingsFetch
	// KindBill hands over bill records that are not yet in the store.
	KindBill
	// KindBillFlushed tells that records are in the store.
	KindBillFlushed
	// KindEvidence carries rated answers by version.
	KindEvidence
	// KindSuspension suspends a version while the store is down.
	KindSuspension
	// KindSuspect tells of content that may have crashed a backend server.
	KindSuspect
	// KindDemand carries an entry's demand on backend servers.
	KindDemand
	// KindServerState tells of a backend server seen leaving or failed.
	KindServerState
	// KindExplain asks for one request's record.
	KindExplain
	// KindSuspectSlot asks for, holds or gives back a server's slot for suspect content.
	KindSuspectSlot
	// KindRatings carries rated answers by client account, task and version.
	KindRatings
	// KindSettingsIntent announces a settings commit before it is sent.
	KindSettingsIntent
)

// KindUpgradeEvidence carries an instance's counts of answers by release, and
// which release it found bad.
const KindUpgradeEvidence Kind = 25

// KindTableChange tells what a reader of the store saw of a table.
const KindTableChange Kind = 26

// KindLoad tells the instances of the own failure domain what this one has in
// flight at each backend server.
const KindLoad Kind = 27

// KindServerSilent tells the instances of the own failure domain of a backend
// server that can't be reached or fell silent.
const KindServerSilent Kind = 28

// KindContentBroke tells of contents that broke the servers which ran them.
const KindContentBroke Kind = 29

// KindCommit asks a peer to commit a transaction to the table service.
const KindCommit Kind = 24

// Message is one received message.
type Message struct {
	Kind Kind
	// From is the id of the instance that first sent the message.
	From string
	// Body is the CBOR encoding of the kind's type.
	Body []byte
}

// Handler takes a message; its reply is encoded and returned to a Request and
// dropped for a Broadcast. It must not block for long.
type Handler func(ctx context.Context, msg Message) (reply any, err error)

// Peer is one other entry instance.
type Peer struct {
	ID            string
	FailureDomain string
	Address       string
	// Connected tells whether a connection stands now.
	Connected bool
}

// Bus is what the other packages need of the peers. Implementations never
// block a caller for a slow peer: queues are bounded and what does not fit is
// dropped and counted.
type Bus interface {
	// Self is this instance's id.
	Self() string
	// Handle registers the handler of a kind, before the bus is started.
	Handle(kind Kind, h Handler)
	// Broadcast sends at best effort to every instance, directly or relayed. In
	// a fleet too large to be fully connected, only KindSettingsHint,
	// KindSuspension, KindSuspect, KindServerState, KindTableChange,
	// KindUpgradeEvidence and KindContentBroke go beyond the neighbours.
	Broadcast(kind Kind, body any)
	// Request sends to one peer and decodes its reply into reply, unless nil.
	Request(ctx context.Context, peer string, kind Kind, body, reply any) error
	// Peers lists the listed instances, this one left out.
	Peers() []Peer
}
