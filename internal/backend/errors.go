package backend

import (
	"fmt"
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
)

// Fate is what is known of an attempt that gave no usable answer.
type Fate int

// The fates, from the least to the most that may have happened.
const (
	// NotSent means that no byte of the request left this instance.
	NotSent Fate = iota + 1
	// Refused means that the backend server proved that it did not run the request.
	Refused
	// Broken means that the request was sent and its fate is not known.
	Broken
	// Answered means that the backend server ran the request and answered with a failure.
	Answered
)

// Error is an attempt that gave no usable answer.
type Error struct {
	Fate   Fate
	Server string
	// Status is the HTTP status of a refusal or failure; zero without one.
	Status int
	// Leaving is set when the server said that it is leaving.
	Leaving bool
	// Crashed is set when the connection broke while the request was in flight.
	Crashed bool
	// RetryAfter is when the server said to come back.
	RetryAfter time.Duration
	cause      error
}

// Error describes the attempt's end.
func (e *Error) Error() string {
	return fmt.Sprintf("backend server %s: %s (status %d): %v", e.Server, e.Fate, e.Status, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// String names the fate.
func (f Fate) String() string {
	switch f {
	case NotSent:
		return "not sent"
	case Refused:
		return "refused"
	case Broken:
		return "broken"
	case Answered:
		return "answered with a failure"
	default:
		return "unknown"
	}
}

// Ran tells callers what the fate means for them.
func (f Fate) Ran() apierror.Ran {
	switch f {
	case NotSent, Refused:
		return apierror.NotRun
	case Answered:
		return apierror.DidRun
	default:
		return apierror.MayHaveRun
	}
}
