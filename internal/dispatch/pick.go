package dispatch

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/brittle"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/prefill"
	"github.com/basilrail/basilrail/internal/scheduling"
)

// rank is the request's rank in a server's queue.
func (x *exchange) rank() int { return min(lowestRank, firstRank+rankStep*x.priority()) }

// priority is the request's priority: that of its account, or else of its route.
func (x *exchange) priority() int {
	priority := x.route.Priority
	if x.account != nil && x.account.HasPriority {
		priority = x.account.Priority
	}
	return max(0, priority)
}

// model returns the model of the next attempt.
func (x *exchange) model() prefill.Model { return x.modelOf(x.tier) }

// modelOf returns the model of a tier.
func (x *exchange) modelOf(tier int) prefill.Model {
	m := prefill.Model{Service: x.service}
	if len(x.tiers) > 0 {
		m.Name = x.tiers[tier].Model
	}
	return m
}

// exclusionLists returns the servers to exclude in successive rounds of a choice.
type exclusionLists func(x *exchange, snap *fleet.Snapshot, now time.Time) [][]string

// maxAsks is the number of servers at which a request asks for a slot in vain before it is refused.
const maxAsks = 8

// errNoSlot is the error of a choice if no server has a free slot.
var errNoSlot = errors.New("no server has a free slot")

// pick chooses a server that the first possible of the exclusions leaves, and occupies a slot there.
func (x *exchange) pick(exclusions exclusionLists) (*fleet.Server, *brittle.Slot, scheduling.Decision, *Refusal) {
	snap := x.d.Fleet.Snapshot()
	release, ok := x.releaseIn(snap)
	if !ok || release != x.release {
		x.d.Log.Log(events.ExchangeReleaseMissing, events.Fields{RequestID: x.req.ID, Path: x.service, Version: x.release})
	}
	if !ok {
		return nil, nil, scheduling.Decision{}, &Refusal{Reason: NoServer, Execution: x.execution, RetryAfter: shortRetryAfter}
	}
	now := time.Now()
	req := scheduling.Request{
		Service:       x.service,
		Tokens:        max(plainTokens, x.req.Prompt.Tokens()),
		PrefixHash:    x.req.Prompt.sharedPrefixHash(),
		SharedWork:    x.d.prefill.Estimate(x.model(), x.req.Prompt.sharedPrefixTokens()),
		Limits:        x.d.Limits,
		Prefill:       x.d.prefill.Estimate(x.model(), x.req.Prompt.InputTokens),
		Remaining:     x.deadline.Sub(now),
		Speeds:        x.speedsFor(snap),
		FailureDomain: x.d.FailureDomain,
		Now:           now,
	}
	reason := NoServer
	var full []string
	for _, excluded := range x.packed(exclusions(x, snap, now), snap, release) {
		// The list of servers that were tried belongs to the exchange.
		req.Excluded = slices.Concat(excluded, full)
		server, slot, decision, err := x.take(snap, release, &req)
		if err == nil {
			return server, slot, decision, nil
		}
		full = req.Excluded[len(excluded):]
		if isLimited(err) || len(full) > 0 {
			reason = Overloaded
		}
	}
	if snap.IsOnlyEvacuated(x.service, release) {
		return nil, nil, scheduling.Decision{}, x.spread(&Refusal{Reason: Evacuated, Execution: x.execution, RetryAfter: longRetryAfter}, 0)
	}
	if refusal := x.pausedRefusal(snap, now); refusal != nil {
		return nil, nil, scheduling.Decision{}, refusal
	}
	refusal := &Refusal{Reason: reason, Execution: x.execution, RetryAfter: shortRetryAfter}
	if reason == Overloaded {
		refusal = x.spread(refusal, 0)
	}
	return nil, nil, scheduling.Decision{}, refusal
}

// isLimited reports whether servers were rejected for their limits or for lack of room.
func isLimited(err error) bool {
	var none *scheduling.NoServerError
	return errors.As(err, &none) && slices.ContainsFunc(none.Candidates, func(c scheduling.Candidate) bool {
		return c.Reason == scheduling.RejectedLimited
	})
}

