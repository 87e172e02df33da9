package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"net/http"
	"slices"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/claim"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/tracing"
)

// serviceCallTokens is the estimated cost of a service call in the fair queue.
const serviceCallTokens = 100

// forwardedHeaders are the request headers that are forwarded to a plain service.
var forwardedHeaders = []string{"Content-Type", "Accept", HeaderIdempotencyKey}

// returnedHeaders are the response headers that are returned to the caller.
var returnedHeaders = []string{"Content-Type", "Location"}

// serviceCall is one call of a plain service in progress.
type serviceCall struct {
	*request
	name       string
	path       string
	idempotent bool
	// claimed is set once this request owns the permanent claim on its key.
	claimed bool
	service settings.Service
}

// service serves /v1/services/{service}/*.
func (g *Gateway) service(ctx context.Context, r *request) *apierror.Error {
	call, refusal := g.classifyCall(r)
	if refusal != nil {
		return refusal
	}
	if refusal := r.admit(); refusal != nil {
		return refusal
	}
	r.fire(statechart.RequestPlan)
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, context.DeadlineExceeded)
	defer cancel()
	if call.idempotent {
		return call.run(ctx)
	}
	return call.runOnce(ctx)
}

func (g *Gateway) classifyCall(r *request) (*serviceCall, *apierror.Error) {
	name := chi.URLParam(r.http, "service")
	snap := g.Data.Snapshot().Settings
	if refusal := permitService(snap, r.view.ID, name); refusal != nil {
		return nil, refusal
	}
	path := "/" + chi.URLParam(r.http, "*")
	service := snap.Tree.Services[name]
	call := &serviceCall{request: r, name: name, path: path, service: service}
	call.idempotent = service.IsIdempotent(r.http.Method, path)
	if !call.idempotent && r.key == "" {
		return nil, apierror.New(http.StatusBadRequest, apierror.CodeKeyMissing, "this call needs the header %s", HeaderIdempotencyKey)
	}
	return call, nil
}

func permitService(snap *settings.Snapshot, account settings.AccountID, name string) *apierror.Error {
	view, ok := snap.Account(account)
	if !ok || !slices.Contains(view.Team.Services, name) {
		return apierror.New(http.StatusForbidden, apierror.CodeForbidden, "the client account may not call service %q", name)
	}
	return nil
}

// fingerprint returns a hash of the call's method, service, path, query and body.
func (s *serviceCall) fingerprint() [sha256.Size]byte {
	return sha256.Sum256(bytes.Join([][]byte{
		[]byte(s.http.Method), []byte(s.name), []byte(s.path), []byte(s.http.URL.RawQuery), s.body,
	}, []byte{0}))
}

// runOnce acquires the claim of a non-idempotent call and runs the call. If the call
// has completed before, its outcome is replayed; if it is pending or the key was
// used with another request, the call is refused. If the claim service is
// unavailable, the call still runs if all of its servers honour idempotency keys.
func (s *serviceCall) runOnce(ctx context.Context) *apierror.Error {
	result := s.acquire(ctx)
	switch result.Status {
	case claim.Owned:
		s.claimed = true
		s.fire(statechart.RequestClaim)
		return s.run(ctx)
	case claim.Completed:
		s.fire(statechart.RequestReplay)
		return s.replay(result.Outcome)
	case claim.Pending:
		return apierror.New(http.StatusConflict, apierror.CodeInProgress,
			"an earlier request with this key was sent and its outcome is not known").WithExecutionStatus(apierror.MayHaveRun).WithRetryAfter(failureRetryAfter)
	case claim.Mismatch:
		return apierror.New(http.StatusUnprocessableEntity, apierror.CodeKeyReused, "the key was used with another request")
	}
	if s.serversHonourKeys() {
		return s.run(ctx)
	}
	return apierror.New(http.StatusServiceUnavailable, apierror.CodeStoreUnavailable,
		"the call can't be claimed now").WithRetryAfter(storeRetryAfter)
}

func (s *serviceCall) acquire(ctx context.Context) claim.Result {
	ctx, span := startSpan(ctx, s.request, tracing.HopClaim)
	defer span.End()
	return s.gateway.Claims.Acquire(ctx, s.claimKey(), s.fingerprint(), s.id)
}

func (s *serviceCall) claimKey() claim.Key {
	return claim.Key{Account: s.view.ID, RequestKey: s.key}
}

// serversHonourKeys reports whether the settings declare for every backend server of
// the service that the server itself runs each key at most once.
func (s *serviceCall) serversHonourKeys() bool {
	servers := s.gateway.Data.Snapshot().ForService(s.name)
	for _, server := range servers {
		if !server.Settings.Traits.HonoursKeys {
			return false
		}
	}
	return len(servers) > 0
}

