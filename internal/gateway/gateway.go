// Package gateway serves callers. It takes each request from its
// identification through planning, claim, attempts, judgement and bill to its
// answer; the state chart "request" holds the order of the steps.
package gateway

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/trace"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/cascade"
	"github.com/basilrail/basilrail/internal/claim"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/flowcontrol"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/rollout"
	"github.com/basilrail/basilrail/internal/session"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
)

const (
	// defaultDeadline is a request's time budget where neither the caller nor the team sets one.
	defaultDeadline = 60 * time.Second
	// maxDeadline bounds what a caller may ask for.
	maxDeadline = 10 * time.Minute
)

// Readiness tells whether this instance may take new work.
type Readiness interface {
	// Ready returns nil, or the refusal to give.
	Ready() *apierror.Error
}

// Claims is the at-most-once claim service.
type Claims interface {
	Acquire(ctx context.Context, key claim.Key, fingerprint [32]byte, requestID string) claim.Result
	Complete(ctx context.Context, key claim.Key, requestID string, outcome claim.Outcome) error
	Release(ctx context.Context, key claim.Key, requestID string) error
}

// Bills is the ledger.
type Bills interface {
	// Admit returns an error when the ledger has no room for another bill.
	Admit() error
	// Record returns nil once the bill is durable.
	Record(ctx context.Context, r billing.Record) error
}

// Versions chooses the version of a model, and learns from rated answers.
type Versions interface {
	// Choose returns the version for a new session; ok is false where none may be used now.
	Choose(id settings.AccountID, session, model string) (choice rollout.Choice, ok bool)
	// Suspended tells whether the account's team may not use the version for now.
	Suspended(id settings.AccountID, ref settings.VersionRef) bool
	// Observe counts a rated answer as evidence.
	Observe(id settings.AccountID, ref settings.VersionRef, good bool)
	// MustRate tells that each answer of the version should be rated.
	MustRate(id settings.AccountID, ref settings.VersionRef) bool
}

// Tokens issues and verifies session tokens.
type Tokens interface {
	Issue(s session.Session, keys []settings.TokenKey) (string, error)
	Verify(token string, account settings.AccountID, keys []settings.TokenKey) (session.Session, error)
}

// Options is what a Gateway needs.
type Options struct {
	Data      *datastore.Store
	Backend   *backend.Client
	Ready     Readiness
	Tokens    Tokens
	Versions  Versions
	Planner   *cascade.Planner
	Admission *flowcontrol.Controller
	Suspects  Suspects
	Retries   *retry.Retrier
	Servers   ServerReports
	Claims    Claims
	Bills     Bills
	Rater     Rater
	Charts    *statechart.Set
	Records   RecordSink
	Log       *events.Logger
	Tracer    trace.Tracer
	Rand      *rand.Rand
	// StreamTime bounds a streamed answer.
	StreamTime time.Duration
	// WriteTimeout is the time a caller has to take each piece of an answer;
	// zero for no limit.
	WriteTimeout time.Duration
	// Connections and BodyBytes hold for client accounts without limits of their own.
	Connections int
	BodyBytes   int64
	// FailureDomain is this instance's own.
	FailureDomain string
}

// Gateway serves callers.
type Gateway struct {
	Options
	limits   *limitTable
	inFlight sync.WaitGroup
	randMu   sync.Mutex
}

// New makes a gateway.
func New(o Options) *Gateway {
	return &Gateway{Options: o, limits: newLimitTable()}
}

// Handler returns the callers' HTTP interface.
func (g *Gateway) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", g.serve(g.chat))
	r.Get("/v1/models", g.serve(g.models))
	r.HandleFunc("/v1/services/{service}", g.serve(g.service))
	r.HandleFunc("/v1/services/{service}/*", g.serve(g.service))
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		apierror.New(http.StatusNotFound, apierror.CodeNotFound, "no such path").Write(w)
	})
	return r
}

// Wait returns when no request is in flight. New ones must be kept away first.
func (g *Gateway) Wait() { g.inFlight.Wait() }

// random draws a seed for one decision, so that decisions don't share a lock.
func (g *Gateway) random() *rand.Rand {
	g.randMu.Lock()
	defer g.randMu.Unlock()
	return rand.New(rand.NewPCG(g.Rand.Uint64(), g.Rand.Uint64()))
}

// newSessionID draws a session's id. A roll-out chooses a session's version by
// it, so it comes from the seeded source; it is no secret, the token is signed.
func (g *Gateway) newSessionID() string {
	source := g.random()
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], source.Uint64())
	binary.BigEndian.PutUint64(id[8:], source.Uint64())
	return id.String()
}
