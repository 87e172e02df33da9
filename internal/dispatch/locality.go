package dispatch

import (
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/locality"
	"github.com/basilrail/basilrail/internal/scheduling"
)

// chooseByPolicy decides by the locality policy where the request runs, given the choice in the own failure domain if there is one.
// ok is false if the policy is off or leaves it open.
func (x *exchange) chooseByPolicy(snap *fleet.Snapshot, release string, req *scheduling.Request, near scheduling.Decision, hasHome bool) (decision scheduling.Decision, ok bool) {
	l := x.d.Locality
	if l == nil {
		return scheduling.Decision{}, false
	}
	if !x.isCounted {
		l.Count(x.service)
		x.isCounted = true
	}
	known := l.Domains(x.service, !x.route.CarriesPrompt)
	if len(known) == 0 {
		return scheduling.Decision{}, false
	}
	in := x.localityInput(req, near, hasHome)
	if hasHome && in.Target > 0 && !l.Policy.IsThreatened(&in) {
		return near, true
	}
	choices := x.addDomains(&in, known, snap, release, req)
	result := l.Policy.Decide(in)
	switch result.Verdict {
	case locality.Stay:
		return near, true
	case locality.LeaveLate:
		return leaveWith(choices[result.Domain], scheduling.LeftLate), true
	case locality.LeaveUnusable:
		return leaveWith(choices[result.Domain], scheduling.LeftUnusable), true
	}
	return scheduling.Decision{}, false
}

// leaveWith replaces the reason of a choice.
func leaveWith(d scheduling.Decision, reason scheduling.Reason) scheduling.Decision {
	d.Candidates[0].Reason = reason
	return d
}

// localityInput describes the request and its place in the own failure domain.
func (x *exchange) localityInput(req *scheduling.Request, near scheduling.Decision, hasHome bool) locality.Input {
	in := locality.Input{
		HasHome: hasHome, Work: locality.PlainWork, Target: x.route.TargetLatency, LinkTime: locality.LinkTime(), Draw: x.d.draw(), Bytes: x.bytes(),
	}
	if x.route.CarriesPrompt {
		in.Work = req.Prefill
	}
	if !hasHome {
		return in
	}
	in.HomeWait = x.waitAt(req, near.Server)
	if x.route.CarriesPrompt && near.Candidates[0].Load < in.HomeWait.Seconds() {
		// The work counted less since the server probably has the shared part of the prompt.
		in.Held = req.SharedWork
	}
	return in
}

// bytes estimates the bytes of the request and its answer.
func (x *exchange) bytes() int {
	return locality.Bytes(len(x.req.Body), x.req.Prompt.Tokens()-int64(x.req.Prompt.InputTokens))
}

// waitAt estimates the wait at a server by what this instance knows.
func (x *exchange) waitAt(req *scheduling.Request, server *datastore.Server) time.Duration {
	if !x.route.CarriesPrompt {
		return locality.Wait(float64(server.TotalLoad().Requests), float64(server.Settings.Capacity), 0, true)
	}
	work := scheduling.Wait(server)
	if req.Speeds != nil {
		work = time.Duration(req.Speeds.Factor(server) * float64(work))
	}
	return work
}

// addDomains adds the other failure domains that have a server for the request, and returns the choice of a server in each.
func (x *exchange) addDomains(in *locality.Input, known []locality.Domain, snap *fleet.Snapshot, release string, req *scheduling.Request) map[string]scheduling.Decision {
	choices := make(map[string]scheduling.Decision)
	byDomain := make(map[string][]*datastore.Server)
	for _, server := range snap.Candidates(x.service, release) {
		domain := server.Settings.FailureDomain
		byDomain[domain] = append(byDomain[domain], server)
	}
	for _, domain := range known {
		choice, err := scheduling.Fleet.PickFrom(byDomain[domain.Name], *req, x.d.random())
		if err != nil {
			// It has no server for the request.
			continue
		}
		// The summary contains the requests of this instance, unless it sent them just now.
		domain.Wait = max(domain.Wait, x.waitAt(req, choice.Server))
		choices[domain.Name] = choice
		in.Domains = append(in.Domains, domain)
	}
	return choices
}

// observeLeaving counts an attempt that the policy placed in another failure domain.
func (x *exchange) observeLeaving(p *placement) {
	if p.reason != scheduling.LeftLate && p.reason != scheduling.LeftUnusable {
		return
	}
	reason := "late"
	if p.reason == scheduling.LeftUnusable {
		reason = "unusable"
	} else {
		x.d.Locality.Sent(x.service, p.server.Registration.FailureDomain)
	}
	x.d.Metrics.SentOut.Add(reason, 1)
	x.d.Metrics.SentOutBytes.Add(reason, int64(x.bytes()))
}
