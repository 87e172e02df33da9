// Package admin serves the operators' HTTP API. Operators control the system only
// through settings: every action commits a conditional settings change.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/basilrail/basilrail/internal/adminapi"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/configsync"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/findings"
	"github.com/basilrail/basilrail/internal/settings"
)

// Settings is the part of configsync.Syncer that the API uses.
type Settings interface {
	// Snapshot returns the settings in effect.
	Snapshot() *settings.Snapshot
	// Document returns the document in effect at a path.
	Document(path string) (doc settings.Document, ok bool)
	// Documents returns the documents at and below a path and their settings revision.
	Documents(subtree string) ([]settings.Document, uint64)
	// Check returns the findings that the documents would cause.
	Check(docs []settings.Document) findings.List
	// ApplyIf commits a change if allowed returns nil for the settings it is based on.
	ApplyIf(ctx context.Context, change settings.Change, allowed func(*settings.Snapshot) error) (configsync.ApplyResult, error)
	// Status returns the state of every instance.
	Status(ctx context.Context) []configsync.InstanceStatus
	// Refresh reads the latest settings.
	Refresh(ctx context.Context) error
	// Confirmed returns ok if the settings are confirmed to be current, otherwise the
	// reason and the retry delay.
	Confirmed() (ok bool, reason string, retryAfter time.Duration)
}

var _ Settings = (*configsync.Syncer)(nil)

// Rollouts provides the evidence collected for the new version of a rollout.
type Rollouts interface {
	// Evidence returns the counts of good and bad answers of a version.
	Evidence(ref settings.VersionRef) adminapi.Evidence
}

// Explainer looks up the record of a request, whichever instance served it.
type Explainer interface {
	// Explain returns the request's client account and its record as JSON; ok is
	// false if no instance that answers has the record.
	Explain(ctx context.Context, requestID string) (account settings.AccountID, record json.RawMessage, ok bool)
}

// Bills reads the stored bills page by page.
type Bills interface {
	// List returns at most limit bills of a client account, or of all accounts if
	// account is empty, that follow the cursor after. next is the cursor of the
	// next page, empty on the last.
	List(ctx context.Context, account settings.AccountID, after string, limit int) (bills []billing.Record, next string, err error)
}

// Options configures the API. Rollouts, Explainer and Bills may be nil.
type Options struct {
	Settings  Settings
	Rollouts  Rollouts
	Explainer Explainer
	Bills     Bills
	Log       *events.Logger
	// BootstrapKeySHA256 is the hash of a key that has full access while no
	// settings exist; empty for no such key.
	BootstrapKeySHA256 string
}

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 2 << 20

type api struct {
	Options
}

// New returns the API's handler.
func New(opts Options) http.Handler {
	a := &api{Options: opts}
	router := chi.NewRouter()
	router.Use(a.authenticate)
	router.Get(adminapi.PathSettings, a.getSettings)
	router.Get(adminapi.PathTree, a.getTree)
	router.Post(adminapi.PathDiff, a.postDiff)
	router.Post(adminapi.PathCheck, a.postCheck)
	router.Post(adminapi.PathApply, a.postApply)
	router.Get(adminapi.PathStatus, a.getStatus)
	router.Get(adminapi.PathRollouts, a.getRollouts)
	router.Post(adminapi.PathRollouts+"/{team}/{name}/{action}", a.postRollout)
	router.Post(adminapi.PathWithdraw, a.postWithdraw)
	router.Get(adminapi.PathRequests+"/{id}", a.getRequest)
	router.Get(adminapi.PathBills, a.getBills)
	router.NotFound(func(w http.ResponseWriter, _ *http.Request) { notFound("path").Write(w) })
	return router
}
