package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/flowcontrol"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/scheduling"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/tracing"
)

const (
	// noServerRetryAfter is the Retry-After while no backend server can accept the request.
	noServerRetryAfter = time.Second
	// failureRetryAfter is the Retry-After for a failed or unfinished request.
	failureRetryAfter = 2 * time.Second
)

// work is the part of a request that runs on one version or plain service. Its
// attempts share it.
type work struct {
	r *request
	// version is zero for a plain service.
	version settings.VersionRef
	// service is empty for a model.
	service string
	tokens  int64
	prefix  uint64
	content quarantine.Fingerprint
	// idempotent work may run more than once.
	idempotent bool
	// excluded are the servers that already failed this work.
	excluded       []string
	failedAttempts int
}

// target returns the name of the version or service.
func (w *work) target() string {
	if w.service != "" {
		return w.service
	}
	return w.version.String()
}

// placement is an attempt that has been admitted and assigned to a server.
type placement struct {
	work   *work
	id     string
	server *datastore.Server
	// process is the id that the server's process last reported before the attempt
	// began.
	process string
	grant   *flowcontrol.Grant
	started time.Time
	record  *AttemptRecord
}

// permit checks that the current settings allow the work to run.
func (w *work) permit() *apierror.Error {
	g := w.r.gateway
	snap := g.Data.Snapshot().Settings
	if w.service != "" {
		return permitService(snap, w.r.view.ID, w.service)
	}
	switch snap.Permission(w.r.view.ID, w.version) {
	case settings.VersionWithdrawn:
		return apierror.New(http.StatusConflict, apierror.CodeVersionWithdrawn, "version %s is withdrawn", w.version)
	case settings.NotAllowed:
		return apierror.New(http.StatusForbidden, apierror.CodeVersionForbidden, "the client account may not use version %s", w.version)
	}
	if g.Versions.Suspended(w.r.view.ID, w.version) {
		return apierror.New(http.StatusConflict, apierror.CodeVersionWithdrawn, "version %s is suspended", w.version)
	}
	return nil
}

// place waits in the fair queue and picks a server. The permission and the content
// are checked again after the wait: the settings may have changed meanwhile, and the
// content may have crashed servers.
func (w *work) place(ctx context.Context) (*placement, *apierror.Error) {
	if refusal := w.permit(); refusal != nil {
		return nil, refusal
	}
	if _, refusal := w.checkContent(); refusal != nil {
		return nil, refusal
	}
	p := &placement{work: w, id: w.r.nextAttemptID(), started: time.Now()}
	p.record = w.r.record.attempt(p.id, w.target())
	grant, refusal := w.queue(ctx)
	p.record.Queued = time.Since(p.started)
	if refusal != nil {
		p.record.Outcome = string(refusal.Code)
		return nil, refusal
	}
	p.grant = grant
	if refusal := p.choose(ctx); refusal != nil {
		grant.Release(0)
		// End releases the slot that suspect content may have taken.
		w.r.gateway.Suspects.End(p.id, false)
		p.record.Outcome = string(refusal.Code)
		return nil, refusal
	}
	p.begin()
	return p, nil
}

// checkContent returns whether and where the content may be sent, or the refusal of
// one that is quarantined.
func (w *work) checkContent() (quarantine.Verdict, *apierror.Error) {
	verdict := w.r.gateway.Suspects.Check(w.content)
	if verdict.Quarantined {
		return verdict, quarantineRefusal(verdict.Until)
	}
	return verdict, nil
}

func quarantineRefusal(until time.Time) *apierror.Error {
	return apierror.New(http.StatusUnprocessableEntity, apierror.CodeQuarantined,
		"this content crashed backend servers and is quarantined").WithRetryAfter(time.Until(until))
}

// queue waits for admission by the fair queue.
func (w *work) queue(ctx context.Context) (*flowcontrol.Grant, *apierror.Error) {
	ctx, span := startSpan(ctx, w.r, tracing.HopQueue)
	defer span.End()
	grant, err := w.r.gateway.Admission.Acquire(ctx, flowcontrol.Ticket{
		Account:     w.r.view.ID,
		Weight:      w.r.view.Account.Weight,
		Cost:        w.tokens,
		Deadline:    w.r.deadline,
		ServiceTime: w.r.gateway.Planner.ExpectedDuration(w.version),
		Pool:        w.target(),
	})
	if err == nil {
		return grant, nil
	}
	var refused *flowcontrol.RefusedError
	if !errors.As(err, &refused) {
		return nil, contextRefusal(ctx)
	}
	if refused.Reason == flowcontrol.QueueFull {
		return nil, apierror.New(http.StatusTooManyRequests, apierror.CodeOverloaded, "%s", refused.Reason).WithRetryAfter(refused.RetryAfter)
	}
	return nil, apierror.New(http.StatusServiceUnavailable, apierror.CodeDeadline, "%s", refused.Reason).WithRetryAfter(refused.RetryAfter)
}

