package billing

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// maxPlainBytes bounds the decompressed records of one payload.
	maxPlainBytes = 16 << 20
	// compression weighs the size of a payload against processor time.
	compression = 6
)

// dictionary primes the compression with the shape of a record, since most
// payloads hold only a few. Stored rows depend on it: it must never change.
var dictionary = []byte("\xa5\x01x\x1d/teams/team/accounts/account\x02x/entry-0000\x03\x1a\x04\x81\xa7" +
	"\x01x-1\x02wmodel@2026-01\x03mserver-01\x04\x19\x05\x18\x06\x19\x07\xf5\x05\x19")

// spareCodecs bounds the idle compressors, which take about a megabyte each,
// and decompressors.
const spareCodecs = 4

var (
	compressors   = make(chan *flate.Writer, spareCodecs)
	decompressors = make(chan io.ReadCloser, spareCodecs)
)

func takeCompressor() (*flate.Writer, error) {
	select {
	case w := <-compressors:
		return w, nil
	default:
		return flate.NewWriterDict(io.Discard, compression, dictionary)
	}
}

func takeDecompressor() io.ReadCloser {
	select {
	case r := <-decompressors:
		return r
	default:
		return flate.NewReader(bytes.NewReader(nil))
	}
}

// giveBack keeps a codec for later use, unless enough are kept.
func giveBack[T any](spares chan T, codec T) {
	select {
	case spares <- codec:
	default:
	}
}

// pack encodes and compresses records.
func pack(records []Record) ([]byte, error) {
	plain, err := cbor.Marshal(records)
	if err != nil {
		return nil, errors.Wrap(err, "encode bills")
	}
	var packed bytes.Buffer
	w, err := takeCompressor()
	if err != nil {
		return nil, errors.Wrap(err, "compress bills")
	}
	defer giveBack(compressors, w)
	w.Reset(&packed)
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress bills")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress bills")
	}
	return packed.Bytes(), nil
}

// unpack reverses pack.
func unpack(packed []byte) ([]Record, error) {
	r := takeDecompressor()
	defer giveBack(decompressors, r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), dictionary); err != nil {
		return nil, errors.Wrap(err, "decompress bills")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxPlainBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress bills")
	}
	if len(plain) > maxPlainBytes {
		return nil, errors.Errorf("bills of more than %d bytes", maxPlainBytes)
	}
	var records []Record
	err = cbor.Unmarshal(plain, &records)
	return records, errors.Wrap(err, "decode bills")
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
