package entry

import (
	"context"

	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/configsync"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/platform"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/settings"

	"github.com/pkg/errors"
)

// applier lets the roll-outs change settings.
type applier struct{ syncer *configsync.Syncer }

// Document returns the newest text known of a path.
func (a applier) Document(path string) (settings.Document, bool) {
	docs, _ := a.syncer.Documents(path)
	if len(docs) == 0 || docs[0].Path != path {
		return settings.Document{}, false
	}
	return docs[0], true
}

// Apply commits a change and tells only its outcome.
func (a applier) Apply(ctx context.Context, change settings.Change) platform.Outcome {
	_, err := a.syncer.Apply(ctx, change)
	var unknown *configsync.UnknownError
	var conflict *configsync.ConflictError
	switch {
	case err == nil:
		return platform.OutcomeCommitted
	case errors.As(err, &conflict):
		return platform.OutcomeConflict
	case errors.As(err, &unknown):
		return platform.OutcomeUnknown
	default:
		return platform.OutcomeNotApplied
	}
}

// suspectTracker tells a crash of a server from the cut of one connection.
type suspectTracker struct {
	*quarantine.Quarantine
}

// Broken counts a crash.
func (s suspectTracker) Broken(_ context.Context, server *datastore.Server, instance string) {
	s.Crashed(server.ID, instance)
}

type serverReports struct{}

func (serverReports) Report(*backend.Error) {}

type dropRecords struct{}

func (dropRecords) Add(*gateway.Record) {}