// enginePriority inverts an admission's priority, because engines start the
// higher number first.
func enginePriority(grant *flowcontrol.Grant) int {
	return int(flowcontrol.PriorityLow - grant.Priority)
}

// statusCallerDisconnected is recorded as the status of requests whose caller
// disconnected; it is never received by a caller.
const statusCallerDisconnected = 499

// contextRefusal returns the refusal for work whose context has ended: by its
// deadline, or because the caller disconnected.
func contextRefusal(ctx context.Context) *apierror.Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return apierror.New(http.StatusGatewayTimeout, apierror.CodeDeadline, "the deadline passed").WithRetryAfter(failureRetryAfter)
	}
	return apierror.New(statusCallerDisconnected, apierror.CodeInterrupted, "the caller went away")
}

// choose checks the permission and the content after the wait and picks the server.
func (p *placement) choose(ctx context.Context) *apierror.Error {
	if refusal := p.work.permit(); refusal != nil {
		return refusal
	}
	verdict, refusal := p.work.checkContent()
	if refusal != nil {
		return refusal
	}
	server, refusal := p.pick(append(verdict.Avoid, p.work.excluded...))
	if refusal != nil {
		return refusal
	}
	p.server = server
	if !verdict.Suspect {
		return nil
	}
	if refusal := p.isolate(ctx); refusal != nil {
		return refusal
	}
	// Check again: isolate may have waited for seconds.
	return p.work.permit()
}

func (p *placement) pick(excluded []string) (*datastore.Server, *apierror.Error) {
	g := p.work.r.gateway
	decision, err := scheduling.Pick(g.Data.Snapshot(), scheduling.Request{
		Version:       p.work.version,
		Service:       p.work.service,
		Tokens:        p.work.tokens,
		PrefixHash:    p.work.prefix,
		Excluded:      excluded,
		Slice:         scheduling.Slice{From: p.grant.Share.From, To: p.grant.Share.To},
		FailureDomain: g.FailureDomain,
		Now:           time.Now(),
	}, g.random())
	if err != nil {
		var none *scheduling.NoServerError
		if errors.As(err, &none) {
			p.record.Candidates = none.Candidates
		}
		return nil, apierror.New(http.StatusServiceUnavailable, apierror.CodeNoServer,
			"no backend server for %s can take the request", p.work.target()).WithRetryAfter(noServerRetryAfter)
	}
	p.record.Candidates = decision.Candidates
	return decision.Server, nil
}

// isolate assigns suspect content to a server that runs no other suspect content.
func (p *placement) isolate(ctx context.Context) *apierror.Error {
	g := p.work.r.gateway
	candidates := []string{p.server.ID}
	for _, c := range p.record.Candidates {
		if c.Server != p.server.ID && c.Reason.Eligible() {
			candidates = append(candidates, c.Server)
		}
	}
	id, err := g.Suspects.Place(ctx, p.work.content, p.id, candidates)
	if errors.Is(err, quarantine.ErrQuarantined) {
		return quarantineRefusal(g.Suspects.Check(p.work.content).Until)
	}
	server, known := g.Data.Snapshot().Servers[id]
	if err != nil || !known {
		return apierror.New(http.StatusServiceUnavailable, apierror.CodeNoServer,
			"no backend server is free to retry this content alone").WithRetryAfter(noServerRetryAfter)
	}
	p.server = server
	return nil
}

func (p *placement) begin() {
	w := p.work
	p.record.Server = p.server.ID
	p.server.Begin(w.tokens)
	p.process = p.server.Status().Process
	w.r.gateway.Suspects.Begin(p.server.ID, p.process, w.content, p.id)
	w.r.fire(statechart.RequestSend)
}

// end releases the attempt's resources; tokens is the number of tokens used. A
// crash is reported first, while the attempt still counts as in flight on the
// server, because this attempt may have caused it.
func (p *placement) end(ctx context.Context, err error, tokens int64) {
	var failure *backend.Error
	if errors.As(err, &failure) && failure.Crashed {
		p.work.r.gateway.Suspects.ConnectionLost(ctx, p.server, p.process)
	}
	p.server.End(p.work.tokens)
	p.work.r.gateway.Suspects.End(p.id, err == nil)
	p.grant.Release(tokens)
	p.record.Duration = time.Since(p.started)
	if err != nil {
		p.record.Outcome = err.Error()
		return
	}
	p.record.Outcome = "answered"
	p.work.r.gateway.Servers.ReportSuccess(p.server.ID)
}

// addBillLine adds a line for the attempt to the request's bill.
func (p *placement) addBillLine(usage backend.Usage, cost settings.MicroUnits, billed bool) {
	p.work.r.lines = append(p.work.r.lines, billing.Line{
		AttemptID:    p.id,
		Target:       p.work.target(),
		Server:       p.server.ID,
		InputTokens:  usage.PromptTokens,
		OutputTokens: usage.CompletionTokens,
		Cost:         cost,
		Billed:       billed,
	})
}
