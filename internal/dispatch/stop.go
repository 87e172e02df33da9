package dispatch

import (
	"context"
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
)

// stoppingRetryAfter is the retry delay of a request that a stopping instance refuses. Other
// instances serve it.
const stoppingRetryAfter = 100 * time.Millisecond

// stop is the end of an instance.
type stop struct {
	// acceptUntil is when the last request is accepted, and endsAt when all must have been answered.
	acceptUntil, endsAt time.Time
}

// Stop makes the dispatcher send nothing from acceptUntil on whose answer might not come before
// endsAt, and give up at endsAt what is not answered.
func (d *Dispatcher) Stop(acceptUntil, endsAt time.Time) {
	d.stop.Store(&stop{acceptUntil: acceptUntil, endsAt: endsAt})
	time.AfterFunc(time.Until(endsAt), d.end)
}

// Ended is done once the dispatcher gives up what is not answered.
func (d *Dispatcher) Ended() context.Context { return d.ended }

// IsClosing reports whether the time is over in which a stopping instance accepts requests. It
// reads the clock, as a timer may be late.
func (d *Dispatcher) IsClosing() bool {
	s := d.stop.Load()
	return s != nil && !time.Now().Before(s.acceptUntil)
}

// IsStopping reports whether Stop was called.
func (d *Dispatcher) IsStopping() bool { return d.stop.Load() != nil }

// RefuseStopping refuses a request because the instance ends before it could serve it.
func (d *Dispatcher) RefuseStopping(req *Request, out Responder) {
	d.Refuse(req, out, Refusal{Reason: Stopping, Execution: apierror.NotRun, RetryAfter: stoppingRetryAfter})
}

// checkStop returns a refusal if the instance stops and an attempt that began now might be cut off at its
// end. Two kinds of requests go on, since a refusal would not let another instance serve them: a stream
// that has begun, and one that may be repeated and may have run, if its target latency is within the
// time that is left.
func (x *exchange) checkStop() *Refusal {
	s := x.d.stop.Load()
	if s == nil || x.streamStarted || time.Now().Before(s.acceptUntil) || !x.deadline.After(s.endsAt) {
		return nil
	}
	mayHaveRun := x.isInFlight || x.execution != apierror.NotRun
	if mayHaveRun && x.route.Repeatable() && time.Until(s.endsAt) >= x.route.TargetLatency {
		return nil
	}
	return &Refusal{Reason: Stopping, Execution: x.execution, RetryAfter: stoppingRetryAfter}
}
