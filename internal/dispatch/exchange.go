package dispatch

import (
	"context"
	"time"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/ladder"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
	"github.com/basilrail/basilrail/internal/scheduling"
)

const (
	// firstRank is the rank at a server of the most urgent requests, rankStep what
	// each lower priority adds, and lowestRank the last rank of the servers' scale.
	firstRank  = 3
	rankStep   = 2
	lowestRank = 9
	// plainTokens is the cost in load of a call of a plain service.
	plainTokens = 1
	// spillWork is how much longer than elsewhere a request may wait at a server of
	// its own failure domain: bytes between domains are dear.
	spillWork = 150 * time.Millisecond
	// silentAnswers is the number of times that a plain answer may take its usual
	// longest. silentEvents is the same for the pause between events, and
	// silentPrompts for the reading of all prompts at a server, with leastSilence
	// besides: a server that is silent for longer is down or mute.
	silentAnswers = 2
	silentEvents  = 1.0
	silentPrompts = 4
	leastSilence  = 1500 * time.Millisecond
	fullSilence   = 3 * time.Second
	// maxConnects is the number of servers that are tried while none can be reached.
	maxConnects = 4
)

// exchange is one request in progress.
type exchange struct {
	d        *Dispatcher
	req      *Request
	out      Responder
	table    *routing.Table
	route    *routing.Route
	account  *routing.Account
	service  string
	release  string
	rungs    []ladder.Rung
	rung     int
	deadline time.Time
	// content names what the servers compute on, once it is asked for.
	content quarantine.Fingerprint

	// sent counts the servers that were sent the request, unreached the connections
	// that could not be made.
	sent      int
	unreached int
	tried     []string
	ran       apierror.Ran
	// held is a server's failure, which is delivered unless another attempt answers.
	held *wholeAnswer
	// begun tells that the caller has a part of the stream, up to lastEvent.
	begun     bool
	lastEvent string
	status    int
}

// wholeAnswer is an answer that was read whole.
type wholeAnswer struct {
	head Head
	body []byte
}

// placement is one attempt at a server.
type placement struct {
	server  *fleet.Server
	why     scheduling.Reason
	load    float64
	tokens  int64
	started time.Time
	// reading is the estimated time to read the prompt; it counts as the server's
	// load until the first token. alone tells that no other prompt was in flight.
	reading time.Duration
	alone   bool
	first   time.Duration
	model   string
	attempt *Attempt
}

// run makes attempts until one answers or none may follow.
func (x *exchange) run(ctx context.Context) *Refusal {
	for {
		p, refusal := x.place()
		if refusal != nil {
			return x.giveUp(refusal)
		}
		err := x.try(ctx, p)
		if err == nil {
			return nil
		}
		if err == errEscalated {
			x.ran = apierror.DidRun
			continue
		}
		if refusal := x.after(ctx, p, err); refusal != nil {
			return x.giveUp(refusal)
		}
	}
}

// giveUp delivers the failure that a server answered, if there is one.
func (x *exchange) giveUp(refusal *Refusal) *Refusal {
	if x.held == nil || x.begun {
		return refusal
	}
	x.deliver(x.held)
	return nil
}

// place picks a server and checks, last before the send, that the request is
// still allowed.
func (x *exchange) place() (*placement, *Refusal) {
	server, decision, refusal := x.pick()
	if refusal != nil {
		return nil, refusal
	}
	if refusal := x.permit(); refusal != nil {
		return nil, refusal
	}
	if refusal := x.quarantined(); refusal != nil {
		return nil, refusal
	}
	p := &placement{server: server, tokens: plainTokens, started: time.Now()}
	if x.route.CarriesPrompt {
		p.tokens = max(plainTokens, x.req.Prompt.Tokens())
		p.reading = x.d.pace.Reading(x.model(), x.req.Prompt.InputTokens)
		p.alone = server.TotalLoad().Prefill == 0
	}
	if len(decision.Candidates) > 0 {
		p.why, p.load = decision.Candidates[0].Why, decision.Candidates[0].Load
	}
	p.attempt = x.attempt(p)
	return p, nil
}

