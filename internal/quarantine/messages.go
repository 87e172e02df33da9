package quarantine

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxRecordsPerMessage bounds a message to about 20 kB.
const maxRecordsPerMessage = 256

// suspectsMessage is the body of peers.KindSuspect. As a request with Pull set it
// asks for the most recent records.
type suspectsMessage struct {
	Pull    bool            `cbor:"1,keyasint,omitempty"`
	Records []recordMessage `cbor:"2,keyasint,omitempty"`
}

// recordMessage is the record of one content. Age is the time since the record was
// last touched; a duration avoids comparing clocks of different machines.
type recordMessage struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Crashes     []Crash       `cbor:"2,keyasint"`
	Cleared     []Crash       `cbor:"3,keyasint,omitempty"`
	Age         time.Duration `cbor:"4,keyasint"`
}

// slotAction is the operation that a slotMessage requests.
type slotAction uint8

const (
	// slotAcquire requests the slot; the arbiter may refuse it.
	slotAcquire slotAction = iota + 1
	// slotRegister registers an attempt that is already running.
	slotRegister
	// slotRelease releases the slot.
	slotRelease
)

// slotMessage is the body of peers.KindSuspectSlot. It carries the record, so that
// the next owner of the slot learns of a crash under the previous one.
type slotMessage struct {
	Action  slotAction     `cbor:"1,keyasint"`
	Key     string         `cbor:"2,keyasint"`
	Attempt string         `cbor:"3,keyasint"`
	Record  *recordMessage `cbor:"4,keyasint,omitempty"`
}

// slotReply is the reply to a slotMessage, with the arbiter's record of the
// content.
type slotReply struct {
	Granted bool           `cbor:"1,keyasint"`
	Record  *recordMessage `cbor:"2,keyasint,omitempty"`
}

// valid reports whether a received record is within its limits.
func (m recordMessage) valid() bool {
	return len(m.Crashes) <= maxCrashes && len(m.Cleared) <= maxCrashes && m.Age >= 0
}

// decodeSuspects decodes and validates a suspectsMessage from a peer.
func decodeSuspects(body []byte) (suspectsMessage, error) {
	var msg suspectsMessage
	if err := cbor.Unmarshal(body, &msg); err != nil {
		return msg, errors.Wrap(err, "decode suspects")
	}
	if len(msg.Records) > maxRecordsPerMessage {
		return msg, errors.Errorf("%d suspect records in one message", len(msg.Records))
	}
	for _, r := range msg.Records {
		if !r.valid() {
			return msg, errors.New("malformed suspect record")
		}
	}
	return msg, nil
}

// decodeSlot decodes and validates a slotMessage from a peer.
func decodeSlot(body []byte) (slotMessage, error) {
	var msg slotMessage
	if err := cbor.Unmarshal(body, &msg); err != nil {
		return msg, errors.Wrap(err, "decode slot message")
	}
	known := msg.Action >= slotAcquire && msg.Action <= slotRelease
	if !known || msg.Key == "" || msg.Attempt == "" || (msg.Record != nil && !msg.Record.valid()) {
		return msg, errors.New("malformed slot message")
	}
	return msg, nil
}
