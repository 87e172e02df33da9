package billing

import (
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/packed"
)

const (
	// maxPlainBytes bounds the decompressed records of one payload.
	maxPlainBytes = 16 << 20
	// spareCodecs bounds the idle compressors and decompressors.
	spareCodecs = 4
)

// dictionary primes the compression with the shape of a record, since most
// payloads hold only a few. Stored rows depend on it: it must never change.
var dictionary = []byte("\xa5\x01x\x1d/teams/team/accounts/account\x02x/entry-0000\x03\x1a\x04\x81\xa7" +
	"\x01x-1\x02wmodel@2026-01\x03mserver-01\x04\x19\x05\x18\x06\x19\x07\xf5\x05\x19")

var codec = packed.NewCodec(dictionary, maxPlainBytes, spareCodecs)

// pack encodes and compresses records.
func pack(records []Record) ([]byte, error) {
	payload, err := codec.Pack(records)
	return payload, errors.Wrap(err, "pack bills")
}

// unpack reverses pack.
func unpack(payload []byte) ([]Record, error) {
	var records []Record
	err := codec.Unpack(payload, &records)
	return records, errors.Wrap(err, "unpack bills")
}

func unpackAll(payloads [][]byte) ([]Record, error) {
	var all []Record
	for _, payload := range payloads {
		records, err := unpack(payload)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}
