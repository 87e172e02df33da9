package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/modeltier"
	"github.com/basilrail/basilrail/internal/prefill"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
)

// leftCallerTime is how long a request goes on at a brittle server after its caller has left.
const leftCallerTime = 300 * time.Millisecond

// errEscalated ends an attempt whose answer was discarded because the request is
// escalated to a larger model.
var errEscalated = NewSendError(retry.OutcomeServerError, errors.New("answer discarded: request escalated to a larger model"))

// errServerFailed ends an attempt that the server answered with a failure response.
var errServerFailed = NewSendError(retry.OutcomeServerError, errors.New("server returned a failure response"))

// callerGone returns the error of an attempt whose answer the caller can't receive; cause is that
// of the failed write.
func callerGone(cause error) error { return NewSendError(retry.OutcomeCallerGone, cause) }

// runAttempt makes one attempt. It returns nil when the request has its final
// answer.
func (x *exchange) runAttempt(ctx context.Context, p *placement) error {
	p.server.RecordSent()
	p.server.Begin(p.tokens)
	defer p.server.End(p.tokens)
	p.server.AddPrefill(p.prefill)
	defer x.endPrefill(p)
	attemptCtx, cancel := x.attemptContext(ctx, p)
	defer cancel()
	x.watch(p, cancel)
	x.tried = append(x.tried, p.server.ID)
	p.attempt.MayEnd = func() bool { return x.secureNext(ctx, p) }
	x.isRunning = true
	answer, err := x.d.Transport.Send(attemptCtx, p.attempt)
	if outcome := outcomeOf(err); err == nil || (outcome != retry.OutcomeConnectFailed && outcome != retry.OutcomeNotSent) {
		x.sent++
	}
	if err == nil {
		defer answer.Close()
		err = x.relayAnswer(p, answer)
	}
	x.isRunning = false
	err = x.endWatch(ctx, p, err)
	x.recordOutcome(ctx, p, err)
	p.slot.End(p.isRunOver(err))
	x.recordDisconnect(ctx, p, err)
	x.reportFaults(ctx, p, err)
	return err
}

// attemptContext returns the context of an attempt. A plain request at a brittle server goes on for
// leftCallerTime after its caller has left: the end of the run frees a slot, and can't be observed once
// the connection is closed.
func (x *exchange) attemptContext(ctx context.Context, p *placement) (context.Context, context.CancelFunc) {
	if !p.slot.IsGranted() || x.route.Kind == routing.Streaming {
		return context.WithCancel(ctx)
	}
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.deadline)
	stop := context.AfterFunc(ctx, func() {
		timer := time.AfterFunc(leftCallerTime, cancel)
		context.AfterFunc(attemptCtx, func() { timer.Stop() })
	})
	atEnd := context.AfterFunc(x.d.ended, cancel)
	return attemptCtx, func() {
		stop()
		atEnd()
		cancel()
	}
}

// isRunOver reports whether the server does no more work for an attempt: it answered completely, or did
// not run the request.
func (p *placement) isRunOver(err error) bool {
	return p.isComplete || err != nil && outcomeOf(err).Execution() == apierror.NotRun
}

// addFault adds a report on a fault that the server or the links of this instance may have.
func (p *placement) addFault(report func()) { p.faults = append(p.faults, report) }

// reportFaults makes the reports on the server, unless the fault was one of the links. An
// instance that reaches no server must not report servers as failed. The reports are made
// before the next attempt, which they may prevent.
func (x *exchange) reportFaults(ctx context.Context, p *placement, err error) {
	if len(p.faults) == 0 || !x.isFaultOfServer(ctx, err) {
		return
	}
	for _, report := range p.faults {
		report()
	}
}

// isFaultOfServer reports whether an attempt failed although the links work.
func (x *exchange) isFaultOfServer(ctx context.Context, err error) bool {
	switch linkOf(err) {
	case LinkSound:
		return true
	case LinkLost:
		return false
	}
	return x.d.Paths == nil || x.d.Paths.Check(ctx, x.service)
}

// endPrefill removes the prompt's prefill time from the server's load.
func (x *exchange) endPrefill(p *placement) {
	p.server.AddPrefill(-p.prefill)
	p.prefill = 0
}

// recordLatency records the time to the head of an answer and ends the prefill.
func (x *exchange) recordLatency(p *placement) {
	p.latency = time.Since(p.started)
	if p.noOtherPrefill && p.prefill > 0 {
		x.d.prefill.Observe(prefill.Model{Service: x.service, Name: p.model}, x.req.Prompt.InputTokens, p.latency)
	}
	x.endPrefill(p)
}

// relayAnswer relays an answer to the caller. It returns an error if the attempt ended
// without a final answer, also when the request is escalated.
func (x *exchange) relayAnswer(p *placement, answer Answer) error {
	head := answer.Head()
	p.watched.Received()
	x.recordLatency(p)
	if x.streamStarted {
		if !head.Stream || head.Status != http.StatusOK {
			return errServerFailed
		}
		return x.forwardEvents(p, answer)
	}
	if head.Status == http.StatusOK {
		x.observeConfidence(head)
		if x.escalates(head) {
			return errEscalated
		}
	}
	if head.Stream && head.Status == http.StatusOK {
		return x.relayStream(p, answer)
	}
	body, err := answer.Body()
	if err != nil {
		return err
	}
	p.latency, p.isComplete = time.Since(p.started), true
	complete := &completeAnswer{head: head, body: body}
	if head.Status >= http.StatusInternalServerError {
		x.execution = apierror.DidRun
		if x.route.Repeatable() {
			x.keepFailure(complete, answer)
			return errServerFailed
		}
	}
	x.deliver(complete)
	if head.Status >= http.StatusInternalServerError {
		x.recordFailure(p)
	}
	return nil
}

