package quarantine

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxRecordsPerMessage bounds a message to about 20 kB.
const maxRecordsPerMessage = 256

// suspectsMessage is the body of peers.KindSuspect. As a request with Pull set
// it asks for the newest records.
type suspectsMessage struct {
	Pull    bool            `cbor:"1,keyasint,omitempty"`
	Records []recordMessage `cbor:"2,keyasint,omitempty"`
}

// recordMessage is one content's record. Age is the time since it was last
// touched, so that no two clocks are compared.
type recordMessage struct {
	Fingerprint Fingerprint   `cbor:"1,keyasint"`
	Crashes     []Crash       `cbor:"2,keyasint"`
	Cleared     []Crash       `cbor:"3,keyasint,omitempty"`
	Age         time.Duration `cbor:"4,keyasint"`
}

// slotAction is what a slotMessage asks for.
type slotAction uint8

const (
	// slotTake asks for the slot, which may be refused.
	slotTake slotAction = iota + 1
	// slotHold tells that the attempt runs already.
	slotHold
	// slotRelease gives the slot back.
	slotRelease
)

// slotMessage is the body of peers.KindSuspectSlot. The record travels with it,
// so that whoever takes the slot next knows of a crash under its last owner.
type slotMessage struct {
	Action  slotAction     `cbor:"1,keyasint"`
	Key     string         `cbor:"2,keyasint"`
	Attempt string         `cbor:"3,keyasint"`
	Record  *recordMessage `cbor:"4,keyasint,omitempty"`
}

// slotReply answers a slotMessage with what the arbiter knows of the content.
type slotReply struct {
	Granted bool           `cbor:"1,keyasint"`
	Record  *recordMessage `cbor:"2,keyasint,omitempty"`
}

// valid bounds a record from outside.
func (m recordMessage) valid() bool {
	return len(m.Crashes) <= maxCrashes && len(m.Cleared) <= maxCrashes && m.Age >= 0
}

// decodeSuspects reads and bounds a suspectsMessage from outside.
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

// decodeSlot reads and bounds a slotMessage from outside.
func decodeSlot(body []byte) (slotMessage, error) {
	var msg slotMessage
	if err := cbor.Unmarshal(body, &msg); err != nil {
		return msg, errors.Wrap(err, "decode slot message")
	}
	known := msg.Action >= slotTake && msg.Action <= slotRelease
	if !known || msg.Key == "" || msg.Attempt == "" || (msg.Record != nil && !msg.Record.valid()) {
		return msg, errors.New("malformed slot message")
	}
	return msg, nil
}
