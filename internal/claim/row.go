package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/tablestore"
)

// keyPrefix is the prefix of the claims' keys in the table service.
const keyPrefix = "claims/"

// row is the value of a claim's row.
type row struct {
	Fingerprint [32]byte `cbor:"1,keyasint"`
	// RequestID identifies the request that owns the claim.
	RequestID string `cbor:"2,keyasint"`
	// WriteID is unique to one Acquire. It distinguishes a row that this Acquire wrote
	// from one of another.
	WriteID string `cbor:"3,keyasint"`
	// Outcome is set after the request has run.
	Outcome *Outcome `cbor:"4,keyasint,omitempty"`
}

// rowKey returns the key of a claim's row. The caller's key is hashed, which bounds the
// length and keeps the key itself out of listings.
func rowKey(key Key) string {
	sum := sha256.Sum256([]byte(key.RequestKey))
	return keyPrefix + url.PathEscape(string(key.Account)) + "/" + hex.EncodeToString(sum[:])
}

func encodeRow(r row) ([]byte, error) {
	value, err := cbor.Marshal(r)
	return value, errors.Wrap(err, "encode claim")
}

func decodeRow(stored tablestore.Row) (row, error) {
	var r row
	err := cbor.Unmarshal(stored.Value, &r)
	return r, errors.Wrapf(err, "decode claim %s", stored.Key)
}

// limitSize limits an outcome to MaxOutcomeBytes. It replaces a body that is too large
// by its digest, and drops the header if that alone is too large.
func limitSize(o Outcome) Outcome {
	if len(o.Body)+headerBytes(o) <= MaxOutcomeBytes {
		return o
	}
	sum := sha256.Sum256(o.Body)
	o.BodyBytes = len(o.Body)
	o.BodySHA256 = sum[:]
	o.Body = nil
	if headerBytes(o) > MaxOutcomeBytes {
		o.Header = nil
	}
	return o
}

func headerBytes(o Outcome) int {
	bytes := 0
	for name, values := range o.Header {
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	return bytes
}