// keepFailure keeps a failure response, in place of an earlier one, while other attempts follow.
func (x *exchange) keepFailure(failure *completeAnswer, answer Answer) {
	x.dropFailure()
	x.serverFailure, x.releaseFailure = failure, answer.Keep()
}

// dropFailure gives up the failure response that was kept.
func (x *exchange) dropFailure() {
	if x.releaseFailure != nil {
		x.releaseFailure()
	}
	x.serverFailure, x.releaseFailure = nil, nil
}

// observeConfidence records how confident the smallest model is of its answer.
func (x *exchange) observeConfidence(head Head) {
	if len(x.tiers) > 0 && x.tier == 0 {
		x.d.sufficiency.Observe(x.route.Name, head.Confidence)
	}
}

// escalates reports whether a larger model is asked instead, and prepares the attempt.
func (x *exchange) escalates(head Head) bool {
	if len(x.tiers) == 0 || x.sent+1 > x.route.MaxAttempts {
		return false
	}
	next, ok := modeltier.Next(x.tiers, modeltier.Answer{
		Tier:          x.tier,
		Confidence:    head.Confidence,
		Remaining:     time.Until(x.deadline),
		TargetLatency: x.route.TargetLatency,
		Utilization:   x.d.Fleet.Snapshot().Utilization(x.service, x.release),
	})
	if ok {
		next, ok = x.largestInTime(next)
	}
	return ok && x.secureEscalation(head, next)
}

func (x *exchange) deliver(answer *completeAnswer) {
	x.status = answer.head.Status
	x.observeAdmission()
	// A delivery error is ignored: the server has answered even if the caller has
	// disconnected.
	_ = x.out.Deliver(answer.head, answer.body)
}

// relayStream starts the caller's stream and forwards the events.
func (x *exchange) relayStream(p *placement, answer Answer) error {
	event, err := x.nextEvent(p, answer)
	if err != nil && err != io.EOF {
		return err
	}
	p.latency = time.Since(p.started)
	x.streamStarted, x.status = true, answer.Head().Status
	x.observeAdmission()
	x.execution = apierror.DidRun
	if err := x.out.Begin(answer.Head()); err != nil {
		return callerGone(err)
	}
	if err == io.EOF {
		return x.endStream()
	}
	if err := x.forwardEvent(p, event); err != nil {
		return callerGone(err)
	}
	return x.forwardEvents(p, answer)
}

// forwardEvents forwards events until the stream is complete.
func (x *exchange) forwardEvents(p *placement, answer Answer) error {
	for {
		event, err := x.nextEvent(p, answer)
		if err == io.EOF {
			x.samplePace(p, time.Now())
			x.observeLength()
			return x.endStream()
		}
		if err != nil {
			return err
		}
		p.watched.Received()
		if err := x.forwardEvent(p, event); err != nil {
			return callerGone(err)
		}
	}
}

func (x *exchange) forwardEvent(p *placement, e Event) error {
	if err := x.out.Event(e); err != nil {
		return err
	}
	if !e.IsEmpty {
		x.isEventDue = false
	}
	if e.ID != "" {
		x.lastEvent, p.hasDelivered = e.ID, true
		x.delivered++
		x.paceEvent(p)
	}
	return nil
}

func (x *exchange) endStream() error {
	// An error is ignored: the caller was sent the complete stream.
	_ = x.out.End()
	return nil
}

// recordOutcome updates the health of the server and the statistics of its release.
func (x *exchange) recordOutcome(ctx context.Context, p *placement, err error) {
	now := time.Now()
	switch outcome := outcomeOf(err); {
	case err == nil, err == errEscalated:
		p.server.RecordSuccess()
	case outcome == retry.OutcomeNoCapacity:
		p.server.RecordCapacityRefusal(now)
		x.d.Limits.Rejected(p.server)
	case outcome == retry.OutcomeConnectFailed:
		p.addFault(func() {
			p.server.RecordLost(now)
			x.recordUnresponsive(p, now, UnresponsiveNotifier.NotifyUnreachable)
		})
	case outcome == retry.OutcomeTimeout && ctx.Err() == nil:
		p.addFault(func() { x.recordUnresponsive(p, now, UnresponsiveNotifier.NotifySilent) })
	case outcome == retry.OutcomeCallerGone, outcome == retry.OutcomeDraining, ctx.Err() != nil:
	case err == errServerFailed:
		x.logEjection(p, p.server.RecordFailure(now))
	default:
		p.addFault(func() {
			if outcome == retry.OutcomeDisconnected || outcome == retry.OutcomeNotSent {
				p.server.RecordLost(now)
			}
			x.logEjection(p, p.server.RecordFailure(now))
		})
	}
	// Only a failure response counts against the release; a lost connection is
	// attributed to the server.
	x.observe(p, err == errServerFailed, outcomeOf(err) == retry.OutcomeTimeout)
	x.logAttempt(p, err)
}

func (x *exchange) recordFailure(p *placement) {
	x.logEjection(p, p.server.RecordFailure(time.Now()))
	x.observe(p, true, false)
}

// recordUnresponsive records that the server can't be reached or does not respond, and notifies
// the peers if it was ejected.
func (x *exchange) recordUnresponsive(p *placement, now time.Time, notify func(n UnresponsiveNotifier, server *fleet.Server)) {
	if !p.server.RecordUnresponsive(now) {
		return
	}
	x.logEjection(p, true)
	if x.d.Notifier != nil {
		notify(x.d.Notifier, p.server)
	}
}

func (x *exchange) logEjection(p *placement, ejected bool) {
	if ejected {
		x.d.Log.Log(events.ServerEjected, events.Fields{Server: p.server.ID, RequestID: x.req.ID, Path: x.service})
	}
}
