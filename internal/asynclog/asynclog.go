// Package asynclog writes log lines without blocking the caller. Lines are dropped
// and counted if they exceed a rate limit or if the queue is full because the output
// is slow; a periodic summary line reports their number.
package asynclog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the maximum number of lines that wait for the output.
	maxQueuedLines = 1024
	// linesPerSecond and lineBurst limit the volume: three lines for each of 400
	// requests per second, which is more than an instance serves.
	linesPerSecond = 1200
	lineBurst      = 2400
	// summaryInterval is the interval between reports of dropped lines.
	summaryInterval = time.Second
)

// Writer is an io.Writer that queues complete lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	limiter *rate.Limiter
	queue   chan []byte
	// dropped counts the lines dropped since the last summary, total all of them.
	dropped atomic.Int64
	total   atomic.Int64
	stop    sync.Once
	stopped chan struct{}
	done    chan struct{}
}

// New returns a Writer and starts its goroutine, which runs until Close.
func New(out io.Writer) *Writer {
	w := &Writer{
		out:     out,
		limiter: rate.NewLimiter(linesPerSecond, lineBurst),
		queue:   make(chan []byte, maxQueuedLines),
		stopped: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a copy of a line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.drop()
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	w.total.Add(1)
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.total.Load() }

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.queue:
			w.emit(line)
		case <-ticker.C:
			w.summarize()
		case <-w.stopped:
			w.drain()
			return
		}
	}
}

// emit writes a line. One that can't be written counts as dropped: there is no other place to
// report the error.
func (w *Writer) emit(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.drop()
	}
}

func (w *Writer) summarize() {
	if n := w.dropped.Swap(0); n > 0 {
		w.emit(fmt.Appendf(nil, `{"level":"warning","name":"log_lines_dropped","count":%d,"time":%q}`+"\n",
			n, time.Now().UTC().Format(time.RFC3339Nano)))
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.queue:
			w.emit(line)
		default:
			w.summarize()
			return
		}
	}
}

// Close stops the Writer and waits until the queued lines are written or the context ends.
func (w *Writer) Close(ctx context.Context) {
	w.stop.Do(func() { close(w.stopped) })
	select {
	case <-w.done:
	case <-ctx.Done():
	}
}