// permit reports why the request must not be sent any more.
func (x *exchange) permit() *Refusal {
	table := x.d.Routing.Table()
	if table.NeedsKey(x.route) && !x.d.Routing.Vouched() {
		return &Refusal{Reason: NotVouched, Ran: x.ran, RetryAfter: comeBackLater}
	}
	if table != x.table && !table.Allows(x.route, x.req.Key, x.account, x.service) {
		return &Refusal{Reason: Withdrawn, Ran: x.ran, RetryAfter: comeBackSoon}
	}
	return nil
}

func (x *exchange) attempt(p *placement) *Attempt {
	a := &Attempt{
		Request:     x.req,
		Server:      p.server,
		ResumeAfter: x.req.ResumeAfter,
		Deadline:    x.deadline,
		Priority:    x.rank(),
	}
	if x.account != nil {
		a.Account = x.account.Name
	}
	if len(x.rungs) > 0 {
		a.Model = x.rungs[x.rung].Model
		p.model = a.Model
	}
	if x.begun {
		a.ResumeAfter = x.lastEvent
	}
	x.limitSilence(a, p)
	return a
}

// limitSilence bounds how long a silent server keeps a request that another one
// may still answer.
func (x *exchange) limitSilence(a *Attempt, p *placement) {
	if !x.route.Repeatable() || x.sent+1 >= x.route.MaxAttempts {
		return
	}
	if x.route.Kind == routing.Idempotent {
		a.Silence = silentAnswers * x.route.TargetLatency
		return
	}
	if x.route.MaxEventGap > 0 {
		a.EventSilence = time.Duration(silentEvents * float64(x.route.MaxEventGap))
	}
	load := p.server.TotalLoad()
	a.Silence = leastSilence + silentPrompts*(p.reading+load.Prefill)
	if load.Requests >= int64(p.server.Entry.Slots) {
		// Where all places are taken a request waits, which says little of the server.
		a.Silence += fullSilence
	}
}

// after decides what follows a failed attempt; a refusal ends the request.
func (x *exchange) after(ctx context.Context, p *placement, err error) *Refusal {
	outcome := outcomeOf(err)
	if outcome == retry.OutcomeConnectFailed || outcome == retry.OutcomeNotSent {
		x.unreached++
	}
	if outcome.Ran() != apierror.NotRun && x.ran != apierror.DidRun {
		x.ran = outcome.Ran()
	}
	if x.mayRepeat(ctx, outcome) {
		return nil
	}
	return &Refusal{Reason: reasonOf(outcome), Ran: x.ran, RetryAfter: comeBackSoon}
}

// mayRepeat reports whether another server may get the request.
func (x *exchange) mayRepeat(ctx context.Context, outcome retry.Outcome) bool {
	if ctx.Err() != nil || x.sent >= max(1, x.route.MaxAttempts) || x.unreached >= maxConnects {
		return false
	}
	decision := retry.Decide(retry.Attempt{
		Outcome:      outcome,
		Number:       x.sent,
		Idempotent:   x.route.Repeatable(),
		OtherServers: len(x.d.Fleet.Snapshot().Servers(x.service)) - len(x.tried),
		Remaining:    time.Until(x.deadline),
	})
	if decision.Action != retry.RetryElsewhere {
		return false
	}
	// A connection that could not be made loads no server.
	return outcome == retry.OutcomeConnectFailed || x.d.Budget.Take()
}

func reasonOf(outcome retry.Outcome) Reason {
	switch outcome {
	case retry.OutcomeNoCapacity:
		return Overloaded
	case retry.OutcomeTimeout:
		return TimedOut
	case retry.OutcomeConnectFailed, retry.OutcomeNotSent, retry.OutcomeLeaving, retry.OutcomeNotLoaded:
		return NoServer
	case retry.OutcomeCallerGone:
		return CallerGone
	case retry.OutcomeRejected:
		return Rejected
	}
	return ServerFailed
}

// finish ends the request towards the caller and tells how it went.
func (x *exchange) finish(refusal *Refusal) {
	if refusal == nil {
		x.logEnd(events.ExchangeAnswered, nil)
		return
	}
	if x.begun {
		x.out.Abort()
		x.logEnd(events.ExchangeBroken, refusal)
		return
	}
	x.out.Refuse(*refusal)
	x.logEnd(events.ExchangeRefused, refusal)
}
