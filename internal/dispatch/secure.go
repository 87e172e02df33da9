package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/retry"
)

// resumeInterval is the time between two tries to go on with a stream whose server was given up.
const resumeInterval = 300 * time.Millisecond

// secureNext prepares the attempt that follows if the server of p is given up because it is
// silent, and reports whether there is one. A silent server may only be slow: its answer is not
// given up unless a healthy server can take the request and the retry budget allows.
func (x *exchange) secureNext(ctx context.Context, p *placement) bool {
	if x.next != nil {
		return true
	}
	x.reportSilence(ctx, p)
	if x.d.queue(x.service).Len() > 0 || !x.isRepeatable(ctx, retry.OutcomeTimeout) || x.checkAllowed() != nil {
		return false
	}
	if !x.reserveRepeat(p.wasDenied) {
		p.wasDenied = true
		return false
	}
	x.isInFlight = true
	next, refusal := x.placeWith((*exchange).healthyOnly)
	x.isInFlight = false
	if refusal != nil {
		x.d.Budgets.Return(x.service)
		return false
	}
	x.next = next
	return true
}

// secureEscalation prepares the attempt at the model of the tier next, and reports whether there
// is one: an answer is not discarded unless the request may run once more, and a server can take it for the larger
// model.
func (x *exchange) secureEscalation(head Head, next int) bool {
	if !x.mayRun() || !x.reserveRepeat(false) {
		return false
	}
	x.dropNext()
	tier, tried := x.tier, x.tried
	// The server that holds the prompt is also the best one for the larger model.
	x.tier, x.tried = next, tried[:len(tried)-1]
	placed, refusal := x.place()
	if refusal != nil && !(refusal.Reason == ServersPaused && x.canWait(refusal, 0)) {
		x.tier, x.tried = tier, tried
		x.d.Budgets.Return(x.service)
		return false
	}
	if placed == nil {
		// The request waits for its turn; nextPlacement counts only repeats that are placed.
		x.d.Metrics.Repeats.Add(x.service, 1)
	}
	x.next = placed
	x.d.Log.Log(events.ExchangeEscalated, events.Fields{
		RequestID: x.req.ID, Model: x.tiers[tier].Model, Count: head.Confidence, Reason: x.tiers[next].Model,
	})
	return true
}

// reserveRepeat takes a repeat from the service's retry budget, if one is left. A denial that was
// counted before is not counted again.
func (x *exchange) reserveRepeat(isCounted bool) bool {
	if x.d.Budgets.Take(x.service) {
		return true
	}
	if !isCounted {
		x.d.Metrics.RepeatsDenied.Add(x.service, 1)
	}
	return false
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
			x.recordUnresponsive(p, now, UnresponsiveNotifier.NotifySilent)
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
	refusal := x.checkStop()
	if refusal == nil {
		refusal = x.checkAllowed()
	}
	if refusal == nil {
		refusal = x.checkQuarantine()
	}
	if refusal != nil {
		p.slot.End(true)
		x.d.Budgets.Return(x.service)
		return nil, refusal
	}
	x.d.Metrics.Repeats.Add(x.service, 1)
	// The stream may have gone on since the placement was secured.
	p.started, p.attempt = time.Now(), x.newAttempt(p)
	return p, nil
}

// releaseNext gives the secured placement back unless the attempt ended for it.
func (x *exchange) releaseNext(ctx context.Context, err error) {
	endedForNext := err == errEscalated || err != nil && outcomeOf(err) == retry.OutcomeTimeout
	if !endedForNext || ctx.Err() != nil {
		x.dropNext()
		return
	}
	x.hasGivenUp = x.hasGivenUp || x.next != nil && err != errEscalated
}

// goOnAfter decides whether a stream goes on after a refusal that would end it; it returns nil if
// so. A stream whose server was given up goes on as soon as a server takes it: that server might
// have finished it.
func (x *exchange) goOnAfter(ctx context.Context, refusal *Refusal) *Refusal {
	for refusal != nil {
		if !x.hasGivenUp || !x.streamStarted || ctx.Err() != nil || refusal.isFinal() {
			return refusal
		}
		if interrupted := x.sleep(ctx, resumeInterval); interrupted != nil {
			return interrupted
		}
		if !x.reserveRepeat(true) {
			continue
		}
		x.next, refusal = x.placeWith((*exchange).askedAgain)
		if refusal != nil {
			x.d.Budgets.Return(x.service)
		}
	}
	return nil
}

// askedAgain excludes servers like exclusions, but not those that were tried. Once the request was
// sent to as many servers as its route allows it excludes all others.
func (x *exchange) askedAgain(snap *fleet.Snapshot, now time.Time) [][]string {
	tried := slices.Compact(slices.Sorted(slices.Values(x.tried)))
	var never []string
	if len(tried) >= x.route.MaxAttempts {
		for _, server := range snap.Servers(x.service) {
			if !slices.Contains(tried, server.ID) {
				never = append(never, server.ID)
			}
		}
	}
	return x.exclusionsBeside(never, snap, now)
}

// dropNext gives the secured placement back, if there is one.
func (x *exchange) dropNext() {
	if x.next != nil {
		x.next.slot.End(true)
		x.next = nil
		x.d.Budgets.Return(x.service)
	}
}
