package dispatch

import (
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
)

// Reason is why a request gets no answer.
type Reason string

// The reasons.
const (
	// NoConfiguration: the instance knows no configuration yet.
	NoConfiguration Reason = "no_configuration"
	// NotVouched: the keys in force were not confirmed lately enough.
	NotVouched Reason = "configuration_not_confirmed"
	// NoRoute: no route answers the host and path.
	NoRoute Reason = "no_route"
	// BadKey: the key belongs to no client account.
	BadKey Reason = "unknown_key"
	// NoServer: no backend server can take the request now.
	NoServer Reason = "no_server"
	// Overloaded: the backend servers refused it for lack of room.
	Overloaded Reason = "overloaded"
	// TimedOut: the caller's deadline or the route's timeout passed.
	TimedOut Reason = "timed_out"
	// ServerFailed: a backend server failed while it may have run the request.
	ServerFailed Reason = "server_failed"
	// CallerGone: the caller closed its connection.
	CallerGone Reason = "caller_gone"
	// Rejected: a backend server found the request itself at fault.
	Rejected Reason = "rejected"
	// Quarantined: the request broke the servers that ran it.
	Quarantined Reason = "quarantined"
	// Withdrawn: the configuration stopped allowing the request before it was sent.
	Withdrawn Reason = "withdrawn"
)

// Refusal ends a request without an answer.
type Refusal struct {
	Reason Reason
	// Ran tells what is known of the request's execution. NotRun is a promise.
	Ran apierror.Ran
	// RetryAfter is when to come back; zero for not at all.
	RetryAfter time.Duration
}
