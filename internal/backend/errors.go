package backend

import (
	"fmt"
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
)

// Outcome is the known outcome of an attempt without a usable answer.
type Outcome int

// The outcomes, ordered by how far the request may have been executed.
const (
	// NotSent means that no byte of the request left this instance.
	NotSent Outcome = iota + 1
	// Refused means that the backend server confirmed that it did not run the request.
	Refused
	// OutcomeUnknown means that the request was sent and its outcome is unknown.
	OutcomeUnknown
	// Answered means that the backend server ran the request and returned an error status.
	Answered
)

// Error describes an attempt without a usable answer.
type Error struct {
	Outcome Outcome
	Server  string
	// Status is the HTTP status of a refusal or failure, or zero.
	Status int
	// Draining is set if the server refused the request because it is draining.
	Draining bool
	// Crashed is set if the connection was lost while the request was in flight and
	// the attempt was not cancelled on this side.
	Crashed bool
	// RetryAfter is the delay from the server's Retry-After header, or zero.
	RetryAfter time.Duration
	cause      error
}

// Error returns the server, outcome, status and cause as text.
func (e *Error) Error() string {
	return fmt.Sprintf("backend server %s: %s (status %d): %v", e.Server, e.Outcome, e.Status, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// String returns the outcome's name as it is stored in request records.
func (o Outcome) String() string {
	switch o {
	case NotSent:
		return "not sent"
	case Refused:
		return "refused"
	case OutcomeUnknown:
		return "broken"
	case Answered:
		return "answered with a failure"
	default:
		return "unknown"
	}
}

// Execution returns the execution status to report to callers.
func (o Outcome) Execution() apierror.ExecutionStatus {
	switch o {
	case NotSent, Refused:
		return apierror.NotRun
	case Answered:
		return apierror.DidRun
	default:
		return apierror.MayHaveRun
	}
}
