package dispatch

import (
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
)

// Reason is why a request was not answered.
type Reason string

const (
	// NoConfiguration: the instance has not read a configuration yet.
	NoConfiguration Reason = "no_configuration"
	// NotConfirmed: the keys in effect were not confirmed recently enough.
	NotConfirmed Reason = "configuration_not_confirmed"
	// NoRoute: no route matches the host and path.
	NoRoute Reason = "no_route"
	// BadKey: the key belongs to no client account.
	BadKey Reason = "unknown_key"
	// NoServer: no backend server can take the request at present.
	NoServer Reason = "no_server"
	// Evacuated: operators evacuate all failure domains that have a backend server for the request.
	Evacuated Reason = "evacuated"
	// ServersPaused: all backend servers that could take the request asked for a pause
	// that ends too late for it, or take no more requests from this instance.
	ServersPaused Reason = "servers_paused"
	// Overloaded: the backend servers refused the request for lack of capacity.
	Overloaded Reason = "overloaded"
	// OverShare: the service is short of capacity, and the account or the priority of the request has used its share.
	OverShare Reason = "over_share"
	// TimedOut: the caller's deadline or the route's timeout passed.
	TimedOut Reason = "timed_out"
	// ServerFailed: a backend server failed while it may have run the request.
	ServerFailed Reason = "server_failed"
	// CallerGone: the caller closed its connection.
	CallerGone Reason = "caller_gone"
	// Rejected: a backend server rejected the request as invalid.
	Rejected Reason = "rejected"
	// Quarantined: the content made several servers disconnect while they ran it.
	Quarantined Reason = "quarantined"
	// Withdrawn: a configuration change disallowed the request before it was sent.
	Withdrawn Reason = "withdrawn"
	// Stopping: the instance ends before it could serve the request.
	Stopping Reason = "stopping"
)

// Refusal ends a request without an answer.
type Refusal struct {
	Reason Reason
	// Execution is the execution status of the request. NotRun is a guarantee.
	Execution apierror.ExecutionStatus
	// RetryAfter is when the caller may retry; zero for no retry.
	RetryAfter time.Duration
	// ElsewhereSooner reports that another instance may serve the request sooner: this one
	// has used its part of the limits that the servers named.
	ElsewhereSooner bool
}

// isFinal reports whether the request is refused whichever server is asked.
func (r *Refusal) isFinal() bool {
	switch r.Reason {
	case CallerGone, Rejected, Quarantined, Withdrawn, NotConfirmed, BadKey, NoRoute:
		return true
	}
	return false
}
