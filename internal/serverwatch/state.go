package serverwatch

import (
	"time"

	"github.com/basilrail/basilrail/internal/statechart"
)

// fire applies an event of the server chart and stores the resulting status. The
// caller holds the lock.
func (w *Watcher) fire(id string, t *tracked, e statechart.Event) {
	// Every state but the final one accepts every server event.
	_, _ = t.machine.Fire(e)
	w.updateStatus(id, t)
}

// updateStatus derives the stored status from the state of the server. The caller
// holds the lock.
func (w *Watcher) updateStatus(id string, t *tracked) {
	if t.markedDraining() && t.machine.State() != statechart.ServerDraining {
		_, _ = t.machine.Fire(statechart.ServerReportDraining)
	}
	state := t.machine.State()
	t.status.Draining = state == statechart.ServerDraining
	// A server that was never healthy has no versions and so gets no work.
	t.status.Down = state == statechart.ServerDown || t.ejection.active(time.Now()) || t.failures >= downAfterFailures
	w.store.SetStatus(id, t.status)
}

// downAfterFailures is the number of failed probes in a row after which a server gets
// no work, even in the draining state.
const downAfterFailures = 2

// markedDraining reports whether the membership list, a recent refusal of work or a
// peer marks the server as draining, regardless of its own status.
func (t *tracked) markedDraining() bool {
	if t.listedDraining {
		return true
	}
	refused := !t.refusedAt.IsZero() && time.Since(t.refusedAt) < drainingHold
	return refused && t.refusedProcess == t.status.Process
}

const (
	// ejectAfterFailures is the number of failed attempts in a row after which a
	// server is ejected.
	ejectAfterFailures = 3
	// baseEjectionTime is the length of the first ejection; each further one is
	// twice as long, up to maxEjectionTime.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
)

// ejection excludes a server that reports itself healthy but fails attempts.
type ejection struct {
	failures  int
	ejections int
	until     time.Time
}

func (e *ejection) active(now time.Time) bool { return now.Before(e.until) }

// recordFailure counts a failed attempt; it reports whether this ejects the server.
func (e *ejection) recordFailure(now time.Time) bool {
	e.failures++
	if e.failures < ejectAfterFailures || e.active(now) {
		return false
	}
	wait := min(baseEjectionTime<<min(e.ejections, maxDoublings), maxEjectionTime)
	// If the first attempt after the ejection fails, the server is ejected again at
	// once.
	e.failures, e.ejections, e.until = ejectAfterFailures-1, e.ejections+1, now.Add(wait)
	return true
}

// maxDoublings keeps the back-off shift from overflowing.
const maxDoublings = 8

// recordSuccess resets the counts after an answered attempt.
func (e *ejection) recordSuccess() { e.failures, e.ejections = 0, 0 }
