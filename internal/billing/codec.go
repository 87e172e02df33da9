package billing

import (
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/cborflate"
)

const (
	// maxDecompressedBytes limits the decompressed size of one payload.
	maxDecompressedBytes = 16 << 20
	// pooledCodecs is the maximum number of idle compressors, and of idle
	// decompressors, kept for reuse.
	pooledCodecs = 4
)

// dictionary is a preset compression dictionary in the shape of a record, since
// most payloads hold only a few records. Stored rows can't be read without it,
// so it must never change.
var dictionary = []byte("\xa5\x01x\x1d/teams/team/accounts/account\x02x/entry-0000\x03\x1a\x04\x81\xa7" +
	"\x01x-1\x02wmodel@2026-01\x03mserver-01\x04\x19\x05\x18\x06\x19\x07\xf5\x05\x19")

var codec = cborflate.NewCodec(dictionary, maxDecompressedBytes, pooledCodecs)

// encodeRecords encodes records as compressed CBOR.
func encodeRecords(records []Record) ([]byte, error) {
	payload, err := codec.Encode(records)
	return payload, errors.Wrap(err, "encode bill records")
}

// decodeRecords decodes the output of encodeRecords.
func decodeRecords(payload []byte) ([]Record, error) {
	var records []Record
	err := codec.Decode(payload, &records)
	return records, errors.Wrap(err, "unpack bills")
}

func decodeAll(payloads [][]byte) ([]Record, error) {
	var all []Record
	for _, payload := range payloads {
		records, err := decodeRecords(payload)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}
