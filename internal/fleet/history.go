package fleet

import (
	"sync/atomic"
	"time"
)

// rowAge is how old a registration may be when it is read: one that was read sooner after a server
// was lost may be from before.
const rowAge = 2 * time.Second

// History holds the times by which a server process may be cold: it has just started, or was not in use.
type History struct {
	// RegisteredAt is when the process registered; zero if it was there, and not cold, when this instance started.
	RegisteredAt time.Time
	// ReturnedAt is when the last evacuation of its failure domain ended; zero for none.
	ReturnedAt time.Time
	// SuspectedAt is when this instance or a peer last lost the server, which may have restarted since.
	SuspectedAt time.Time
	// RowAt is when its registration was last read or, after a loss, when it was first read that late that it shows
	// whether the server restarted. ColdUntil is the end of the cold time that the registrations named.
	RowAt     time.Time
	ColdUntil time.Time
}

// IsLost reports whether the server was lost and may have restarted since its registration was written.
func (h History) IsLost() bool {
	return !h.SuspectedAt.IsZero() && !h.RowAt.After(h.SuspectedAt.Add(rowAge))
}

// history is the History of a server process, which requests and the readers of registrations change.
type history struct{ times atomic.Pointer[History] }

func newHistory() *history {
	h := &history{}
	h.times.Store(&History{})
	return h
}

// update changes the times.
func (h *history) update(change func(t *History)) {
	for {
		old := h.times.Load()
		updated := *old
		change(&updated)
		if h.times.CompareAndSwap(old, &updated) {
			return
		}
	}
}

// suspect records that the server was lost.
func (h *history) suspect(now time.Time) {
	h.update(func(t *History) { t.SuspectedAt = now })
}

// read records that the registration of the server was read.
func (h *history) read(r *Registration, now time.Time) {
	h.update(func(t *History) {
		t.noteRow(now)
		if r.ColdRemaining > 0 {
			t.ColdUntil = maxTime(t.ColdUntil, now.Add(r.ColdRemaining))
		}
	})
}

// noteRow records that the registration was read. The registrations after the first one that clears a loss say nothing
// more about it.
func (h *History) noteRow(now time.Time) {
	if h.SuspectedAt.IsZero() || h.IsLost() {
		h.RowAt = now
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// History returns the times by which the server may be cold.
func (s *Server) History() History { return *s.history.times.Load() }
