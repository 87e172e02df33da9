// Package retry decides whether and when a failed attempt is retried. Only requests
// that certainly did not run, or that may run twice, are retried, within a budget
// that keeps retries from amplifying an overload.
package retry

import (
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
)

// Outcome is how an attempt without a usable answer ended.
type Outcome int

// The outcomes. The first group proves that the attempt did not run.
const (
	// OutcomeConnectFailed means that no connection was established; nothing was sent.
	OutcomeConnectFailed Outcome = iota + 1
	// OutcomeNotSent means that the attempt ended before its first byte was sent.
	OutcomeNotSent
	// OutcomeNoCapacity means that the server refused for lack of capacity.
	OutcomeNoCapacity
	// OutcomeDraining means that the server refused because it is draining.
	OutcomeDraining
	// OutcomeNotLoaded means that the server refused because the version is not loaded.
	OutcomeNotLoaded

	// OutcomeDisconnected means that the connection was lost after the first byte was sent.
	OutcomeDisconnected
	// OutcomeTimeout means that no answer arrived in time.
	OutcomeTimeout
	// OutcomeCrashed means that the server process exited during the attempt.
	OutcomeCrashed
	// OutcomeServerError means that the server ran the request and failed.
	OutcomeServerError

	// OutcomeRejected means that the server rejected the request as invalid.
	OutcomeRejected
	// OutcomeCallerGone means that the caller cancelled.
	OutcomeCallerGone
)

var outcomeNames = map[Outcome]string{
	OutcomeConnectFailed: "connect_failed",
	OutcomeNotSent:       "not_sent",
	OutcomeNoCapacity:    "no_capacity",
	OutcomeDraining:      "leaving",
	OutcomeNotLoaded:     "not_loaded",
	OutcomeDisconnected:  "broken",
	OutcomeTimeout:       "timeout",
	OutcomeCrashed:       "crashed",
	OutcomeServerError:   "server_error",
	OutcomeRejected:      "rejected",
	OutcomeCallerGone:    "caller_gone",
}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// Execution returns the execution status that the outcome implies.
func (o Outcome) Execution() apierror.ExecutionStatus { return Attempt{Outcome: o}.execution() }

// Attempt describes a failed attempt to Decide.
type Attempt struct {
	Outcome Outcome
	// Number is the number of this attempt of the request, from 1.
	Number int
	// Idempotent requests may run more than once.
	Idempotent bool
	// ServerHonoursKey means that the server itself runs a request key at most
	// once, so that the request may be sent to the same server again.
	ServerHonoursKey bool
	// AnswerStarted means that the caller has already received part of the answer.
	AnswerStarted bool
	// OtherServers is the number of allowed servers not yet tried.
	OtherServers int
	// Remaining is the time to the request's deadline.
	Remaining time.Duration
}

// Action is what to do after a failed attempt.
type Action int

// The actions.
const (
	// Stop ends the request with the decision's Execution and Code.
	Stop Action = iota + 1
	// RetryElsewhere sends the request to another server.
	RetryElsewhere
	// RetrySame sends the request to the same server with the same key.
	RetrySame
)

// Decision is what to do after a failed attempt and, if the request ends, the
// refusal sent to the caller.
type Decision struct {
	Action Action
	// Delay is the time to wait before the next attempt.
	Delay time.Duration
	// Execution and Code describe the refusal when Action is Stop.
	Execution apierror.ExecutionStatus
	Code      apierror.Code
}

// MaxAttempts bounds one request's attempts, whatever its route allows.
const MaxAttempts = 4

// Decide returns whether and where a failed attempt may be retried. It is a pure
// function: a retry also needs a token of the Budget, see Retrier.
func Decide(a Attempt) Decision {
	stop := Decision{Action: Stop, Execution: a.execution(), Code: a.code()}
	switch {
	case a.Outcome == OutcomeRejected, a.Outcome == OutcomeCallerGone, a.AnswerStarted:
		return stop
	case a.Number >= MaxAttempts, a.Remaining <= 0:
		return stop
	case a.repeatable() && a.OtherServers > 0:
		return Decision{Action: RetryElsewhere}
	case a.ServerHonoursKey && !a.sameServerCannotServe():
		return Decision{Action: RetrySame}
	default:
		return stop
	}
}

// repeatable reports whether another server may run the request.
func (a Attempt) repeatable() bool { return a.Idempotent || a.execution() == apierror.NotRun }

// sameServerCannotServe reports whether the state of the server rules out a retry
// there.
func (a Attempt) sameServerCannotServe() bool {
	return a.Outcome == OutcomeDraining || a.Outcome == OutcomeNotLoaded || a.Outcome == OutcomeServerError
}

// execution returns the execution status of the attempt.
func (a Attempt) execution() apierror.ExecutionStatus {
	switch a.Outcome {
	case OutcomeConnectFailed, OutcomeNotSent, OutcomeNoCapacity, OutcomeDraining, OutcomeNotLoaded, OutcomeRejected:
		return apierror.NotRun
	case OutcomeServerError:
		return apierror.DidRun
	default:
		return apierror.MayHaveRun
	}
}

// code returns the error code of the refusal when the attempt is not retried.
func (a Attempt) code() apierror.Code {
	switch a.Outcome {
	case OutcomeNoCapacity:
		return apierror.CodeOverloaded
	case OutcomeConnectFailed, OutcomeNotSent, OutcomeDraining, OutcomeNotLoaded:
		return apierror.CodeNoServer
	case OutcomeRejected:
		return apierror.CodeBadRequest
	case OutcomeTimeout:
		return apierror.CodeDeadline
	case OutcomeDisconnected, OutcomeCrashed, OutcomeCallerGone:
		return apierror.CodeInterrupted
	default:
		return apierror.CodeBackendFailed
	}
}
