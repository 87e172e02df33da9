package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/cascade"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/session"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/tracing"
)

// maxPrefixBytes is the length of the prompt prefix hashed for prefix affinity.
const maxPrefixBytes = 1 << 10

// chat is one chat completion in progress.
type chat struct {
	*request
	req     *chatRequest
	task    string
	session session.Session
	plan    []cascade.Step
	// target is the required fraction of acceptable answers, from 0 to 1.
	target float64
}

// chat serves POST /v1/chat/completions.
func (g *Gateway) chat(ctx context.Context, r *request) *apierror.Error {
	c, refusal := g.classify(r)
	if refusal != nil {
		return refusal
	}
	if refusal := r.admit(); refusal != nil {
		return refusal
	}
	if refusal := c.makePlan(); refusal != nil {
		return refusal
	}
	r.fire(statechart.RequestPlan)
	return c.run(ctx)
}

// run tries the plan's versions in order until one answer is delivered.
func (c *chat) run(ctx context.Context) *apierror.Error {
	ctx, stop := c.limitTime(ctx)
	defer stop()
	for i, step := range c.plan {
		last := i == len(c.plan)-1
		done, refusal := c.runStep(ctx, step, last)
		if refusal != nil && (last || !c.canEscalate(refusal)) {
			return refusal.WithExecutionStatus(c.execution)
		}
		if done {
			return nil
		}
		if c.lifecycle.State() == statechart.RequestAttempting {
			c.fire(statechart.RequestRetry)
		}
	}
	return apierror.New(http.StatusBadGateway, apierror.CodeBackendFailed, "no version gave an acceptable answer").WithExecutionStatus(c.execution)
}

// canEscalate reports whether a more expensive version may still answer after a
// cheaper one failed with the refusal.
func (c *chat) canEscalate(refusal *apierror.Error) bool {
	switch refusal.Code {
	case apierror.CodeNoServer, apierror.CodeBackendFailed, apierror.CodeOverloaded:
		return !c.record.Streaming
	}
	return false
}

// runStep runs one step of the plan; done is false if the next step must answer.
func (c *chat) runStep(ctx context.Context, step cascade.Step, last bool) (done bool, refusal *apierror.Error) {
	w := c.workFor(step.Ref)
	if c.req.stream && (last || !step.Judge) {
		return true, c.streamLive(ctx, w, step)
	}
	answer, refusal := c.complete(ctx, w)
	if refusal != nil {
		return false, refusal
	}
	c.fire(statechart.RequestAnswer)
	if step.Judge && !last && !c.acceptable(ctx, step, answer) {
		answer.placement.addBillLine(answer.usage, answer.cost, true)
		c.fire(statechart.RequestEscalate)
		return false, nil
	}
	c.fire(statechart.RequestAccept)
	return true, c.deliver(ctx, step, answer)
}

func (c *chat) workFor(ref settings.VersionRef) *work {
	input, output := c.req.estimate()
	prefix := c.req.prompt
	if len(prefix) > maxPrefixBytes {
		prefix = prefix[:maxPrefixBytes]
	}
	return &work{
		r:       c.request,
		version: ref,
		tokens:  int64(input + output),
		prefix:  xxhash.Sum64String(prefix),
		content: quarantine.FingerprintOf([]byte(c.req.prompt)),
		// A chat completion has no side effects outside the engine.
		idempotent: true,
	}
}

// answer is a complete answer of one version.
type answer struct {
	placement *placement
	version   settings.VersionRef
	choices   []json.RawMessage
	usage     backend.Usage
	cost      settings.MicroUnits
}

