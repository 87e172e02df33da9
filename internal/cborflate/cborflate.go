// Package cborflate encodes values as compressed CBOR.
package cborflate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// compressionLevel is the flate level, a compromise between size and CPU time.
const compressionLevel = 6

// Codec encodes values as compressed CBOR and decodes them. It is safe for concurrent
// use.
type Codec struct {
	// dictionary is the preset dictionary of the compression. Both sides need the same
	// one.
	dictionary []byte
	// maxBytes bounds the size of an encoded value before compression.
	maxBytes int64
	// Pools of idle compressors and decompressors. An idle compressor takes about 1 MB.
	compressors   chan *flate.Writer
	decompressors chan io.ReadCloser
}

// NewCodec returns a Codec that decodes values of at most maxBytes encoded bytes and
// pools up to maxIdle compressors and decompressors each. The dictionary may be nil.
func NewCodec(dictionary []byte, maxBytes int64, maxIdle int) *Codec {
	return &Codec{
		dictionary:    dictionary,
		maxBytes:      maxBytes,
		compressors:   make(chan *flate.Writer, maxIdle),
		decompressors: make(chan io.ReadCloser, maxIdle),
	}
}

func (c *Codec) getCompressor() (*flate.Writer, error) {
	select {
	case w := <-c.compressors:
		return w, nil
	default:
		return flate.NewWriterDict(io.Discard, compressionLevel, c.dictionary)
	}
}

func (c *Codec) getDecompressor() io.ReadCloser {
	select {
	case r := <-c.decompressors:
		return r
	default:
		return flate.NewReader(bytes.NewReader(nil))
	}
}

// putBack returns an idle item to its pool, or discards it if the pool is full.
func putBack[T any](pool chan T, idle T) {
	select {
	case pool <- idle:
	default:
	}
}

// Encode encodes a value as CBOR and compresses it. It does not check maxBytes.
func (c *Codec) Encode(value any) ([]byte, error) {
	plain, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	var compressed bytes.Buffer
	w, err := c.getCompressor()
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	defer putBack(c.compressors, w)
	w.Reset(&compressed)
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return compressed.Bytes(), nil
}

// Decode decodes a value that Encode encoded. It returns an error if the input is invalid
// or decompresses to more than maxBytes.
func (c *Codec) Decode(compressed []byte, into any) error {
	r := c.getDecompressor()
	defer putBack(c.decompressors, r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(compressed), c.dictionary); err != nil {
		return errors.Wrap(err, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(r, c.maxBytes+1))
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	if int64(len(plain)) > c.maxBytes {
		return errors.Errorf("more than %d bytes", c.maxBytes)
	}
	return errors.Wrap(cbor.Unmarshal(plain, into), "decode")
}
