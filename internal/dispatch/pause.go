package dispatch

import (
	"context"
	"time"

	"github.com/basilrail/basilrail/internal/fifo"
	"github.com/basilrail/basilrail/internal/fleet"
)

const (
	// pauseEndSpacing is the time between two requests that waited for the end of a
	// pause, so that they do not all return to the same server at once.
	pauseEndSpacing = 5 * time.Millisecond
	// pauseCheckInterval is how often a waiting request checks whether it can still be
	// served in time.
	pauseCheckInterval = 50 * time.Millisecond
	// minServiceFraction is the fraction of the target latency that must remain after
	// the end of a pause for a request to wait for it.
	minServiceFraction = 0.25
	// returnSpread is the range of the random delay that is added to the retry delay of
	// refused requests, so that their callers do not all return at once.
	returnSpread = 200 * time.Millisecond
)

// placeInTurn places the request. If all servers that could take it asked for a pause,
// the request waits for the first of them, in the order of arrival. One that could not be
// served before its deadline is refused at once.
func (x *exchange) placeInTurn(ctx context.Context) (*placement, *Refusal) {
	queue := x.d.queue(x.service)
	if queue.Len() == 0 {
		p, refusal := x.place()
		if refusal == nil || refusal.Reason != ServersPaused {
			return p, refusal
		}
		if !x.canWait(refusal, 0) {
			return nil, x.spread(refusal, 0)
		}
	}
	turn := queue.Join()
	defer turn.Leave()
	if refusal := x.awaitTurn(ctx, turn); refusal != nil {
		return nil, refusal
	}
	for {
		p, refusal := x.place()
		if refusal == nil || refusal.Reason != ServersPaused {
			return p, refusal
		}
		if !x.canWait(refusal, 0) {
			return nil, x.spread(refusal, 0)
		}
		if refusal := x.sleep(ctx, min(refusal.RetryAfter, pauseCheckInterval)); refusal != nil {
			return nil, refusal
		}
	}
}

// awaitTurn waits until the request is at the front of the queue, as long as it can be
// served in time.
func (x *exchange) awaitTurn(ctx context.Context, turn *fifo.Place) *Refusal {
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	for {
		if refusal := x.checkStop(); refusal != nil {
			return refusal
		}
		if refusal := x.pausedRefusal(x.d.Fleet.Snapshot(), time.Now()); refusal != nil && !x.canWait(refusal, turn.Ahead()) {
			return x.spread(refusal, turn.Ahead())
		}
		select {
		case <-turn.Front():
			return nil
		case <-ticker.C:
		case <-ctx.Done():
			return x.interrupted()
		}
	}
}

func (x *exchange) sleep(ctx context.Context, d time.Duration) *Refusal {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return x.interrupted()
	}
}

// interrupted is the refusal of a request whose deadline passed, or whose caller
// disconnected, while it waited.
func (x *exchange) interrupted() *Refusal {
	return &Refusal{Reason: TimedOut, Execution: x.execution, RetryAfter: shortRetryAfter}
}

// canWait reports whether the request can be served before its deadline after the pause
// that a refusal names, and after the requests that wait ahead of it.
func (x *exchange) canWait(refusal *Refusal, ahead int) bool {
	needed := refusal.RetryAfter + time.Duration(ahead)*pauseEndSpacing +
		time.Duration(minServiceFraction*float64(x.route.TargetLatency))
	return time.Until(x.deadline) > needed
}

// spread delays the return of the caller of a refused request beyond the end of the
// pause: until the requests ahead of it are placed, and by a random time.
func (x *exchange) spread(refusal *Refusal, ahead int) *Refusal {
	if refusal.ElsewhereSooner {
		refusal.RetryAfter = min(refusal.RetryAfter, longRetryAfter)
	}
	refusal.RetryAfter += time.Duration(ahead)*pauseEndSpacing + time.Duration(x.d.draw()*float64(returnSpread))
	return refusal
}

// pausedRefusal returns the refusal of a request for which there is no server but those
// that asked for a pause, or named a limit of which this instance has used its part; nil if
// there is none of these.
func (x *exchange) pausedRefusal(snap *fleet.Snapshot, now time.Time) *Refusal {
	release, ok := x.releaseIn(snap)
	if !ok {
		return nil
	}
	var earliest time.Time
	isLimit := false
	for _, server := range snap.Candidates(x.service, release) {
		if status := server.Status(); status.Draining || status.Evacuated {
			continue
		}
		until := server.PausedUntil()
		wait := x.d.Limits.Next(server.ID)
		limited := wait > 0 && until.Before(now.Add(wait))
		if limited {
			until = now.Add(wait)
		}
		if !now.Before(until) {
			return nil
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest, isLimit = until, limited
		}
	}
	if earliest.IsZero() {
		return nil
	}
	return &Refusal{Reason: ServersPaused, Execution: x.execution, RetryAfter: earliest.Sub(now), ElsewhereSooner: isLimit}
}
