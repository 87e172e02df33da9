package dispatch

import (
	"context"

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

// checkQuarantine refuses a request whose content has repeatedly made servers
// disconnect while they ran it.
func (x *exchange) checkQuarantine() *Refusal {
	if x.d.Disconnects.Empty() {
		return nil
	}
	if wait := x.d.Disconnects.RefusedFor(x.fingerprint()); wait > 0 {
		return &Refusal{Reason: Quarantined, Execution: x.execution, RetryAfter: wait}
	}
	return nil
}

// recordDisconnect reports to the disconnect tracker whether the server answered
// the request or disconnected while running it.
func (x *exchange) recordDisconnect(ctx context.Context, p *placement, err error) {
	switch {
	case err == nil, err == errEscalated, err == errServerFailed:
		if !x.d.Disconnects.Empty() {
			x.d.Disconnects.Answered(x.fingerprint())
		}
	case outcomeOf(err) == retry.OutcomeDisconnected && ctx.Err() == nil:
		x.d.Disconnects.Disconnected(x.fingerprint(), p.server.ID, p.started)
	}
}
