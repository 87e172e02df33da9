package bytebudget

import (
	"io"

	"github.com/pkg/errors"
)

// firstBuffer is the size in bytes of a buffer whose final size is not known, or larger.
const firstBuffer = 4 << 10

// ErrTooLarge means that there are more bytes than are allowed.
var ErrTooLarge = errors.New("there are too many bytes")

// ReadAll reads to the end of r and charges the buffer to an account as it grows. declared
// is the number of bytes that are announced; negative for none. It returns ErrTooLarge if there are
// more than limit bytes, or if more are declared.
func ReadAll(r io.Reader, declared, limit int64, account *Account) ([]byte, error) {
	if declared > limit {
		return nil, ErrTooLarge
	}
	size := min(firstBuffer, limit)
	if declared >= 0 {
		size = min(size, declared)
	}
	buffer, err := account.grow(nil, size)
	if err != nil {
		return nil, err
	}
	for {
		if len(buffer) < cap(buffer) {
			n, err := r.Read(buffer[len(buffer):cap(buffer)])
			buffer = buffer[:len(buffer)+n]
			switch {
			case err == io.EOF:
				return buffer, nil
			case err != nil:
				return nil, err
			}
			continue
		}
		// A buffer that has just the declared size does not grow if nothing follows.
		var next [1]byte
		n, err := r.Read(next[:])
		switch {
		case n == 0 && err == io.EOF:
			return buffer, nil
		case n == 0 && err != nil:
			return nil, err
		case n == 0:
			continue
		case int64(len(buffer)) >= limit:
			return nil, ErrTooLarge
		}
		size := max(firstBuffer, 2*int64(cap(buffer)))
		if declared > int64(len(buffer)) {
			size = min(size, declared)
		}
		if buffer, err = account.grow(buffer, min(size, limit)); err != nil {
			return nil, err
		}
		buffer = append(buffer, next[0])
	}
}

// Append appends to a buffer whose capacity is charged to an account.
func (a *Account) Append(buffer, more []byte) ([]byte, error) {
	if need := len(buffer) + len(more); need > cap(buffer) {
		var err error
		if buffer, err = a.grow(buffer, int64(max(need, 2*cap(buffer)))); err != nil {
			return nil, err
		}
	}
	return append(buffer, more...), nil
}

// grow returns a larger buffer with the same bytes. While they are copied both are charged.
func (a *Account) grow(buffer []byte, size int64) ([]byte, error) {
	if err := a.Resize(int64(cap(buffer)) + size); err != nil {
		return nil, err
	}
	grown := append(make([]byte, 0, size), buffer...)
	return grown, a.Resize(size)
}
