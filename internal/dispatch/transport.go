package dispatch

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/retry"
)

// Transport reaches backend servers.
type Transport interface {
	// Send sends an attempt and returns when the head of the answer has arrived.
	// The error is a *SendError.
	Send(ctx context.Context, a *Attempt) (Answer, error)
}

// Answer is an answer whose head has arrived. It must be closed.
type Answer interface {
	// Head returns the head of the answer.
	Head() Head
	// Body reads the complete body. The error is a *SendError.
	Body() ([]byte, error)
	// Next reads the next event. It returns io.EOF after the last event of a
	// complete stream; any other error is a *SendError.
	Next() (Event, error)
	// Keep lets the caller use a body that was read after Close, until it calls release.
	Keep() (release func())
	// Close ends the attempt; the server stops if the answer was not read to the
	// end.
	Close()
}

// LinkState says what is known of the links that an attempt used.
type LinkState int

const (
	// LinkUnconfirmed means that the fault may be one of the links of this instance.
	LinkUnconfirmed LinkState = iota
	// LinkSound means that the links work: the server has the fault.
	LinkSound
	// LinkLost means that the attempt says nothing about the server.
	LinkLost
)

// SendError is the error of an attempt that ended without a complete answer.
type SendError struct {
	Outcome retry.Outcome
	Link    LinkState
	cause   error
}

// NewSendError returns a SendError with an outcome and its cause.
func NewSendError(outcome retry.Outcome, cause error) *SendError {
	return &SendError{Outcome: outcome, cause: cause}
}

// WithLink sets what is known of the links and returns the error.
func (e *SendError) WithLink(link LinkState) *SendError {
	e.Link = link
	return e
}

// Error returns the outcome and its cause.
func (e *SendError) Error() string { return fmt.Sprintf("%s: %s", e.Outcome, e.cause) }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.cause }

// linkOf returns what an error says about the links; LinkUnconfirmed if it says nothing.
func linkOf(err error) LinkState {
	var failed *SendError
	if errors.As(err, &failed) {
		return failed.Link
	}
	return LinkUnconfirmed
}

// outcomeOf returns the outcome of an error returned by a Transport.
func outcomeOf(err error) retry.Outcome {
	var failed *SendError
	if errors.As(err, &failed) {
		return failed.Outcome
	}
	return retry.OutcomeDisconnected
}
