package entry

import (
	"context"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/configsync"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/rollout"
	"github.com/basilrail/basilrail/internal/serverwatch"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore"
)

// applier changes settings on behalf of rollouts.
type applier struct{ syncer *configsync.Syncer }

// Document returns the latest known document at a path.
func (a applier) Document(path string) (settings.Document, bool) {
	return a.syncer.Document(path)
}

// Apply commits a change and returns its outcome.
func (a applier) Apply(ctx context.Context, change settings.Change) tablestore.Outcome {
	_, err := a.syncer.Apply(ctx, change)
	var unknown *configsync.OutcomeUnknownError
	var conflict *configsync.ConflictError
	switch {
	case err == nil:
		return tablestore.OutcomeCommitted
	case errors.As(err, &conflict):
		return tablestore.OutcomeConflict
	case errors.As(err, &unknown):
		return tablestore.OutcomeUnknown
	default:
		return tablestore.OutcomeNotApplied
	}
}

// suspectTracker distinguishes a server crash from the loss of one connection.
type suspectTracker struct {
	*quarantine.Quarantine
	servers *serverwatch.Watcher
}

// ConnectionLost records a crash if the server's process has ended.
func (s suspectTracker) ConnectionLost(ctx context.Context, server *datastore.Server, process string) {
	if s.servers.ConfirmCrash(context.WithoutCancel(ctx), server.ID, process) {
		s.Crashed(server.ID, process)
	}
}

// rolloutEvidence adapts the rollout controller to the operators' API.
type rolloutEvidence struct{ controller *rollout.Controller }

// Evidence returns the counts of good and bad answers of a version, summed over all
// teams, and whether the version is suspended for any of them.
func (r rolloutEvidence) Evidence(ref settings.VersionRef) adminapi.Evidence {
	counts, suspended := r.controller.Evidence(ref)
	return adminapi.Evidence{Good: counts.Good, Bad: counts.Bad, Suspended: suspended}
}

// billLister adapts the bill reader to the operators' API.
type billLister struct{ reader *billing.Reader }

// List returns a page of stored bills and the cursor of the next page.
func (b billLister) List(ctx context.Context, account settings.AccountID, after string, limit int) ([]billing.Record, string, error) {
	page, err := b.reader.List(ctx, account, after, limit)
	return page.Bills, page.Next, err
}
