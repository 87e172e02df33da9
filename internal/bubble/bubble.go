// Package bubble runs tests in virtual time, in bubbles of testing/synctest.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// running serializes the bubbles whose number of processors is limited.
var running sync.Mutex

// Test is synctest.Test. Under the race detector it uses a single processor: goroutines of a
// bubble that receive from expired timer channels at the same time share one context of the
// detector, which ends the process with "ThreadSanitizer: CHECK failed" if they run on several
// (Go 1.26). The detector finds races by the order of events and needs no parallel execution.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if isRaceEnabled {
		running.Lock()
		defer running.Unlock()
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	synctest.Test(t, f)
}
