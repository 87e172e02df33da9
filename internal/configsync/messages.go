package configsync

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/settings"
)

// hintMessage announces the revision in effect at the sender.
type hintMessage struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// fetchRequest asks a peer for its changes after a revision and for the state of its
// settings.
type fetchRequest struct {
	// Since is the revision in effect at the sender.
	Since uint64 `cbor:"1,keyasint"`
	// AllDocuments asks for all documents if the peer's history does not go back to
	// Since.
	AllDocuments bool `cbor:"2,keyasint,omitempty"`
	// After is the last path of the previous page, for AllDocuments.
	After string `cbor:"3,keyasint,omitempty"`
	// Statements asks for the witness statements that the peer received.
	Statements bool `cbor:"4,keyasint,omitempty"`
}

// fetchReply is the reply to a fetchRequest. Its ages are as of the reply; the
// receiver subtracts them from the time at which it sent the request, which can
// only overstate them.
type fetchReply struct {
	// Revision is the revision in effect at the peer.
	Revision uint64 `cbor:"1,keyasint"`
	// Loaded is false until the peer has loaded settings from the store or a peer.
	Loaded bool `cbor:"2,keyasint"`
	// InDoubt is whether the peer has a commit of unknown outcome.
	InDoubt bool `cbor:"3,keyasint,omitempty"`
	// ConfirmedAgeMillis is the time since the peer's settings were last confirmed to
	// be current; negative if never or longer than MaxConfirmationAge ago.
	ConfirmedAgeMillis int64 `cbor:"4,keyasint"`
	// StoreDown is whether the peer's last read of the store failed.
	StoreDown bool `cbor:"5,keyasint,omitempty"`
	// Entries follow the requested revision, oldest first.
	Entries []logEntry `cbor:"6,keyasint,omitempty"`
	// Documents is one page of all documents at Revision; More is whether there
	// are further pages.
	Documents []settings.Document `cbor:"7,keyasint,omitempty"`
	More      bool                `cbor:"8,keyasint,omitempty"`
	// Statements are the recent witness statements that the peer received.
	Statements []witnessStatement `cbor:"9,keyasint,omitempty"`
}

// witnessStatement is the age of a witness's statement that the peer received,
// encoded as a CBOR array.
type witnessStatement struct {
	_         struct{} `cbor:",toarray"`
	IDHash    uint64
	AgeMillis int64
}

// decodeMessage decodes the body of a message.
func decodeMessage(body []byte, v any) error {
	return errors.Wrap(cbor.Unmarshal(body, v), "decode settings message")
}

// ageMillis converts an age to milliseconds, rounded up so that it is never
// understated.
func ageMillis(age time.Duration) int64 {
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

// ageLimitMillis bounds the ages accepted from peers, so that arithmetic can't
// overflow.
const ageLimitMillis = int64(24 * time.Hour / time.Millisecond)

// timeFromAge returns the time that a received age refers to, counted back from
// when the request was sent; ok is false for a negative or too large age.
func timeFromAge(sent time.Time, millis int64) (at time.Time, ok bool) {
	if millis < 0 || millis > ageLimitMillis {
		return time.Time{}, false
	}
	return sent.Add(-time.Duration(millis) * time.Millisecond), true
}
