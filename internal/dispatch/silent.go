package dispatch

import (
	"context"
	"time"

	"github.com/basilrail/basilrail/internal/retry"
)

// secureNext prepares the attempt that follows if the server of p is given up because it is
// silent, and reports whether there is one. A silent server may only be slow: its answer is not
// given up unless a healthy server can take the request and the retry budget allows.
func (x *exchange) secureNext(ctx context.Context, p *placement) bool {
	if x.next != nil {
		return true
	}
	x.reportSilence(ctx, p)
	if x.d.queue(x.service).Len() > 0 || !x.isRepeatable(ctx, retry.OutcomeTimeout) {
		return false
	}
	if !x.d.Budgets.Take(x.service) {
		x.denyRepeat(p)
		return false
	}
	next, refusal := x.placeWith((*exchange).healthyOnly)
	if refusal != nil {
		x.d.Budgets.Return(x.service)
		return false
	}
	x.next = next
	return true
}

// denyRepeat counts an attempt without budget for a repeat, once.
func (x *exchange) denyRepeat(p *placement) {
	if !p.wasDenied {
		p.wasDenied = true
		x.d.Metrics.RepeatsDenied.Add(x.service, 1)
	}
}

// reportSilence reports the server of an attempt as unresponsive, once, unless the fault is one
// of the links.
func (x *exchange) reportSilence(ctx context.Context, p *placement) {
	if p.isReportedSilent {
		return
	}
	p.isReportedSilent = true
	now := time.Now()
	// The check of the links may take longer than the caller of secureNext can wait.
	go func() {
		if x.d.Paths == nil || x.d.Paths.Check(ctx, x.service) {
			x.recordUnresponsive(p, now)
		}
	}()
}

// nextPlacement returns the placement of the next attempt: the secured one, if there is one.
func (x *exchange) nextPlacement(ctx context.Context) (*placement, *Refusal) {
	p := x.next
	if p == nil {
		return x.placeInTurn(ctx)
	}
	x.next = nil
	if refusal := x.checkAllowed(); refusal != nil {
		x.d.Budgets.Return(x.service)
		return nil, refusal
	}
	x.d.Metrics.Repeats.Add(x.service, 1)
	// The stream may have gone on since the placement was secured.
	p.started, p.attempt = time.Now(), x.newAttempt(p)
	return p, nil
}

// releaseNext gives the secured placement back unless an attempt ended for it.
func (x *exchange) releaseNext(ctx context.Context, err error) {
	if x.next == nil || err != nil && outcomeOf(err) == retry.OutcomeTimeout && ctx.Err() == nil {
		return
	}
	x.next = nil
	x.d.Budgets.Return(x.service)
}
