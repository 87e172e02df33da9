package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/basilrail/basilrail/internal/admission"
	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/brittle"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/modeltier"
	"github.com/basilrail/basilrail/internal/poison"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
	"github.com/basilrail/basilrail/internal/scheduling"
)

const (
	// firstRank is the server-side rank of requests with the highest priority,
	// rankStep the increment for each lower priority, and lowestRank the last rank
	// that servers accept.
	firstRank  = 3
	rankStep   = 2
	lowestRank = 9
	// plainTokens is the load, in tokens, of a call to a plain service.
	plainTokens = 1
	// crossDomainPenalty is how much longer a request may wait at a server of its
	// own failure domain than at one of another: traffic between domains is
	// expensive.
	crossDomainPenalty = 150 * time.Millisecond
	// Response timeouts, after which a server counts as unresponsive.
	// answerTimeoutFactor multiplies the target latency of a plain answer,
	// eventTimeoutFactor and noticedEventTimeoutFactor the maximum interval between
	// events, and prefillTimeoutFactor the estimated prefill time of all prompts at the server,
	// to which minHeaderTimeout is added. fullServerAllowance is added at a server
	// without a free slot.
	answerTimeoutFactor       = 2
	eventTimeoutFactor        = 3.0
	noticedEventTimeoutFactor = 1.0
	prefillTimeoutFactor      = 4
	minHeaderTimeout          = 1500 * time.Millisecond
	fullServerAllowance       = 3 * time.Second
	// maxConnects is the maximum number of failed connection attempts per request.
	maxConnects = 4
)

// exchange is a request in progress.
type exchange struct {
	d       *Dispatcher
	req     *Request
	out     Responder
	table   *routing.Table
	route   *routing.Route
	account *routing.Account
	service string
	release string
	// tiers are the models that may answer, and tier is the index of the one used by
	// the next attempt; empty if the caller selected the model.
	tiers    []modeltier.Tier
	tier     int
	deadline time.Time
	// cachedFingerprint identifies the request content; zero until first needed.
	cachedFingerprint quarantine.Fingerprint

	// sent is the number of attempts in which the request was sent to a server,
	// connectFailures the number of attempts that failed before anything was sent.
	sent            int
	connectFailures int
	// tried lists the servers that get no further attempt: those of all earlier attempts
	// except the ones whose answer was escalated.
	tried []string
	// hasGivenUp is set once a server was given up because it was silent.
	hasGivenUp bool
	// next is the placement that was secured before an answer was given up; nil for none.
	next *placement
	// isInFlight is set while an attempt is prepared that follows one whose server is silent.
	isInFlight bool
	// isRunning is set from the send of an attempt until its end: a server may be at work on it.
	isRunning bool
	// execution is the furthest execution status of all attempts so far.
	execution apierror.ExecutionStatus
	// isTrial is set while the request passes although its parts are refused, isContentTrial although its content is.
	isTrial, isContentTrial bool
	// hasFailed is set once an attempt failed or timed out at a server.
	hasFailed bool
	// unconfirmed is a failure that is not counted against its release before it is known
	// whether another attempt fails as well; nil for none.
	unconfirmed *unconfirmedFailure
	// serverFailure is a failure response of a server. It is delivered unless
	// another attempt answers.
	serverFailure *completeAnswer
	// releaseFailure returns the memory of serverFailure; nil for none.
	releaseFailure func()
	// streamStarted reports whether the caller's stream has begun, and lastEvent is the last id
	// that it contains; empty for none.
	streamStarted bool
	lastEvent     string
	// delivered is the number of events with an id that the caller has received.
	delivered int
	// admitted is the request as the admission knows it, until its answer begins; nil for none.
	admitted *admission.Request
	// isEventDue is set while the stream is known to have an event after lastEvent.
	isEventDue bool
	status     int
	// isCounted is set once the request was counted among those that may leave the failure domain.
	isCounted bool
}

// completeAnswer is an answer whose body was read to the end.
type completeAnswer struct {
	head Head
	body []byte
}

// placement is one attempt at a server, with its load and timing.
type placement struct {
	server *fleet.Server
	// slot is the slot of the server that the attempt occupies; nil for none.
	slot    *brittle.Slot
	reason  scheduling.Reason
	load    float64
	tokens  int64
	started time.Time
	// taken is when the request was counted among those that the server's limits allow.
	taken time.Time
	// prefill is the estimated prefill time of the prompt. It counts towards the
	// server's load until the first token. noOtherPrefill reports whether no other
	// prefill was in flight at the server.
	prefill        time.Duration
	noOtherPrefill bool
	// latency is the time to the head of the answer, replaced by the time to the first
	// event of a new stream or to the complete body.
	latency time.Duration
	model   string
	// pace measures the events of a stream.
	pace    pace
	attempt *Attempt
	// watched is the attempt at the poison tracker; nil for none.
	watched *poison.Attempt
	// isComplete is set once the server has sent its complete answer.
	isComplete bool
	// hasDelivered is set once the caller has received an event with an id from the server.
	hasDelivered bool
	// isReportedSilent is set once the server was reported as unresponsive, and wasDenied once
	// the retry budget denied a repeat, while the attempt waited.
	isReportedSilent, wasDenied bool
	// faults are the reports that follow if the server, not a link, had the fault.
	faults []func()
}