// replay answers with the recorded outcome of an earlier request. If the answer
// was too large to store, the reply only says that the request ran.
func (s *serviceCall) replay(outcome *claim.Outcome) *apierror.Error {
	if outcome.BodyOmitted() {
		return apierror.New(http.StatusConflict, apierror.CodeAnswerNotKept,
			"request %s ran with this key and answered status %d; its answer was too large to be kept", outcome.RequestID, outcome.Status).
			WithExecutionStatus(apierror.DidRun)
	}
	s.w.Header().Set(HeaderReplayed, "true")
	s.write(outcome.Status, outcome.Header, outcome.Body)
	return nil
}

func (s *serviceCall) write(status int, header http.Header, body []byte) {
	for _, name := range returnedHeaders {
		if value := header.Get(name); value != "" {
			s.w.Header().Set(name, value)
		}
	}
	s.w.WriteHeader(status)
	// A write error is ignored: the call has run and is recorded even if the
	// caller has disconnected.
	_, _ = s.w.Write(body)
}

// run sends the call and retries failed attempts. A call that is not idempotent is
// retried only if it did not run, or on a server that runs each key at most once.
func (s *serviceCall) run(ctx context.Context) *apierror.Error {
	content := s.fingerprint()
	w := &work{
		r:       s.request,
		service: s.name,
		tokens:  serviceCallTokens,
		content: quarantine.FingerprintOf(content[:]),

		idempotent: s.idempotent,
	}
	for {
		p, refusal := w.place(ctx)
		if refusal != nil {
			return s.releaseUnlessRun(ctx, refusal.WithExecutionStatus(s.execution))
		}
		answer, err := s.send(ctx, p)
		if err == nil {
			return s.handleAnswer(ctx, p, answer)
		}
		if refusal := w.handleFailure(ctx, p, err); refusal != nil {
			return s.releaseUnlessRun(ctx, refusal)
		}
	}
}

// releaseUnlessRun releases the claim if the call is known not to have run, so
// that the caller can retry with the same key. It returns the given refusal.
func (s *serviceCall) releaseUnlessRun(ctx context.Context, refusal *apierror.Error) *apierror.Error {
	if !s.claimed || s.execution != apierror.NotRun {
		return refusal
	}
	err := s.gateway.Claims.Release(context.WithoutCancel(ctx), s.claimKey(), s.id)
	if err != nil {
		s.gateway.Log.Log(events.RequestClaimNotReleased, events.Fields{RequestID: s.id, Account: s.view.ID, Err: err})
	}
	return refusal
}

func (s *serviceCall) send(ctx context.Context, p *placement) (*backend.Answer, error) {
	ctx, span := startSpan(ctx, s.request, tracing.HopAttempt)
	defer span.End()
	answer, err := s.gateway.Backend.Do(ctx, backend.Call{
		AttemptID: p.id,
		Server:    p.server,
		Method:    s.http.Method,
		Path:      s.targetURI(),
		Header:    s.headers(),
		Body:      s.body,
	})
	p.end(ctx, err, serviceCallTokens)
	return answer, err
}

// targetURI returns the path and query for the backend server.
func (s *serviceCall) targetURI() string {
	if s.http.URL.RawQuery == "" {
		return s.path
	}
	return s.path + "?" + s.http.URL.RawQuery
}

func (s *serviceCall) headers() http.Header {
	header := make(http.Header)
	for _, name := range forwardedHeaders {
		if value := s.http.Header.Get(name); value != "" && !strings.ContainsAny(value, "\r\n") {
			header.Set(name, value)
		}
	}
	return header
}

// handleAnswer records the outcome, bills the call and responds to the caller.
func (s *serviceCall) handleAnswer(ctx context.Context, p *placement, answer *backend.Answer) *apierror.Error {
	s.updateExecution(apierror.DidRun)
	s.fire(statechart.RequestAnswer)
	s.fire(statechart.RequestAccept)
	if s.claimed {
		s.complete(ctx, answer)
	}
	p.addBillLine(backend.Usage{}, s.service.CallCost, answer.Status < http.StatusInternalServerError)
	if err := s.bill(ctx); err != nil {
		s.gateway.logBillDelayed(s.request, err)
	}
	s.fire(statechart.RequestBill)
	s.w.Header().Set(HeaderCost, s.billTotal())
	s.write(answer.Status, answer.Header, answer.Body)
	return nil
}

// complete records the outcome with the claim. The claim service retries a
// delayed write; until it succeeds, requests with the same key are refused with the
// status MayHaveRun.
func (s *serviceCall) complete(ctx context.Context, answer *backend.Answer) {
	header := make(http.Header)
	for _, name := range returnedHeaders {
		if value := answer.Header.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	err := s.gateway.Claims.Complete(context.WithoutCancel(ctx), s.claimKey(), s.id, claim.Outcome{
		Status:    answer.Status,
		Header:    header,
		Body:      answer.Body,
		RequestID: s.id,
	})
	if err != nil {
		s.gateway.Log.Log(events.RequestOutcomeDelayed, events.Fields{RequestID: s.id, Account: s.view.ID, Err: err})
	}
}
