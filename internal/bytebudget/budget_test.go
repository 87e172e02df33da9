package bytebudget

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLargestAccountOfTheLargestOwnerIsEvicted guards against requests that end because of the bytes of another server
// or caller.
func TestLargestAccountOfTheLargestOwnerIsEvicted(t *testing.T) {
	b := New(100)
	var evicted []string
	open := func(owner, name string, bytes int64) *Account {
		a := b.Open(owner, func() { evicted = append(evicted, name) })
		require.NoError(t, a.Resize(bytes))
		return a
	}
	small := open("sound", "large answer of a sound server", 30)
	first, second := open("faulty", "first", 35), open("faulty", "second", 25)
	require.NoError(t, small.Resize(45), "a sound answer passes")
	assert.Equal(t, []string{"first"}, evicted)
	assert.ErrorIs(t, first.Resize(36), ErrExceeded)
	assert.True(t, first.Close())

	assert.ErrorIs(t, second.Resize(70), ErrExceeded, "the owner with the most bytes harms itself")
	assert.Equal(t, []string{"first", "second"}, evicted)
	assert.True(t, second.Close())
	assert.EqualValues(t, 45, b.Used())

	small.Settle()
	late := b.Open("faulty", func() { evicted = append(evicted, "late") })
	assert.ErrorIs(t, late.Resize(60), ErrExceeded, "complete bytes are never evicted")
	assert.True(t, late.Close())
	assert.False(t, small.Close())
	assert.Zero(t, b.Used())
	assert.Empty(t, b.owners)
}

// TestBytesOfEvictedAccountsAreBounded guards against memory that grows without bound while evicted requests
// have not ended yet.
func TestBytesOfEvictedAccountsAreBounded(t *testing.T) {
	b := New(100)
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			for range 200 {
				a := b.Open("faulty", func() {})
				for n := int64(1); n <= 64 && a.Resize(n) == nil; n *= 2 {
					assert.LessOrEqual(t, b.Used(), int64(100*overshoot)+64, "what is refused is not charged")
				}
				a.Close()
			}
		})
	}
	all.Wait()
	assert.Zero(t, b.Used())
	assert.Zero(t, b.evicted)
}

// TestReadAll checks bodies of declared and unknown length against the bounds.
func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, 5 * firstBuffer, 64 << 10} {
		for _, declared := range []int{size, -1} {
			for name, wrap := range map[string]func(io.Reader) io.Reader{"whole": func(r io.Reader) io.Reader { return r }, "bytes": iotest.OneByteReader, "end with the data": iotest.DataErrReader} {
				b := New(1 << 20)
				a := b.Open("s", func() {})
				body, err := ReadAll(wrap(strings.NewReader(strings.Repeat("x", size))), int64(declared), 64<<10, a)
				require.NoError(t, err, "%d bytes, %d declared, %s", size, declared, name)
				assert.Len(t, body, size)
				assert.EqualValues(t, cap(body), b.Used())
				a.Close()
			}
		}
	}
	_, err := ReadAll(nil, 11, 10, nil)
	assert.ErrorIs(t, err, ErrTooLarge, "known before a byte is read")
	_, err = ReadAll(strings.NewReader("12345678901"), -1, 10, nil)
	assert.ErrorIs(t, err, ErrTooLarge)
	_, err = ReadAll(iotest.TimeoutReader(bytes.NewReader(make([]byte, 3*firstBuffer))), -1, 1<<20, nil)
	assert.ErrorIs(t, err, iotest.ErrTimeout)
}
