package rollout

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// maxRows is the maximum number of rows in a message, which bounds its size to
	// about 5 kB.
	maxRows = 64
	// maxCount is the maximum accepted value of a received counter.
	maxCount = 1 << 48
	// maxReasonBytes is the maximum length of a suspension's reason.
	maxReasonBytes = 256
)

// Suspension takes a version out of use for a team at once. It ends once the settings
// themselves forbid the version or no longer contain it.
type Suspension struct {
	EvidenceKey EvidenceKey `cbor:"1,keyasint"`
	Reason      string      `cbor:"2,keyasint"`
}

// evidenceRow holds a source's totals for one key.
type evidenceRow struct {
	EvidenceKey EvidenceKey `cbor:"1,keyasint"`
	Counts      Counts      `cbor:"2,keyasint"`
}

// evidenceMessage is the body of peers.KindEvidence. Epoch distinguishes the runs of
// the sender.
type evidenceMessage struct {
	Epoch       uint64        `cbor:"1,keyasint"`
	Rows        []evidenceRow `cbor:"2,keyasint,omitempty"`
	Suspensions []Suspension  `cbor:"3,keyasint,omitempty"`
}

// suspensionMessage is the body of peers.KindSuspension.
type suspensionMessage struct {
	Suspensions []Suspension `cbor:"1,keyasint"`
}

func decodeEvidence(body []byte) (evidenceMessage, error) {
	var msg evidenceMessage
	if err := cbor.Unmarshal(body, &msg); err != nil {
		return msg, errors.Wrap(err, "decode evidence")
	}
	if len(msg.Rows) > maxRows {
		return msg, errors.Errorf("%d evidence rows in one message", len(msg.Rows))
	}
	for _, row := range msg.Rows {
		if row.Counts.Good > maxCount || row.Counts.Bad > maxCount {
			return msg, errors.New("evidence counter out of range")
		}
	}
	return msg, checkSuspensions(msg.Suspensions)
}

func decodeSuspensions(body []byte) (suspensionMessage, error) {
	var msg suspensionMessage
	if err := cbor.Unmarshal(body, &msg); err != nil {
		return msg, errors.Wrap(err, "decode suspensions")
	}
	return msg, checkSuspensions(msg.Suspensions)
}

func checkSuspensions(list []Suspension) error {
	if len(list) > maxRows {
		return errors.Errorf("%d suspensions in one message", len(list))
	}
	for _, s := range list {
		if len(s.Reason) > maxReasonBytes {
			return errors.New("suspension reason too long")
		}
	}
	return nil
}
