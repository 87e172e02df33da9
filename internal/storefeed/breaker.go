package storefeed

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minRetryInterval and maxRetryInterval bound the pause after a failed call, which
	// doubles with each further failure. During an outage 69 instances together then
	// make 60 calls a second, and one of them detects its end within 30 ms.
	minRetryInterval = 200 * time.Millisecond
	maxRetryInterval = 1600 * time.Millisecond
	// maxPeerRetryDelay bounds the remaining pause once a peer reports an answer of
	// the store. Such reports are ignored for peerRetryHoldOff after a failure, because
	// a store may refuse one instance and serve the others.
	maxPeerRetryDelay = 300 * time.Millisecond
	peerRetryHoldOff  = time.Second
	// readHoldOff is the time after a failure during which an instance that receives
	// its peers' changes does not read the store itself.
	readHoldOff = 4 * time.Second
	// readerRetryTime is how long after the first of its failures a reader continues to
	// call: the store may have been away only for a moment for all readers.
	readerRetryTime = 1200 * time.Millisecond
)

// breaker is a circuit breaker for calls to the store. After a failure it admits
// one probing call at a time. It is safe for concurrent use.
type breaker struct {
	mu       sync.Mutex
	failures int
	retryAt  time.Time
	failedAt time.Time
	// failingSince is the time of the first failure after the last success.
	failingSince time.Time
	probing      bool
}

// allow reports whether a call may be made now. The caller must report the end of
// an allowed call with done.
func (b *breaker) allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures == 0 {
		return true
	}
	if b.probing || time.Now().Before(b.retryAt) {
		return false
	}
	b.probing = true
	return true
}

// isOpen reports whether the last call failed.
func (b *breaker) isOpen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures > 0
}

// failedRecently reports whether the last call failed within readHoldOff.
func (b *breaker) failedRecently() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures > 0 && time.Since(b.failedAt) < readHoldOff
}

// failingLong reports whether all calls of more than readerRetryTime failed.
func (b *breaker) failingLong() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures > 0 && time.Since(b.failingSince) > readerRetryTime
}

// done records whether a call failed.
func (b *breaker) done(failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
	if !failed {
		b.failures = 0
		return
	}
	if b.failures == 0 {
		b.failingSince = time.Now()
	}
	interval := min(minRetryInterval<<min(b.failures, 8), maxRetryInterval)
	b.failures++
	b.failedAt = time.Now()
	b.retryAt = time.Now().Add(interval/2 + rand.N(interval/2))
}

// peerReachedStore records that a peer received an answer from the store, and
// brings the next retry forward.
func (b *breaker) peerReachedStore() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.failedAt) < peerRetryHoldOff {
		return
	}
	if earlier := time.Now().Add(rand.N(maxPeerRetryDelay)); b.retryAt.After(earlier) {
		b.retryAt = earlier
	}
}
