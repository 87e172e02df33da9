package gateway

import (
	"context"

	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/settings"
)

// Suspects quarantines content that crashes backend servers.
type Suspects interface {
	// Check returns whether content is suspect or quarantined, and which servers it
	// must avoid.
	Check(fp quarantine.Fingerprint) quarantine.Verdict
	// Place waits for one of the candidates that may run suspect content and returns
	// its id.
	Place(ctx context.Context, fp quarantine.Fingerprint, attempt string, candidates []string) (string, error)
	// Begin records that an attempt is in flight on a server's process, given by the
	// id that the process reports.
	Begin(server, process string, fp quarantine.Fingerprint, attempt string)
	// End records the end of an attempt and releases the slot acquired by Place;
	// completed is set if the attempt was answered.
	End(attempt string, completed bool)
	// ConnectionLost reports that the connection to a server's process was lost while
	// an attempt was in flight. A retry may be sent only after it returns.
	ConnectionLost(ctx context.Context, server *datastore.Server, process string)
}

// ServerReports receives the outcomes of attempts on backend servers.
type ServerReports interface {
	// ReportFailure records a failed attempt.
	ReportFailure(failure *backend.Error)
	// ReportSuccess records an answered attempt on a server.
	ReportSuccess(server string)
}

// Rater rates answers.
type Rater interface {
	// Rate returns a score from 0 to 1. An error means that no rating is available now.
	Rate(ctx context.Context, rating Rating) (float64, error)
}

// Rating is an answer to rate.
type Rating struct {
	Task    string
	Prompt  string
	Answer  string
	Version settings.VersionRef
}

// AcceptableScore is the minimum score of an acceptable answer.
const AcceptableScore = 0.5
