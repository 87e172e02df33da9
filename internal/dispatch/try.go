package dispatch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/ladder"
	"github.com/basilrail/basilrail/internal/pace"
	"github.com/basilrail/basilrail/internal/retry"
)

// errEscalated ends an attempt whose answer was dropped in favour of a larger model.
var errEscalated = NewSendError(retry.OutcomeServerError, errors.New("the answer was left to a larger model"))

// errServerFailed ends an attempt that the server answered with a failure.
var errServerFailed = NewSendError(retry.OutcomeServerError, errors.New("the server answered with a failure"))

// errCallerGone ends an attempt whose caller takes no more of the answer.
var errCallerGone = NewSendError(retry.OutcomeCallerGone, errors.New("the caller left"))

// try makes one attempt. It returns nil when the request has its final answer.
func (x *exchange) try(ctx context.Context, p *placement) error {
	p.server.Begin(p.tokens)
	defer p.server.End(p.tokens)
	p.server.AddPrefill(p.reading)
	defer x.wasRead(p)
	answer, err := x.d.Transport.Send(ctx, p.attempt)
	if outcome := outcomeOf(err); err == nil || (outcome != retry.OutcomeConnectFailed && outcome != retry.OutcomeNotSent) {
		x.sent++
	}
	x.tried = append(x.tried, p.server.ID)
	if err == nil {
		defer answer.Close()
		err = x.take(p, answer)
	}
	x.note(ctx, p, err)
	x.noteBreak(ctx, p, err)
	return err
}

// wasRead takes a prompt off the server's load.
func (x *exchange) wasRead(p *placement) {
	p.server.AddPrefill(-p.reading)
	p.reading = 0
}

// noteFirst notes the first part of an answer.
func (x *exchange) noteFirst(p *placement) {
	p.first = time.Since(p.started)
	if p.alone && p.reading > 0 {
		x.d.pace.Observe(pace.Model{Service: x.service, Name: p.model}, x.req.Prompt.InputTokens, p.first)
	}
	x.wasRead(p)
}

// take passes an answer on.
func (x *exchange) take(p *placement, answer Answer) error {
	head := answer.Head()
	x.noteFirst(p)
	if x.begun {
		if !head.Stream || head.Status != http.StatusOK {
			return errServerFailed
		}
		return x.pump(p, answer)
	}
	if head.Stream && head.Status == http.StatusOK {
		if x.escalates(head) {
			return errEscalated
		}
		return x.stream(p, answer)
	}
	body, err := answer.Body()
	if err != nil {
		return err
	}
	p.first = time.Since(p.started)
	whole := &wholeAnswer{head: head, body: body}
	if head.Status >= http.StatusInternalServerError {
		x.ran = apierror.DidRun
		if x.route.Repeatable() {
			x.held = whole
			return errServerFailed
		}
	}
	x.deliver(whole)
	if head.Status >= http.StatusInternalServerError {
		x.noteFailure(p)
	}
	return nil
}

// escalates decides whether a larger model is asked instead, and moves to it.
func (x *exchange) escalates(head Head) bool {
	if len(x.rungs) == 0 || x.sent+1 > x.route.MaxAttempts {
		return false
	}
	next, ok := ladder.Next(x.rungs, ladder.Answer{
		Rung:          x.rung,
		Confidence:    head.Confidence,
		Remaining:     time.Until(x.deadline),
		TargetLatency: x.route.TargetLatency,
		Utilization:   x.d.Fleet.Snapshot().Utilization(x.service, x.release),
	})
	if !ok || !x.d.Budget.Take() {
		return false
	}
	x.d.Log.Log(events.ExchangeEscalated, events.Fields{
		RequestID: x.req.ID, Model: x.rungs[x.rung].Model, Count: head.Confidence, Reason: x.rungs[next].Model,
	})
	x.rung = next
	// The server that holds the prompt is the best one for the larger model too.
	x.tried = x.tried[:len(x.tried)-1]
	return true
}

func (x *exchange) deliver(whole *wholeAnswer) {
	x.status = whole.head.Status
	// The caller may be gone; the server has answered.
	_ = x.out.Deliver(whole.head, whole.body)
}

// stream begins the caller's stream and passes the events on.
func (x *exchange) stream(p *placement, answer Answer) error {
	event, err := answer.Next()
	if err != nil && err != io.EOF {
		return err
	}
	p.first = time.Since(p.started)
	x.begun, x.status = true, answer.Head().Status
	x.ran = apierror.DidRun
	if x.out.Begin(answer.Head()) != nil {
		return errCallerGone
	}
	if err == io.EOF {
		return x.complete()
	}
	if x.forward(event) != nil {
		return errCallerGone
	}
	return x.pump(p, answer)
}

// pump passes events on until the stream is complete.
func (x *exchange) pump(p *placement, answer Answer) error {
	for {
		event, err := answer.Next()
		if err == io.EOF {
			return x.complete()
		}
		if err != nil {
			return err
		}
		if x.forward(event) != nil {
			return errCallerGone
		}
	}
}

func (x *exchange) forward(e Event) error {
	if err := x.out.Event(e); err != nil {
		return err
	}
	if e.ID != "" {
		x.lastEvent = e.ID
	}
	return nil
}

func (x *exchange) complete() error {
	// The caller may be gone; it was sent the whole stream.
	_ = x.out.End()
	return nil
}

// note keeps the records by which servers and releases are judged.
func (x *exchange) note(ctx context.Context, p *placement, err error) {
	now := time.Now()
	switch outcome := outcomeOf(err); {
	case err == nil, err == errEscalated:
		p.server.Succeeded()
	case outcome == retry.OutcomeNoCapacity:
		p.server.Full(now)
	case outcome == retry.OutcomeConnectFailed, outcome == retry.OutcomeTimeout && ctx.Err() == nil:
		x.silent(p, now)
	case outcome == retry.OutcomeCallerGone, outcome == retry.OutcomeLeaving, ctx.Err() != nil:
	default:
		x.ejected(p, p.server.Failed(now))
	}
	// A connection that broke tells of the server, not of its release.
	x.observe(p, err == errServerFailed)
	x.logAttempt(p, err)
}

func (x *exchange) noteFailure(p *placement) {
	x.ejected(p, p.server.Failed(time.Now()))
	x.observe(p, true)
}

// silent notes that the server can't be reached or says nothing.
func (x *exchange) silent(p *placement, now time.Time) {
	if !p.server.Silent(now) {
		return
	}
	x.ejected(p, true)
	if x.d.Alarm != nil {
		x.d.Alarm.Raise(p.server)
	}
}

func (x *exchange) ejected(p *placement, ejected bool) {
	if ejected {
		x.d.Log.Log(events.ServerEjected, events.Fields{Server: p.server.ID, RequestID: x.req.ID, Path: x.service})
	}
}

func (x *exchange) observe(p *placement, failed bool) {
	x.d.Releases.Observe(Observation{
		Service:     x.service,
		Release:     p.server.Entry.Release,
		Route:       x.route.Name,
		Failed:      failed,
		Latency:     p.first,
		InputTokens: x.req.Prompt.InputTokens,
	})
}
