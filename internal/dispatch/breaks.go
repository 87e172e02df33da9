package dispatch

import (
	"context"

	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/retry"
)

// fingerprint names the request's content: its caller, its path and its body.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.content == (quarantine.Fingerprint{}) {
		x.content = quarantine.FingerprintOf([]byte(x.req.Key), []byte(x.req.Method), []byte(x.req.Host), []byte(x.req.Target), x.req.Body)
	}
	return x.content
}

// quarantined refuses a request that breaks the servers which run it.
func (x *exchange) quarantined() *Refusal {
	if x.d.Breaks.Empty() {
		return nil
	}
	if wait := x.d.Breaks.Refused(x.fingerprint()); wait > 0 {
		return &Refusal{Reason: Quarantined, Ran: x.ran, RetryAfter: wait}
	}
	return nil
}

// noteBreak notes whether a server broke off while it ran the request.
func (x *exchange) noteBreak(ctx context.Context, p *placement, err error) {
	switch {
	case err == nil, err == errEscalated, err == errServerFailed:
		if !x.d.Breaks.Empty() {
			x.d.Breaks.Answered(x.fingerprint())
		}
	case outcomeOf(err) == retry.OutcomeBroken && ctx.Err() == nil:
		x.d.Breaks.Broke(x.fingerprint(), p.server.ID, p.started)
	}
}
