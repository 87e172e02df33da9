// Package packed encodes values as compressed CBOR.
package packed

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// compression weighs the size against processor time.
const compression = 6

// Codec packs and unpacks values. It is safe for concurrent use.
type Codec struct {
	// dictionary primes the compression; both sides need the same.
	dictionary []byte
	// most bounds the encoded form of a value.
	most int64
	// Idle compressors take about a megabyte each.
	compressors   chan *flate.Writer
	decompressors chan io.ReadCloser
}

// NewCodec makes a Codec for values of at most so many encoded bytes, which keeps
// so many idle compressors and decompressors. The dictionary may be nil.
func NewCodec(dictionary []byte, most int64, spares int) *Codec {
	return &Codec{
		dictionary:    dictionary,
		most:          most,
		compressors:   make(chan *flate.Writer, spares),
		decompressors: make(chan io.ReadCloser, spares),
	}
}

func (c *Codec) takeCompressor() (*flate.Writer, error) {
	select {
	case w := <-c.compressors:
		return w, nil
	default:
		return flate.NewWriterDict(io.Discard, compression, c.dictionary)
	}
}

func (c *Codec) takeDecompressor() io.ReadCloser {
	select {
	case r := <-c.decompressors:
		return r
	default:
		return flate.NewReader(bytes.NewReader(nil))
	}
}

// giveBack keeps one for later use, unless enough are kept.
func giveBack[T any](spares chan T, spare T) {
	select {
	case spares <- spare:
	default:
	}
}

// Pack encodes and compresses a value.
func (c *Codec) Pack(value any) ([]byte, error) {
	plain, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	var packed bytes.Buffer
	w, err := c.takeCompressor()
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	defer giveBack(c.compressors, w)
	w.Reset(&packed)
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return packed.Bytes(), nil
}

// Unpack reverses Pack.
func (c *Codec) Unpack(packed []byte, into any) error {
	r := c.takeDecompressor()
	defer giveBack(c.decompressors, r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), c.dictionary); err != nil {
		return errors.Wrap(err, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(r, c.most+1))
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	if int64(len(plain)) > c.most {
		return errors.Errorf("more than %d bytes", c.most)
	}
	return errors.Wrap(cbor.Unmarshal(plain, into), "decode")
}
