package dispatch

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/retry"
)

// fingerprint returns the fingerprint of the request: its key, method, host, target
// and body. It is computed once.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.cachedFingerprint == (quarantine.Fingerprint{}) {
		x.cachedFingerprint = quarantine.FingerprintOf([]byte(x.req.Key), []byte(x.req.Method), []byte(x.req.Host), []byte(x.req.Target), x.req.Body)
	}
	return x.cachedFingerprint
}

// errPartRefused ends an attempt whose prompt has a part that was found to crash servers
// while the server had not answered yet.
var errPartRefused = NewSendError(retry.OutcomeCallerGone, errors.New("a part of the prompt was found to crash servers"))

// checkParts refuses a request whose prompt has a part that crashes servers. If the request
// passes as a trial, its further attempts pass until one loses its connection.
func (x *exchange) checkParts() *Refusal {
	if !x.route.CarriesPrompt || x.isTrial {
		return nil
	}
	wait, refused, isTrial := x.d.Poison.Refused(x.req.Prompt.sharedParts())
	x.isTrial = isTrial
	if !refused {
		return nil
	}
	return &Refusal{Reason: Quarantined, Execution: x.execution, RetryAfter: wait}
}

// watch lets the poison tracker follow an attempt; cancel ends it.
func (x *exchange) watch(p *placement, cancel context.CancelFunc) {
	if x.route.CarriesPrompt {
		p.watched = x.d.Poison.Begin(p.server.Registration.Process(), x.req.Prompt.sharedParts(), cancel)
	}
}

// endWatch reports the end of an attempt to the poison tracker. It returns errPartRefused
// if the tracker has ended it.
func (x *exchange) endWatch(ctx context.Context, p *placement, err error) error {
	switch {
	case err == nil:
		p.watched.Answered()
	case p.watched.WasRefused() && ctx.Err() == nil:
		p.watched.Ended()
		return errPartRefused
	case outcomeOf(err) == retry.OutcomeDisconnected && ctx.Err() == nil:
		at := time.Now()
		p.watched.Ended()
		p.addFault(func() { p.watched.Disconnected(at) })
		x.isTrial = false
	default:
		p.watched.Ended()
	}
	return err
}

// checkQuarantine refuses a request whose content has repeatedly made servers
// disconnect while they ran it, or whose prompt has a part that crashes them. If the request
// passes as a trial of its content, it passes until it loses a connection.
func (x *exchange) checkQuarantine() *Refusal {
	if refusal := x.checkParts(); refusal != nil {
		return refusal
	}
	if x.isContentTrial || x.d.Disconnects.Empty() {
		return nil
	}
	wait, isTrial := x.d.Disconnects.Admit(context.Background(), x.fingerprint())
	x.isContentTrial = isTrial
	if wait > 0 {
		return &Refusal{Reason: Quarantined, Execution: x.execution, RetryAfter: wait}
	}
	return nil
}

// recordDisconnect reports to the disconnect tracker whether the server answered
// the request or disconnected while running it. An answer that was dropped for a larger model proves nothing: its server
// may have crashed after the head.
func (x *exchange) recordDisconnect(ctx context.Context, p *placement, err error) {
	switch {
	case err == nil, err == errServerFailed:
		if !x.d.Disconnects.Empty() {
			x.d.Disconnects.Answered(x.fingerprint())
		}
	case outcomeOf(err) == retry.OutcomeDisconnected && ctx.Err() == nil:
		x.isContentTrial = false
		content, at := x.fingerprint(), time.Now()
		p.addFault(func() { x.d.Disconnects.Disconnected(content, p.server.Registration.Process(), p.started, at) })
	}
}
