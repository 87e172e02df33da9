package dispatch

import (
	"slices"
	"time"

	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/pace"
	"github.com/basilrail/basilrail/internal/scheduling"
)

// rank is the request's place in a server's queue; an account's priority goes
// before its route's.
func (x *exchange) rank() int {
	priority := x.route.Priority
	if x.account != nil && x.account.HasPriority {
		priority = x.account.Priority
	}
	return min(lowestRank, firstRank+rankStep*max(0, priority))
}

// model is the model that answers next.
func (x *exchange) model() pace.Model {
	m := pace.Model{Service: x.service}
	if len(x.rungs) > 0 {
		m.Name = x.rungs[x.rung].Model
	}
	return m
}

// pick chooses a server, first among those that serve well, then among all that
// were not tried yet.
func (x *exchange) pick() (*fleet.Server, scheduling.Decision, *Refusal) {
	snap := x.d.Fleet.Snapshot()
	release := x.release
	if release != "" && len(snap.Candidates(x.service, release)) == 0 {
		release = ""
	}
	now := time.Now()
	req := scheduling.Request{
		Service:       x.service,
		Tokens:        max(plainTokens, x.req.Prompt.Tokens()),
		PrefixHash:    x.req.Prompt.shared(),
		SharedWork:    x.d.pace.Reading(x.model(), x.req.Prompt.sharedTokens()),
		FailureDomain: x.d.FailureDomain,
		Now:           now,
	}
	for _, excluded := range x.exclusions(snap, now) {
		req.Excluded = excluded
		decision, err := x.choose(snap, release, req)
		if err != nil {
			continue
		}
		if server, ok := snap.Server(decision.Server.ID); ok {
			return server, decision, nil
		}
	}
	return nil, scheduling.Decision{}, &Refusal{Reason: NoServer, Ran: x.ran, RetryAfter: comeBackSoon}
}

// choose picks a server of the own failure domain, unless the request would wait
// so long there that the way to another one is worth it.
func (x *exchange) choose(snap *fleet.Snapshot, release string, req scheduling.Request) (scheduling.Decision, error) {
	rng := x.d.random()
	near, err := scheduling.Fleet.PickFrom(snap.Near(x.service, release), req, rng)
	if err == nil && near.Candidates[0].Load <= spillWork.Seconds() {
		return near, nil
	}
	far, farErr := scheduling.Fleet.PickFrom(snap.Candidates(x.service, release), req, rng)
	if err == nil && (farErr != nil || near.Candidates[0].Load <= far.Candidates[0].Load+spillWork.Seconds()) {
		return near, nil
	}
	return far, farErr
}

// exclusions lists the servers to leave out, the longest list first.
func (x *exchange) exclusions(snap *fleet.Snapshot, now time.Time) [][]string {
	unavailable := slices.Clone(x.tried)
	suspect := slices.Clone(x.tried)
	for _, server := range snap.Servers(x.service) {
		if !server.Available(now) {
			unavailable = append(unavailable, server.ID)
			suspect = append(suspect, server.ID)
		} else if server.Suspect(now) {
			suspect = append(suspect, server.ID)
		}
	}
	lists := [][]string{suspect}
	if len(suspect) > len(unavailable) {
		lists = append(lists, unavailable)
	}
	if len(unavailable) > len(x.tried) {
		lists = append(lists, x.tried)
	}
	return lists
}
