package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// fingerprintBytes is 128 bits, enough to rule out collisions even if a caller
// searches for one.
const fingerprintBytes = 16

// Fingerprint identifies the content of a request: the input of the backend server's
// computation, without what differs between repetitions, such as the request id. The
// caller of FingerprintOf decides whether the key is part of it.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf hashes the parts of a content, such as the method, path and body of
// a plain call, or the messages and sampling parameters of a prompt. Each part is
// hashed with its length, so that the boundaries between parts matter.
func FingerprintOf(parts ...[]byte) Fingerprint {
	hash := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		hash.Write(size[:])
		hash.Write(part)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText returns the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// ParseFingerprint parses the hexadecimal form.
func ParseFingerprint(s string) (Fingerprint, error) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != fingerprintBytes {
		return Fingerprint{}, errors.Errorf("%q is not a fingerprint", s)
	}
	return Fingerprint(raw), nil
}
