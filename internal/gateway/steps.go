package gateway

import (
	"context"
	"time"

	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/settings"
)

// Ticket asks for admission of one attempt.
type Ticket struct {
	Account settings.AccountID
	Weight  float64
	// Target is "model@version" or the service's name.
	Target string
	// Tokens is the estimated cost.
	Tokens   int64
	Deadline time.Time
}

// Grant is an admitted attempt; Release must be called once.
type Grant interface {
	// Priority is the engine's priority, higher is sooner.
	Priority() int
	// Release returns the room with the tokens really used.
	Release(tokens int64)
}

// Admission shares backend servers among client accounts.
type Admission interface {
	// Acquire waits for the ticket's turn. An error is an *AdmissionError.
	Acquire(ctx context.Context, t Ticket) (Grant, error)
}

// AdmissionError tells that an attempt was given up before it was sent.
type AdmissionError struct {
	// Deadline is set when the deadline can't be met, and not for a full queue.
	Deadline   bool
	RetryAfter time.Duration
}

// Error says why the attempt was given up.
func (e *AdmissionError) Error() string {
	if e.Deadline {
		return "the deadline can't be met"
	}
	return "the queue is full"
}

// Suspects keeps content that crashes backend servers from running again.
type Suspects interface {
	Check(fp quarantine.Fingerprint) quarantine.Verdict
	Place(ctx context.Context, fp quarantine.Fingerprint, attempt string, candidates []string) (string, error)
	Begin(server, instance string, fp quarantine.Fingerprint, attempt string)
	End(attempt string, whole bool)
	// Broken tells that a connection of a server's process broke with the attempt
	// in flight. A retry may leave after it returns.
	Broken(ctx context.Context, server *datastore.Server, instance string)
}

// ServerReports hears how attempts on backend servers ended.
type ServerReports interface {
	Report(failure *backend.Error)
}

// Rater rates answers.
type Rater interface {
	// Rate returns a score of 0 to 1. An error means that no rating is to be had now.
	Rate(ctx context.Context, rating Rating) (float64, error)
}

// Rating is an answer to rate.
type Rating struct {
	Task    string
	Prompt  string
	Answer  string
	Version settings.VersionRef
}

// AcceptableScore is the least score of an acceptable answer.
const AcceptableScore = 0.5
