// Package admin serves the operators' API. Operators drive the system only by
// settings: every action here ends in a conditional settings change.
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

// Settings is what the API needs of configsync.Syncer.
type Settings interface {
	Snapshot() *settings.Snapshot
	Document(path string) (doc settings.Document, ok bool)
	Documents(subtree string) ([]settings.Document, uint64)
	Check(docs []settings.Document) findings.List
	ApplyIf(ctx context.Context, change settings.Change, allowed func(*settings.Snapshot) error) (configsync.ApplyResult, error)
	Status(ctx context.Context) []configsync.InstanceStatus
	Refresh(ctx context.Context) error
	Vouch() (ok bool, reason string, retryAfter time.Duration)
}

var _ Settings = (*configsync.Syncer)(nil)

// Rollouts tells what is known of a version on roll-out.
type Rollouts interface {
	Evidence(ref settings.VersionRef) adminapi.Evidence
}

// Explainer finds what a request did, wherever in the fleet it was served.
type Explainer interface {
	// Explain returns the request's client account and its record as JSON; ok is
	// false if no instance remembers it.
	Explain(ctx context.Context, requestID string) (account settings.AccountID, record json.RawMessage, ok bool)
}

// Bills lists bills.
type Bills interface {
	// List returns the bills of a client account, or of all if it is empty, after
	// a cursor, and the cursor of the next page, empty on the last.
	List(ctx context.Context, account settings.AccountID, after string, limit int) (bills []billing.Record, next string, err error)
}

// Options are what the API needs. Rollouts, Explainer and Bills may be nil.
type Options struct {
	Settings  Settings
	Rollouts  Rollouts
	Explainer Explainer
	Bills     Bills
	Log       *events.Logger
	// BootstrapKeySHA256 is the hash of a key that may do everything while there
	// are no settings at all; empty for none.
	BootstrapKeySHA256 string
}

// maxBodyBytes bounds a request's body.
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
