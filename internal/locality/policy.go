// Package locality decides which requests leave the failure domain of the instance that received them.
//
// Bytes between failure domains cost money, and an instance does not see the load of the servers elsewhere: with only its own
// requests to compare, these look idle, and many instances send there at the same time. The failure domains exchange summaries of
// their load. A request leaves if its target latency is threatened at home, another failure domain would meet it, and that one has
// room for its share; or if no server at home can take it.
package locality

import (
	"time"
)

const (
	// threatenedPart is the part of the target latency from which the expected time to the first event may make a request late:
	// the estimates are means, and single requests take up to twice as long.
	threatenedPart = 0.5
	// minGain is the least decrease of the probability to be late for which a small request leaves. It is about the error of
	// the estimates.
	minGain = 0.1
	// doubleBytes is the size of prompt and answer that has to gain twice as much: bytes between failure domains are slow and
	// paid for, at a price that the product does not know.
	doubleBytes = 64 << 10
	// leastRoom is the part of the slots that counts as room of a failure domain without any, when requests have to leave.
	leastRoom = 0.02
)

// Verdict is the result of a decision.
type Verdict int

// The verdicts.
const (
	// AsBefore leaves the decision to the comparison of waits: too little is known about other failure domains.
	AsBefore Verdict = iota
	// Stay keeps the request in its failure domain.
	Stay
	// LeaveLate sends the request out because its target latency is threatened.
	LeaveLate
	// LeaveUnusable sends it out because no server at home can take it.
	LeaveUnusable
)

// Input describes a request and the places where it may run.
type Input struct {
	// HasHome reports whether a server of the own failure domain can take the request, and HomeWait is the wait at the best one.
	HasHome  bool
	HomeWait time.Duration
	// Work is the time from the wait to the first event, or to the answer of a plain call. Held is how much of it that server
	// saves by the parts of the prompt that it has in its cache.
	Work time.Duration
	Held time.Duration
	// Target is the time to the first event or answer that the caller expects; zero for none.
	Target time.Duration
	// LinkTime is how much longer a request to another failure domain takes.
	LinkTime time.Duration
	// Bytes is the estimated size of the prompt and the answer.
	Bytes int
	// Domains are the other failure domains that have a server for the request and a summary that has not expired.
	Domains []Domain
	// Draw is a random number in [0, 1).
	Draw float64
}

// Domain is another failure domain.
type Domain struct {
	Name string
	// Wait is the estimated wait at its best server.
	Wait time.Duration
	// Slots are those of its usable servers, and Room the requests from elsewhere for which it has room.
	Slots float64
	Room  float64
	// Credit is the number of requests that this instance may still send there: its allowed share of the requests
	// that it received, less those that it sent.
	Credit float64
}

// Decision says where a request runs. Domain is empty unless it leaves.
type Decision struct {
	Verdict Verdict
	Domain  string
}

// Policy decides. It has no state.
type Policy struct{}

// IsThreatened reports whether a request may be late at home, so that the other failure domains have to be looked at.
func (Policy) IsThreatened(in *Input) bool {
	return !in.HasHome || (in.Target > 0 && lateRisk(in.homeTime(), in.Target) > 0)
}

// Decide decides where a request runs.
func (p Policy) Decide(in Input) Decision {
	switch {
	case len(in.Domains) == 0, in.HasHome && in.Target <= 0:
		return Decision{Verdict: AsBefore}
	case !p.IsThreatened(&in):
		return Decision{Verdict: Stay}
	case !in.HasHome:
		return Decision{Verdict: LeaveUnusable, Domain: draw(in.Domains, in.Draw, func(d *Domain) float64 {
			return max(d.Room, leastRoom*d.Slots)
		})}
	}
	domain := draw(in.Domains, in.Draw, func(d *Domain) float64 {
		if d.Credit < 1 || !in.pays(d) {
			return 0
		}
		return d.Room
	})
	if domain == "" {
		return Decision{Verdict: Stay}
	}
	return Decision{Verdict: LeaveLate, Domain: domain}
}

// homeTime is the expected time to the first event at home.
func (in *Input) homeTime() time.Duration { return in.HomeWait + in.Work - in.Held }

// pays reports whether the request would meet its target in another failure domain, and whether that is worth its bytes.
func (in *Input) pays(d *Domain) bool {
	away := d.Wait + in.Work + in.LinkTime
	risk := lateRisk(away, in.Target)
	gain := lateRisk(in.homeTime(), in.Target) - risk
	return risk < 1 && gain >= minGain*(1+float64(in.Bytes)/doubleBytes)
}

// lateRisk estimates the probability that a request is late whose first event is expected after a time.
func lateRisk(expected, target time.Duration) float64 {
	part := float64(expected) / float64(target)
	return min(1, max(0, (part-threatenedPart)/(1-threatenedPart)))
}

// draw returns the name of a domain drawn by weight; empty if all weights are zero.
func draw(domains []Domain, random float64, weight func(*Domain) float64) string {
	sum := 0.0
	for i := range domains {
		sum += max(0, weight(&domains[i]))
	}
	rest, name := random*sum, ""
	for i := range domains {
		w := max(0, weight(&domains[i]))
		if w == 0 {
			continue
		}
		name = domains[i].Name
		if rest -= w; rest < 0 {
			break
		}
	}
	return name
}
