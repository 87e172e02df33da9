package asynclog

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stalledOutput is an output whose writes block until release is closed.
type stalledOutput struct{ release chan struct{} }

func (s stalledOutput) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestStalledOutputDoesNotBlockWriters(t *testing.T) {
	out := stalledOutput{release: make(chan struct{})}
	w := New(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * maxQueuedLines {
			_, err := w.Write([]byte("line\n"))
			assert.NoError(t, err)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		require.Fail(t, "a write blocks on the stalled output")
	}
	assert.Positive(t, w.Dropped())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	w.Close(ctx)
	close(out.release)
}

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func TestDroppedLinesAreCounted(t *testing.T) {
	var out buffer
	w := New(&out)
	for range 2 * lineBurst {
		_, _ = w.Write([]byte("x\n"))
	}
	w.Close(context.Background())
	assert.Contains(t, out.String(), `"name":"log_lines_dropped"`)
	assert.Equal(t, 2*lineBurst, strings.Count(out.String(), "x\n")+int(w.Dropped()))
}