// complete gets a complete answer from one version, with retries.
func (c *chat) complete(ctx context.Context, w *work) (*answer, *apierror.Error) {
	body, err := c.req.bodyFor(w.version, false)
	if err != nil {
		return nil, apierror.New(http.StatusInternalServerError, apierror.CodeInternal, "the request could not be encoded")
	}
	for {
		p, refusal := w.place(ctx)
		if refusal != nil {
			return nil, refusal.WithExecutionStatus(c.execution)
		}
		completion, err := c.sendAttempt(ctx, p, body)
		if err == nil {
			return c.newAnswer(p, completion), nil
		}
		if refusal := w.handleFailure(ctx, p, err); refusal != nil {
			return nil, refusal
		}
	}
}

func (c *chat) sendAttempt(ctx context.Context, p *placement, body []byte) (*backend.Completion, error) {
	ctx, span := startSpan(ctx, c.request, tracing.HopAttempt)
	defer span.End()
	completion, err := c.gateway.Backend.Complete(ctx, backend.Chat{
		AttemptID: p.id,
		Server:    p.server,
		Body:      body,
		Priority:  enginePriority(p.grant),
	})
	var tokens int64
	if err == nil {
		tokens = int64(completion.Usage.PromptTokens + completion.Usage.CompletionTokens)
	}
	p.end(ctx, err, tokens)
	return completion, err
}

func (c *chat) newAnswer(p *placement, completion *backend.Completion) *answer {
	c.updateExecution(apierror.DidRun)
	c.gateway.Planner.ObserveDuration(p.work.version, time.Since(p.started))
	return &answer{
		placement: p,
		version:   p.work.version,
		choices:   completion.Choices,
		usage:     completion.Usage,
		cost:      c.costOf(p.work.version, completion.Usage),
	}
}

// costOf returns the cost of an attempt, rounded up to whole micro-units.
func (c *chat) costOf(ref settings.VersionRef, usage backend.Usage) settings.MicroUnits {
	version, ok := c.gateway.Data.Snapshot().Settings.Version(ref)
	if !ok {
		return 0
	}
	sum := version.InputCost*settings.MicroUnits(usage.PromptTokens) +
		version.OutputCost*settings.MicroUnits(usage.CompletionTokens)
	return (sum + settings.TokensPerCostUnit - 1) / settings.TokensPerCostUnit
}

// billAnswer adds the answer to the request's bill and makes the bill durable. If
// that fails, the delayed bill is logged.
func (c *chat) billAnswer(ctx context.Context, p *placement, usage backend.Usage, cost settings.MicroUnits) {
	p.addBillLine(usage, cost, true)
	if err := c.bill(ctx); err != nil {
		c.gateway.logBillDelayed(c.request, err)
	}
	c.fire(statechart.RequestBill)
}

// pin pins the version in the session and sets the session token and version
// headers. If no token can be issued, it logs that and sets neither.
func (c *chat) pin(ref settings.VersionRef) {
	c.session.Pins[ref.Model] = ref.Version
	keys := c.gateway.Data.Snapshot().Settings.Tree.Fleet.TokenKeys
	token, err := c.gateway.Tokens.Issue(c.session, keys)
	if err != nil {
		c.gateway.logTokenFailed(c.request, err)
		return
	}
	c.w.Header().Set(HeaderSessionToken, token)
	c.w.Header().Set(HeaderVersion, ref.String())
}

// deliver bills a complete answer and sends it to the caller.
func (c *chat) deliver(ctx context.Context, step cascade.Step, a *answer) *apierror.Error {
	c.pin(a.version)
	c.billAnswer(ctx, a.placement, a.usage, a.cost)
	c.sample(ctx, step, a.version, a.choices)
	if c.req.stream {
		return c.deliverAsEvents(a)
	}
	c.w.Header().Set(HeaderCost, c.billTotal())
	c.w.Header().Set("Content-Type", "application/json")
	// A write error is ignored: the answer is billed even if the caller has
	// disconnected.
	_ = json.NewEncoder(c.w).Encode(completionBody{
		ID:      c.id,
		Object:  "chat.completion",
		Model:   a.version.String(),
		Choices: a.choices,
		Usage:   a.usage,
	})
	return nil
}