// run makes attempts until one answers or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) *Refusal {
	if refusal := x.admit(); refusal != nil {
		return refusal
	}
	defer x.endAdmission()
	defer x.confirmFailure()
	defer x.dropFailure()
	for {
		p, refusal := x.nextPlacement(ctx)
		if refusal != nil {
			if refusal := x.goOnAfter(ctx, refusal); refusal != nil {
				return x.giveUp(refusal)
			}
			continue
		}
		err := x.runAttempt(ctx, p)
		x.releaseNext(ctx, err)
		if err == nil {
			return nil
		}
		if err == errEscalated {
			x.execution = apierror.DidRun
			continue
		}
		if refusal := x.goOnAfter(ctx, x.afterFailure(ctx, p, err)); refusal != nil {
			return x.giveUp(refusal)
		}
	}
}

// giveUp delivers the failure response of a server if there is one, and otherwise
// returns the refusal.
func (x *exchange) giveUp(refusal *Refusal) *Refusal {
	if x.serverFailure == nil || x.streamStarted {
		return refusal
	}
	x.deliver(x.serverFailure)
	return nil
}

// place picks a server and then checks, as the last step before sending, that the
// request is still allowed.
func (x *exchange) place() (*placement, *Refusal) {
	return x.placeWith((*exchange).exclusions)
}

// mayRun reports whether one more attempt may run the request: none has run it, or its route lets a request run twice.
func (x *exchange) mayRun() bool {
	return x.route.Repeatable() || x.execution == apierror.NotRun && !x.isRunning
}

// placeWith places the request at a server that one of the lists of exclusions leaves. Every attempt is placed here.
func (x *exchange) placeWith(exclusions exclusionLists) (*placement, *Refusal) {
	if !x.mayRun() {
		return nil, &Refusal{Reason: ServerFailed, Execution: x.execution, RetryAfter: shortRetryAfter}
	}
	if refusal := x.checkStop(); refusal != nil {
		return nil, refusal
	}
	server, slot, decision, refusal := x.pick(exclusions)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := x.checkAllowed(); refusal != nil {
		slot.End(true)
		return nil, refusal
	}
	if refusal := x.checkQuarantine(); refusal != nil {
		slot.End(true)
		return nil, refusal
	}
	p := &placement{server: server, slot: slot, tokens: plainTokens, started: time.Now(), taken: time.Now()}
	if x.route.CarriesPrompt {
		p.tokens = max(plainTokens, x.req.Prompt.Tokens())
		p.prefill = x.d.prefill.Estimate(x.model(), x.req.Prompt.InputTokens)
		p.noOtherPrefill = server.TotalLoad().Prefill == 0
	}
	if len(decision.Candidates) > 0 {
		p.reason, p.load = decision.Candidates[0].Reason, decision.Candidates[0].Load
	}
	x.observeLeaving(p)
	p.attempt = x.newAttempt(p)
	return p, nil
}

// checkAllowed returns a refusal if the current configuration no longer allows the
// request.
func (x *exchange) checkAllowed() *Refusal {
	table := x.d.Routing.Table()
	// The keys were confirmed when a request arrived that was sent since.
	if x.sent == 0 && table.NeedsKey(x.route) && !x.d.Routing.Confirmed() {
		return &Refusal{Reason: NotConfirmed, Execution: x.execution, RetryAfter: longRetryAfter}
	}
	if table != x.table && !x.isAllowedBy(table) {
		return &Refusal{Reason: Withdrawn, Execution: x.execution, RetryAfter: shortRetryAfter}
	}
	return nil
}

// isAllowedBy reports whether a configuration that took effect after the request arrived allows
// its next attempt. A request that was sent to a server keeps its route and service to its end;
// a revoked key ends it.
func (x *exchange) isAllowedBy(table *routing.Table) bool {
	if x.sent > 0 {
		return table.AllowsKey(x.route, x.req.Key, x.account)
	}
	return table.Allows(x.route, x.req.Key, x.account, x.service)
}

func (x *exchange) newAttempt(p *placement) *Attempt {
	a := &Attempt{
		Request:     x.req,
		Server:      p.server,
		ResumeAfter: x.req.ResumeAfter,
		Deadline:    x.deadline,
		Taken:       p.taken,
		Priority:    x.rank(),
	}
	if x.account != nil {
		a.Account = x.account.Name
	}
	if len(x.tiers) > 0 {
		a.Model = x.tiers[x.tier].Model
		p.model = a.Model
	}
	if x.lastEvent != "" {
		a.ResumeAfter = x.lastEvent
	}
	x.setResponseTimeouts(a, p)
	return a
}

