package fleet

import (
	"sync"
	"time"
)

const (
	// ejectAfter is the number of consecutive failed attempts after which a server is
	// ejected. A server that fails 2% of its attempts is ejected wrongly once in
	// 125,000 attempts.
	ejectAfter = 3
	// initialEjectDuration is the duration of the first ejection; each further ejection
	// is twice as long, up to maxEjectDuration. A crashed server is back within a few
	// seconds.
	initialEjectDuration = 500 * time.Millisecond
	maxEjectDuration     = 4 * time.Second
	// failureRateWeight is the weight of the latest attempt in the smoothed failure rate.
	failureRateWeight = 0.1
	// degradedFailureRate is the failure rate above which other servers are preferred.
	degradedFailureRate = 0.25
	// recentFailureWindow is how long other servers are preferred after a failed attempt.
	recentFailureWindow = time.Second
	// fullSkipDuration is how long a server that refused for lack of capacity is skipped.
	fullSkipDuration = 100 * time.Millisecond
	// unresponsiveEjectDuration is how long an unreachable or unresponsive server is
	// ejected. Its registration expires shortly after that time.
	unresponsiveEjectDuration = 2 * time.Second
	// responsiveWindow is how long after receiving bytes from a server it still counts as
	// responsive.
	responsiveWindow = 300 * time.Millisecond
)

// health holds the results of this instance's attempts at one server and the peers'
// reports about it.
type health struct {
	mu                  sync.Mutex
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	// failureRate is the smoothed fraction of attempts that failed.
	failureRate float64
	// receivedAt is when bytes of the server last arrived; reportedAt is when a peer last
	// reported it as unresponsive.
	receivedAt time.Time
	reportedAt time.Time
	// busySince is when a request was last sent while none was in flight.
	busySince time.Time
	// failedAt is when an attempt last failed.
	failedAt time.Time
	// history is that of the server.
	history *history
}

// RecordSuccess records a complete answer.
func (s *Server) RecordSuccess() {
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	s.health.consecutiveFailures, s.health.ejections = 0, 0
	s.health.failureRate *= 1 - failureRateWeight
	s.health.ejectedUntil = time.Time{}
}

// RecordFailure records an attempt that failed because of the server and reports whether
// the server is now ejected.
func (s *Server) RecordFailure(now time.Time) (ejected bool) {
	h := s.health
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failureRate += failureRateWeight * (1 - h.failureRate)
	h.failedAt = now
	h.consecutiveFailures++
	if h.consecutiveFailures < ejectAfter || now.Before(h.ejectedUntil) {
		return false
	}
	h.ejectedUntil = now.Add(min(initialEjectDuration<<h.ejections, maxEjectDuration))
	h.ejections = min(h.ejections+1, 4)
	return true
}

// RecordLost records that an attempt could not connect to the server or lost its connection: it may have crashed.
func (s *Server) RecordLost(now time.Time) { s.history.suspect(now) }

// RecordReceived records that bytes of the server arrived.
func (s *Server) RecordReceived() {
	now := time.Now()
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	s.health.receivedAt = now
}

// HasSentSince reports whether bytes of the server arrived after a time.
func (s *Server) HasSentSince(t time.Time) bool {
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	return s.health.receivedAt.After(t)
}

// SilentFor returns how long the server has sent nothing to this instance while a request of
// it was in flight; zero if none is.
func (s *Server) SilentFor() time.Duration {
	if s.OwnLoad().Requests == 0 {
		return 0
	}
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	since := s.health.receivedAt
	if s.health.busySince.After(since) {
		since = s.health.busySince
	}
	return time.Since(since)
}

// RecordSent records that a request is sent to the server.
func (s *Server) RecordSent() {
	if s.OwnLoad().Requests > 0 {
		return
	}
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	s.health.busySince = time.Now()
}

// RecordUnresponsive records that the server is unreachable or has sent nothing for a
// long time, and reports whether it is now ejected. It is ejected at once unless other
// requests received bytes from it within responsiveWindow.
func (s *Server) RecordUnresponsive(now time.Time) (ejected bool) {
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	return s.health.eject(now)
}

// RecordReportedUnresponsive records that a peer reported the server as unresponsive
// and reports whether it is now ejected.
func (s *Server) RecordReportedUnresponsive(now time.Time) (ejected bool) {
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	s.health.reportedAt = now
	return s.health.eject(now)
}

// eject ejects the server for unresponsiveEjectDuration and reports whether it did:
// a responsive or already ejected server is left unchanged. The caller holds the lock.
func (h *health) eject(now time.Time) bool {
	if now.Sub(h.receivedAt) < responsiveWindow {
		return false
	}
	h.history.suspect(now)
	if now.Before(h.ejectedUntil) {
		return false
	}
	h.ejectedUntil = now.Add(unresponsiveEjectDuration)
	return true
}

// ReportedUnresponsiveSince reports whether a peer reported the server as unresponsive
// after the given time and no bytes of the server have arrived since.
func (s *Server) ReportedUnresponsiveSince(at time.Time) bool {
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	return s.health.reportedAt.After(at) && s.health.reportedAt.After(s.health.receivedAt)
}

// RecordCapacityRefusal records a refusal for lack of capacity.
func (s *Server) RecordCapacityRefusal(now time.Time) {
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	if until := now.Add(fullSkipDuration); s.health.ejectedUntil.Before(until) {
		s.health.ejectedUntil = until
	}
}

// Available reports whether the server is not ejected or skipped at the given time.
func (s *Server) Available(now time.Time) bool {
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	return !now.Before(s.health.ejectedUntil)
}

// IsDegraded reports whether other servers are preferred because of the server's failure
// rate or of a recent failure. A server that fails immediately has the least load and would
// otherwise attract every request.
func (s *Server) IsDegraded(now time.Time) bool {
	s.health.mu.Lock()
	defer s.health.mu.Unlock()
	return s.health.failureRate > degradedFailureRate || now.Sub(s.health.failedAt) < recentFailureWindow
}
