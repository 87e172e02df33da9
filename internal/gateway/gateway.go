// Package gateway serves callers. It runs each request through identification,
// planning, claim, attempts, rating and billing to its answer; the state chart
// "request" defines the allowed order of these steps.
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
	// defaultDeadline is a request's time budget if neither the caller nor the team sets one.
	defaultDeadline = 60 * time.Second
	// maxDeadline is the longest time budget that a caller may ask for.
	maxDeadline = 10 * time.Minute
)

// Readiness reports whether this instance can accept new work.
type Readiness interface {
	// Ready returns nil, or the refusal to answer with.
	Ready() *apierror.Error
}

// Claims is the claim service, which ensures that a keyed call runs at most once.
type Claims interface {
	// Acquire claims a key for a request and returns the state of the claim.
	Acquire(ctx context.Context, key claim.Key, fingerprint [32]byte, requestID string) claim.Result
	// Complete records the outcome of a claimed request.
	Complete(ctx context.Context, key claim.Key, requestID string, outcome claim.Outcome) error
	// Release gives up the claim of a request that did not run.
	Release(ctx context.Context, key claim.Key, requestID string) error
}

// Bills is the billing ledger.
type Bills interface {
	// Admit returns an error when the ledger has no room for another bill.
	Admit() error
	// Record returns nil once the bill is durable.
	Record(ctx context.Context, r billing.Record) error
}

// Versions chooses the version of a model and collects evidence from rated answers.
type Versions interface {
	// Choose returns the version for a new session; ok is false if none may be used now.
	Choose(id settings.AccountID, session, model string) (choice rollout.Choice, ok bool)
	// Suspended reports whether the version is currently suspended for the account's team.
	Suspended(id settings.AccountID, ref settings.VersionRef) bool
	// Observe records a rated answer as evidence.
	Observe(id settings.AccountID, ref settings.VersionRef, good bool)
	// MustRate reports whether every answer of the version must be rated.
	MustRate(id settings.AccountID, ref settings.VersionRef) bool
}

// Tokens issues and verifies session tokens.
type Tokens interface {
	// Issue returns a signed token of a session.
	Issue(s session.Session, keys []settings.TokenKey) (string, error)
	// Verify returns the session of an account's token, or an error if it is not valid.
	Verify(token string, account settings.AccountID, keys []settings.TokenKey) (session.Session, error)
}

// Options holds the dependencies and limits of a Gateway.
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
	// StreamTime is how long a streamed answer may continue after the request's
	// deadline.
	StreamTime time.Duration
	// WriteTimeout bounds each write of an answer to the caller; zero means no
	// limit.
	WriteTimeout time.Duration
	// Connections, the number of requests in flight, and BodyBytes are the defaults
	// for client accounts without limits of their own.
	Connections int
	BodyBytes   int64
	// FailureDomain is the failure domain of this instance.
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

// Wait blocks until no request is in flight. The server must stop accepting
// requests first.
func (g *Gateway) Wait() { g.inFlight.Wait() }

// random returns a separately seeded source for one decision, so that decisions
// hold the shared lock only while seeding.
func (g *Gateway) random() *rand.Rand {
	g.randMu.Lock()
	defer g.randMu.Unlock()
	return rand.New(rand.NewPCG(g.Rand.Uint64(), g.Rand.Uint64()))
}

// newSessionID generates a session's id. A rollout selects the session's version
// by this id, so it comes from the seeded source. It needs no secrecy because
// the token is signed.
func (g *Gateway) newSessionID() string {
	source := g.random()
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], source.Uint64())
	binary.BigEndian.PutUint64(id[8:], source.Uint64())
	return id.String()
}
