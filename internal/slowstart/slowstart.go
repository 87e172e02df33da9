// Package slowstart limits the requests to backend servers that are cold: for some seconds after its start a server
// bears few requests a second, from all instances together, and crashes beyond. Cold are servers that have just
// started, say so in their registration, return from an evacuation, or were lost and may have started again. After the cold
// time the rate rises in steps.
//
// The rates are kept by package requestlimit: all instances compute the same quotas without asking each other.
package slowstart

import (
	"math"
	"time"

	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/requestlimit"
	"github.com/basilrail/basilrail/internal/routing"
)

const (
	// boundWindow is the time for which the bound of a cold server holds, wherever it begins.
	boundWindow = time.Second
	// sendDelay is how long after its slot a request may still be sent: connections are opened meanwhile, and the clocks
	// of the instances differ by some milliseconds.
	sendDelay = 500 * time.Millisecond
	// maxSlot bounds the slots of servers that bear less than a request a second.
	maxSlot = 30 * time.Second
	// returnDelay is how long after the end of an evacuation the registrations show that the servers are cold.
	returnDelay = 2 * time.Second
	// rampStep is the time after which a server that is not cold any more gets rampFactor times as many requests, and
	// rampSteps the number of steps until it is not limited.
	rampStep   = 500 * time.Millisecond
	rampFactor = 2
	rampSteps  = 3
	// maxPerSlot bounds the quotas of odd rates.
	maxPerSlot = 1 << 20
)

// slots are the lengths of slots that are tried, the shortest first: short ones let an instance wait less for its turn.
var slots = []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, 5 * time.Second, maxSlot}

// Bounds are the bounds for cold servers that operators set.
type Bounds struct {
	// Overrun times the rate that a cold server bears, and Slack requests more, may reach it within a second.
	Overrun float64
	Slack   float64
}

// Limit returns how many requests may reach a server within a second that bears perSecond while it is cold.
func (b Bounds) Limit(perSecond float64) float64 {
	return perSecond*max(1, b.Overrun) + max(0, b.Slack)
}

// quota returns how many requests all instances together may send in each slot, and the length of the slots, so that no more than
// limit requests are sent in any second.
func quota(limit float64) (perSlot int, slot time.Duration) {
	for _, length := range slots {
		// Requests of so many slots may be sent within one second.
		overlapping := math.Ceil(float64(boundWindow+sendDelay)/float64(length)) + 1
		if n := math.Floor(limit / overlapping); n >= 1 {
			return int(min(n, maxPerSlot)), length
		}
	}
	return 0, maxSlot
}

// phase is the state of a server: cold, then in one of the steps of the ramp, then warm.
type phase int

const (
	warm phase = -1
	cold phase = 0
)

// phaseOf returns the phase of a server of a service whose servers are cold for coldStart.
func phaseOf(h fleet.History, coldStart time.Duration, now time.Time) phase {
	until := coldUntil(h, coldStart)
	if h.IsLost() {
		until = now.Add(time.Nanosecond)
	}
	if until.IsZero() {
		return warm
	}
	if now.Before(until) {
		return cold
	}
	if step := 1 + int(now.Sub(until)/rampStep); step <= rampSteps {
		return phase(step)
	}
	return warm
}

// coldUntil returns the end of the cold time as far as it is known; zero if there was none.
func coldUntil(h fleet.History, coldStart time.Duration) time.Time {
	until := h.ColdUntil
	if !h.RegisteredAt.IsZero() {
		until = later(until, h.RegisteredAt.Add(coldStart))
	}
	if !h.ReturnedAt.IsZero() {
		until = later(until, h.ReturnedAt.Add(returnDelay+coldStart))
	}
	if !h.SuspectedAt.IsZero() && !h.IsLost() {
		until = later(until, h.RowAt)
	}
	return until
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Source names the rates of cold servers. It implements requestlimit.RateSource.
type Source struct {
	Fleet   *fleet.Set
	Routing *routing.State
	Bounds  Bounds
}

// Rate implements requestlimit.RateSource.
func (s *Source) Rate(id string) (requestlimit.Rate, bool) {
	table := s.Routing.Table()
	if table == nil || !table.HasColdServers() {
		return requestlimit.Rate{}, false
	}
	server, known := s.Fleet.Snapshot().Server(id)
	if !known {
		return requestlimit.Rate{}, false
	}
	service, known := table.Service(server.Registration.Service)
	if !known || !service.HasColdServers() {
		return requestlimit.Rate{}, false
	}
	at := phaseOf(server.History(), service.ColdStart, time.Now())
	if at == warm {
		return requestlimit.Rate{}, false
	}
	perSlot, slot := quota(s.Bounds.Limit(service.ColdRate))
	for range at {
		perSlot *= rampFactor
	}
	return requestlimit.Rate{PerSlot: perSlot, Slot: slot, SendWithin: sendDelay, FailureDomain: server.Registration.FailureDomain}, true
}

// Servers returns the number of servers to which the requests are limited now.
func (s *Source) Servers() int {
	n := 0
	s.Fleet.Snapshot().Each(func(server *fleet.Server) {
		if _, limited := s.Rate(server.ID); limited {
			n++
		}
	})
	return n
}