// take picks a server, occupies a slot there if it is brittle, and takes a request from its limit, if
// it named one. Another request may take the last one first; the server is then excluded in the next
// round.
func (x *exchange) take(snap *fleet.Snapshot, release string, req *scheduling.Request) (*fleet.Server, *brittle.Slot, scheduling.Decision, error) {
	for range maxAsks {
		decision, err := x.choose(snap, release, *req)
		if err != nil {
			return nil, nil, decision, err
		}
		server, known := snap.Server(decision.Server.ID)
		if !known {
			return nil, nil, decision, errors.Errorf("server %s is not in the snapshot", decision.Server.ID)
		}
		if slot, ok := x.d.Limits.Take(server.ID, x.deadline); ok {
			return server, slot, decision, nil
		}
		req.Excluded = append(req.Excluded, server.ID)
	}
	return nil, nil, scheduling.Decision{}, errNoSlot
}

// releaseIn returns the release to which the request is restricted; empty for any
// release. It is the selected one unless that has no server or was withdrawn meanwhile; ok
// is false if all others were withdrawn.
func (x *exchange) releaseIn(snap *fleet.Snapshot) (release string, ok bool) {
	isWithdrawn := func(release string) bool { return x.d.Releases.IsWithdrawn(x.service, release) }
	if x.release != "" && len(snap.Candidates(x.service, x.release)) > 0 && !isWithdrawn(x.release) && !snap.IsOnlyEvacuated(x.service, x.release) {
		return x.release, true
	}
	all := snap.Releases(x.service)
	usable := slices.DeleteFunc(slices.Clone(all), isWithdrawn)
	switch len(usable) {
	case len(all):
		return "", true
	case 0:
		return "", false
	}
	return usable[0], true
}

// choose picks a server of this instance's failure domain, unless the locality policy sends the request to another one or, if that
// leaves it open, the estimated wait there exceeds the wait elsewhere by more than crossDomainPenalty.
func (x *exchange) choose(snap *fleet.Snapshot, release string, req scheduling.Request) (scheduling.Decision, error) {
	rng := x.d.random()
	near, err := scheduling.Fleet.PickFrom(snap.SameDomain(x.service, release), req, rng)
	if decision, ok := x.chooseByPolicy(snap, release, &req, near, err == nil); ok {
		return decision, nil
	}
	if err == nil && near.Candidates[0].Load <= crossDomainPenalty.Seconds() {
		return near, nil
	}
	far, farErr := scheduling.Fleet.PickFrom(snap.Candidates(x.service, release), req, rng)
	if err == nil && (farErr != nil || near.Candidates[0].Load <= far.Candidates[0].Load+crossDomainPenalty.Seconds()) {
		return near, nil
	}
	return far, farErr
}

// healthyOnly excludes the servers that were tried, are ejected or degraded.
func (x *exchange) healthyOnly(snap *fleet.Snapshot, now time.Time) [][]string {
	return x.exclusions(snap, now)[:1]
}

// exclusions returns the lists of servers to exclude in successive rounds, the
// longest list first: all servers that were tried, are ejected or degraded, all that were
// tried or ejected, and all that were tried. The list of degraded servers includes the
// unavailable ones.
func (x *exchange) exclusions(snap *fleet.Snapshot, now time.Time) [][]string {
	return x.exclusionsBeside(x.tried, snap, now)
}

// exclusionsBeside is exclusions with other servers in place of those that were tried.
func (x *exchange) exclusionsBeside(always []string, snap *fleet.Snapshot, now time.Time) [][]string {
	unavailable := slices.Clone(always)
	degraded := slices.Clone(always)
	for _, server := range snap.Servers(x.service) {
		if !server.Available(now) {
			unavailable = append(unavailable, server.ID)
			degraded = append(degraded, server.ID)
		} else if server.IsDegraded(now) {
			degraded = append(degraded, server.ID)
		}
	}
	lists := [][]string{degraded}
	if len(degraded) > len(unavailable) {
		lists = append(lists, unavailable)
	}
	if len(unavailable) > len(always) {
		lists = append(lists, always)
	}
	return lists
}
