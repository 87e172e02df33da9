package dispatch

import "time"

// unconfirmedFailure is a failure response that may be due to its request. It counts against its
// release unless the request also fails in the next attempt.
type unconfirmedFailure struct {
	observation Observation
	// nextRelease is the release to which the request was restricted for the next
	// attempt; empty for the same release.
	nextRelease string
}

// observe reports the outcome of an attempt to the release's statistics. After a failure
// the request's further attempts say more about the request than about a release: they only
// confirm or refute the first failure.
func (x *exchange) observe(p *placement, failed, timedOut bool) {
	if x.hasFailed {
		if failed {
			x.refuteFailure(p)
		}
		return
	}
	x.hasFailed = failed || timedOut
	o := Observation{
		Service:     x.service,
		Release:     p.server.Registration.Release,
		Route:       x.route.Name,
		Model:       p.model,
		Failed:      failed,
		Latency:     p.latency,
		InputTokens: x.req.Prompt.InputTokens,
	}
	if timedOut && p.latency == 0 {
		o.Latency, o.GivenUp = time.Since(p.started), true
	}
	switch {
	case timedOut:
		p.addFault(func() { x.d.Releases.Observe(o) })
	case failed && x.mayConfirm():
		x.unconfirmed = &unconfirmedFailure{observation: o, nextRelease: x.d.Releases.Alternative(x.service, o.Release)}
		if x.unconfirmed.nextRelease != "" {
			x.release = x.unconfirmed.nextRelease
		}
	default:
		x.d.Releases.Observe(o)
	}
}

// mayConfirm reports whether another attempt may show whether a failure is due to the request. A
// session stays on its release.
func (x *exchange) mayConfirm() bool {
	return x.req.Session == "" && x.route.Repeatable() && x.sent < x.route.MaxAttempts
}

// refuteFailure drops an unconfirmed failure after another attempt failed too. If that
// was to run on another release, it must have.
func (x *exchange) refuteFailure(p *placement) {
	if u := x.unconfirmed; u != nil && (u.nextRelease == "" || p.server.Registration.Release == u.nextRelease) {
		x.unconfirmed = nil
	}
}

// confirmFailure counts an unconfirmed failure.
func (x *exchange) confirmFailure() {
	if x.unconfirmed != nil {
		x.d.Releases.Observe(x.unconfirmed.observation)
		x.unconfirmed = nil
	}
}
