package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/pkg/errors"
)

// fingerprintBytes is 128 bits: enough that two contents never share one, also
// where a caller searches for a collision.
const fingerprintBytes = 16

// Fingerprint names the content of a request: what the backend server computes
// on, without client account, version, request id or key.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf hashes the parts of a content, such as a plain call's method and
// path and its body, or a prompt's messages and its sampling parameters. The
// parts' borders count.
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

// String renders the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText renders the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// ParseFingerprint reads the hexadecimal form.
func ParseFingerprint(s string) (Fingerprint, error) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != fingerprintBytes {
		return Fingerprint{}, errors.Errorf("%q is not a fingerprint", s)
	}
	return Fingerprint(raw), nil
}
