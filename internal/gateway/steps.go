package gateway

import (
	"context"

	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/settings"
)

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
	Succeeded(server string)
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
