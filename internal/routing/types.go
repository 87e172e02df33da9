// Package routing holds the routes, services and client accounts in effect: which
// service answers a host and path, under which limits, and which client account each
// key belongs to. A Table is immutable and replaces the previous one as a whole.
package routing

import "time"

// Kind is whether and how requests of a route may be repeated.
type Kind int

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered with a stream of events.
	Streaming
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Streaming:
		return "streaming"
	}
	return "unknown"
}

// Target is a service that a route may send requests to.
type Target struct {
	Service string
	// Weight is the service's weight relative to the route's other targets.
	Weight int
}

// Route is the handling of requests for a host below a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue on another backend server after the last event.
	Resumable bool
	// CarriesPrompt routes lead to model servers; their requests contain the parts of
	// the prompt.
	CarriesPrompt bool
	// Anonymous routes need no key.
	Anonymous bool
	// Timeout is the maximum time that a caller waits, as set by the operator.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a stream, that
	// callers expect.
	TargetLatency time.Duration
	// MaxEventGap is the longest interval between two events that callers expect.
	MaxEventGap time.Duration
	// Priority is the route's priority; zero is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of times that one request is sent to a backend
	// server. Attempts that fail before anything is sent do not count.
	MaxAttempts int
	// Models are the models that may answer, cheapest first; empty if the caller
	// selects the model.
	Models  []string
	Targets []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// Cost is the cost of 1,000 generated tokens by model.
	Cost map[string]float64
	// EventTokens is the number of tokens in an event of a stream; zero if it is unknown.
	EventTokens int
	// ColdStart is how long a server is cold after its start; zero if the service has no cold servers.
	ColdStart time.Duration
	// ColdRate is the number of requests a second that a cold server bears, from all instances together; zero for no limit.
	ColdRate float64
}

// HasColdServers reports whether the requests to cold servers of the service are limited.
func (s *Service) HasColdServers() bool { return s.ColdStart > 0 && s.ColdRate > 0 }

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds the requests of a caller.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is the input from which New builds a Table.
type Config struct {
	// Version increases with each change, not always by one.
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Keys maps each key to its client account. Nil means that keys are not required.
	Keys map[string]*Account
}