// setResponseTimeouts bounds how long an unresponsive server holds a request that
// another server may still answer.
func (x *exchange) setResponseTimeouts(a *Attempt, p *placement) {
	if !x.route.Repeatable() || x.sent+1 >= x.route.MaxAttempts {
		return
	}
	if x.route.Kind == routing.Idempotent {
		a.HeaderTimeout = answerTimeoutFactor * x.route.TargetLatency
		return
	}
	if x.route.MaxEventGap > 0 {
		a.EventTimeout = time.Duration(eventTimeoutFactor * float64(x.route.MaxEventGap))
		a.NoticedEventTimeout = time.Duration(noticedEventTimeoutFactor * float64(x.route.MaxEventGap))
	}
	load := p.server.TotalLoad()
	a.HeaderTimeout = minHeaderTimeout + time.Duration(prefillTimeoutFactor*x.slowness(p.server)*float64(p.prefill+load.Prefill))
	if load.Requests >= int64(p.server.Registration.Slots) {
		// A request queues at a server without a free slot, so a delay there is no
		// sign of a failure.
		a.HeaderTimeout += fullServerAllowance
	}
}

// afterFailure decides whether another attempt follows a failed one; a refusal ends
// the request.
func (x *exchange) afterFailure(ctx context.Context, p *placement, err error) *Refusal {
	outcome := outcomeOf(err)
	if outcome == retry.OutcomeConnectFailed || outcome == retry.OutcomeNotSent {
		x.connectFailures++
	}
	if outcome.Execution() != apierror.NotRun && x.execution != apierror.DidRun {
		x.execution = outcome.Execution()
	}
	if x.next != nil {
		return nil
	}
	// Without a link to the servers another one can't be reached either.
	isCutOff := outcome == retry.OutcomeConnectFailed && linkOf(err) == LinkLost
	if !isCutOff && x.mayRepeat(ctx, outcome) {
		return nil
	}
	reason := reasonOf(outcome)
	if err == errPartRefused {
		reason = Quarantined
	}
	return &Refusal{Reason: reason, Execution: x.execution, RetryAfter: shortRetryAfter}
}

// mayRepeat reports whether the request may be sent to another server.
func (x *exchange) mayRepeat(ctx context.Context, outcome retry.Outcome) bool {
	if !x.isRepeatable(ctx, outcome) {
		return false
	}
	// A failed connection put no load on a server, so its retry costs no budget.
	return outcome == retry.OutcomeConnectFailed || x.takeRepeat()
}

// isRepeatable reports whether the request may be sent to another server, if the retry budget
// allows.
func (x *exchange) isRepeatable(ctx context.Context, outcome retry.Outcome) bool {
	if ctx.Err() != nil || x.sent >= max(1, x.route.MaxAttempts) || x.connectFailures >= maxConnects {
		return false
	}
	decision := retry.Decide(retry.Attempt{
		Outcome:      outcome,
		Number:       x.sent,
		Idempotent:   x.route.Repeatable(),
		OtherServers: x.untriedServers(),
		Remaining:    time.Until(x.deadline),
	})
	return decision.Action == retry.RetryElsewhere
}

// untriedServers returns the number of registered servers that may get a further attempt. Servers
// that were tried may have deregistered meanwhile.
func (x *exchange) untriedServers() int {
	untried := 0
	for _, server := range x.d.Fleet.Snapshot().Servers(x.service) {
		if !slices.Contains(x.tried, server.ID) {
			untried++
		}
	}
	return untried
}

// takeRepeat takes a repeat from the service's retry budget, if one is left.
func (x *exchange) takeRepeat() bool {
	if !x.reserveRepeat(false) {
		return false
	}
	x.d.Metrics.Repeats.Add(x.service, 1)
	return true
}

func reasonOf(outcome retry.Outcome) Reason {
	switch outcome {
	case retry.OutcomeNoCapacity:
		return Overloaded
	case retry.OutcomeTimeout:
		return TimedOut
	case retry.OutcomeConnectFailed, retry.OutcomeNotSent, retry.OutcomeDraining, retry.OutcomeNotLoaded:
		return NoServer
	case retry.OutcomeCallerGone:
		return CallerGone
	case retry.OutcomeRejected:
		return Rejected
	}
	return ServerFailed
}

// finish completes the request to the caller and logs its outcome.
func (x *exchange) finish(refusal *Refusal) {
	if refusal == nil {
		x.logEnd(events.ExchangeAnswered, nil)
		return
	}
	if x.streamStarted {
		x.out.Abort()
		x.logEnd(events.ExchangeAborted, refusal)
		return
	}
	x.out.Refuse(*refusal)
	x.logEnd(events.ExchangeRefused, refusal)
}
