package serverwatch

import (
	"time"

	"github.com/basilrail/basilrail/internal/statechart"
)

// fire applies an event of the server chart and stores the outcome. The caller
// holds the lock.
func (w *Watcher) fire(id string, t *tracked, e statechart.Event) {
	// Every state but the last accepts every event of a server.
	_, _ = t.machine.Fire(e)
	w.settle(id, t)
}

// settle derives the stored status from what is known of the server. The caller
// holds the lock.
func (w *Watcher) settle(id string, t *tracked) {
	if t.mustLeave() && t.machine.State() != statechart.ServerLeaving {
		_, _ = t.machine.Fire(statechart.ServerReportLeaving)
	}
	state := t.machine.State()
	t.status.Leaving = state == statechart.ServerLeaving
	// A server that was never seen well has no versions and so gets no work.
	t.status.Down = state == statechart.ServerDown || t.ejection.active(time.Now()) || t.failures >= downAfter
	w.store.SetStatus(id, t.status)
}

// downAfter is the number of failed probes after which a server gets no work,
// also one that is leaving.
const downAfter = 2

// mustLeave reports whether somebody but the server's status says that it is leaving.
func (t *tracked) mustLeave() bool {
	if t.listedLeaving {
		return true
	}
	held := !t.refusedAt.IsZero() && time.Since(t.refusedAt) < leavingHold
	return held && t.refusedInstance == t.status.Instance
}

const (
	// ejectAfter is the number of attempts in a row that fail before a server is
	// left alone.
	ejectAfter = 3
	// ejectFor is the first time it is left alone; each further one is twice as
	// long, up to ejectForMax.
	ejectFor    = 500 * time.Millisecond
	ejectForMax = 4 * time.Second
)

// ejection keeps work from a server that reports itself well and fails attempts.
type ejection struct {
	failed int
	times  int
	until  time.Time
}

func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

// fail counts a failed attempt; it reports whether the server is now ejected.
func (e *ejection) fail(now time.Time) bool {
	e.failed++
	if e.failed < ejectAfter || e.active(now) {
		return false
	}
	wait := min(ejectFor<<min(e.times, maxDoublings), ejectForMax)
	// The next attempt after the wait is a trial: if it fails, the server is
	// ejected again at once.
	e.failed, e.times, e.until = ejectAfter-1, e.times+1, now.Add(wait)
	return true
}

// maxDoublings keeps the shift in range.
const maxDoublings = 8

// succeed counts an answered attempt.
func (e *ejection) succeed() { e.failed, e.times = 0, 0 }
