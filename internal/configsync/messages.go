package configsync

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/settings"
)

// hintMessage tells that a revision is in force at the sender.
type hintMessage struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// fetchRequest asks a peer what it knows beyond a revision.
type fetchRequest struct {
	// Since is the revision in force at the sender.
	Since uint64 `cbor:"1,keyasint"`
	// Whole asks for all documents if the peer's history does not reach back to Since.
	Whole bool `cbor:"2,keyasint,omitempty"`
	// After is the last path of the previous page of documents, for Whole.
	After string `cbor:"3,keyasint,omitempty"`
	// Heard asks which witnesses the peer heard.
	Heard bool `cbor:"4,keyasint,omitempty"`
}

// fetchReply is what the peer knows. Its ages are measured when it replies; the
// receiver counts them from when it sent the request, which can only make them
// older than they are.
type fetchReply struct {
	// Revision is in force at the peer.
	Revision uint64 `cbor:"1,keyasint"`
	// Loaded is false while the peer has no settings from anywhere.
	Loaded bool `cbor:"2,keyasint"`
	// InDoubt is whether the peer has a commit of unknown outcome.
	InDoubt bool `cbor:"3,keyasint,omitempty"`
	// FreshMillis is the age of the peer's freshness; negative for never.
	FreshMillis int64 `cbor:"4,keyasint"`
	// StoreDown is whether the peer's last read of the store failed.
	StoreDown bool `cbor:"5,keyasint,omitempty"`
	// Entries follow the requested revision, oldest first.
	Entries []logEntry `cbor:"6,keyasint,omitempty"`
	// Documents is one page of all documents at Revision; More tells of further pages.
	Documents []settings.Document `cbor:"7,keyasint,omitempty"`
	More      bool                `cbor:"8,keyasint,omitempty"`
	Heard     []heardInstance     `cbor:"9,keyasint,omitempty"`
}

// heardInstance is one witness that the peer heard, as a CBOR array.
type heardInstance struct {
	_         struct{} `cbor:",toarray"`
	IDHash    uint64
	AgeMillis int64
}

// decodeMessage reads a message's body.
func decodeMessage(body []byte, v any) error {
	return errors.Wrap(cbor.Unmarshal(body, v), "decode settings message")
}

// ageMillis rounds up, so that an age is never understated.
func ageMillis(age time.Duration) int64 {
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

// ageLimitMillis bounds what a peer may state, so that arithmetic can't overflow.
const ageLimitMillis = int64(24 * time.Hour / time.Millisecond)

// stated returns the instant that an age refers to; ok is false for no age.
func stated(sent time.Time, millis int64) (at time.Time, ok bool) {
	if millis < 0 || millis > ageLimitMillis {
		return time.Time{}, false
	}
	return sent.Add(-time.Duration(millis) * time.Millisecond), true
}
