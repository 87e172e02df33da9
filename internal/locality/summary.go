package locality

import (
	"time"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/fleet"
)

const (
	// prefillAtFull is the outstanding prefill time at which a server counts as full, as in fleet.
	prefillAtFull = 800 * time.Millisecond
	// needFrom is the utilization by its own requests from which a failure domain needs room elsewhere, and needUntil the one
	// below which it does not any more.
	needFrom  = 0.9
	needUntil = 0.75
	// guestsUpTo is the utilization up to which a failure domain takes requests of others: the rest is a reserve for its
	// own callers.
	guestsUpTo = 0.9
	// smoothing is the weight of a sample, one in each updateInterval: at six slots and an even load of 0.7 all slots are in use in a fifth of
	// the samples.
	smoothing = 0.2
	// fullerBy is how much fuller than another one a failure domain must be to send requests there. Two of about the same load would
	// send to each other.
	fullerBy = 0.15
	// hundredths is the unit of Fullness in messages.
	hundredths = 100
	// maxEntries bounds the entries of a message, and maxNumber the numbers in it.
	maxEntries = 256
	maxNumber  = 1 << 20
	// tenths is the unit of room and need in messages, in relation to a request: a plain server of six slots often has room for a part of one.
	tenths = 10
)

// entry is the load that the instances of the sender's failure domain put on the servers of a service in one failure domain.
type entry struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// Domain is the failure domain of the servers; empty for the sender's own.
	Domain string
	// Servers and Slots are those of its usable servers. Room is how many tenths of requests of others they have room for, and Need
	// how many of its own the sender's failure domain has beyond needUntil. Fullness is the smoothed utilization of the servers, in hundredths, by all requests of
	// its instances, wherever they run. They are zero unless Domain is empty.
	Servers  uint32
	Slots    uint32
	Room     uint32
	Need     uint32
	Fullness uint32
	// Requests are those in flight there, Waiting those beyond the slots, and PrefillMS the mean outstanding prefill time of a
	// server in milliseconds.
	Requests  uint32
	Waiting   uint32
	PrefillMS uint32
}

// message is the body of peers.KindDomainSummary.
type message struct {
	_       struct{} `cbor:",toarray"`
	Entries []entry
}

// place is a service in a failure domain.
type place struct{ service, domain string }

// summary is what is known about a failure domain.
type summary struct {
	entries map[place]entry
	at      time.Time
	from    string
}

// load returns the load that the failure domain of a summary puts on a place.
func (s *summary) load(p place) entry { return s.entries[p] }

// bounded returns an entry without implausible numbers.
func (e entry) bounded() entry {
	for _, n := range []*uint32{&e.Servers, &e.Slots, &e.Room, &e.Need, &e.Fullness, &e.Requests, &e.Waiting, &e.PrefillMS} {
		*n = min(*n, maxNumber)
	}
	return e
}

// total is a sum of loads on the servers of a place.
type total struct {
	servers, slots    int64
	requests, waiting int64
	prefill           time.Duration
}

// utilization returns the utilization of slots by requests with a mean outstanding prefill per server.
func utilization(requests, slots float64, meanPrefill time.Duration) float64 {
	if slots <= 0 {
		return 0
	}
	return max(requests/slots, float64(meanPrefill)/float64(prefillAtFull))
}

// isUsable reports whether a server takes requests of this instance.
func isUsable(s *fleet.Server, isCold func(string) bool, now time.Time) bool {
	status := s.Status()
	return !status.Draining && !status.Evacuated && s.Available(now) && !isCold(s.ID)
}

// totals sums up the loads of the instances of this failure domain on all servers.
func totals(snap *fleet.Snapshot, isCold func(string) bool, now time.Time) map[place]*total {
	sums := make(map[place]*total)
	snap.Each(func(s *fleet.Server) {
		p := place{s.Registration.Service, s.Registration.FailureDomain}
		t := sums[p]
		if t == nil {
			t = &total{}
			sums[p] = t
		}
		t.add(s.TotalLoad(), s.Settings.Capacity, isUsable(s, isCold, now))
	})
	return sums
}

// add adds a server. The slots of a server that is not usable don't count.
func (t *total) add(load datastore.Load, slots int, usable bool) {
	t.requests += load.Requests
	t.prefill += load.Prefill
	if !usable {
		return
	}
	t.servers++
	t.slots += int64(slots)
	t.waiting += max(0, load.Requests-int64(slots))
}

// meanPrefill returns the mean outstanding prefill time of a server.
func (t *total) meanPrefill() time.Duration { return t.prefill / time.Duration(max(1, t.servers)) }

// entry returns the entry of a place.
func (t *total) entry(p place) entry {
	return entry{
		Service: p.service, Domain: p.domain, Servers: uint32(t.servers), Slots: uint32(t.slots),
		Requests: uint32(max(0, t.requests)), Waiting: uint32(t.waiting), PrefillMS: uint32(max(0, t.meanPrefill().Milliseconds())),
	}.bounded()
}

// state is the smoothed load of a service in this failure domain.
type state struct {
	// isKnown is set once there is a value.
	isKnown bool
	// home is the utilization of its servers by its own requests that run, demand that by all requests of its instances, wherever they run: so that sending them out does
	// not end the need.
	home, demand float64
	// requests are all requests of its instances in flight.
	requests float64
	// scale is the number of requests at which its servers are full. With long prompts it is below the slots.
	scale float64
	// slots are those of its usable servers.
	slots float64
	// isInNeed is set while it needs room elsewhere.
	isInNeed bool
}

// update adds a sample: the load of this failure domain on its own servers and on those elsewhere, and the requests of other failure domains
// on its servers.
func (s *state) update(home, away *total, guests float64) {
	weight := smoothing
	if !s.isKnown {
		weight, s.isKnown = 1, true
	}
	mix := func(v *float64, sample float64) { *v += weight * (sample - *v) }
	requests := float64(home.requests + away.requests)
	s.slots = float64(home.slots)
	mix(&s.requests, requests)
	// Only requests that run count for the room: those that wait do so because of guests and random peaks, and would end the room
	// whenever it is used.
	running := float64(home.requests) * min(1, s.slots/max(1, float64(home.requests)+guests))
	u := utilization(running, s.slots, home.meanPrefill())
	mix(&s.home, u)
	meanPrefill := (home.prefill + away.prefill) / time.Duration(max(1, home.servers))
	mix(&s.demand, utilization(requests, s.slots, meanPrefill))
	scale := s.slots
	if u > 0 {
		scale = min(scale, running/u)
	}
	mix(&s.scale, scale)
	switch {
	case s.slots == 0:
		s.isInNeed = requests > 0
	case s.demand >= needFrom:
		s.isInNeed = true
	case s.demand < needUntil:
		s.isInNeed = false
	}
}

// need is how many of the requests of the failure domain are beyond needUntil; zero if it has no need.
func (s *state) need() float64 {
	switch {
	case !s.isInNeed:
		return 0
	case s.slots == 0:
		return s.requests
	}
	return max(1, s.requests*(1-needUntil/max(s.demand, needUntil)))
}

// fullness is demand, or the most that there is if requests have no servers.
func (s *state) fullness() float64 {
	if s.slots == 0 && s.isInNeed {
		return maxNumber
	}
	return s.demand
}

// room is how many requests of other failure domains its servers have room for. It does not depend on the need: one that stays in need after a
// random peak at an even load of 0.7 would turn away those of a full one.
func (s *state) room() float64 { return max(0, guestsUpTo-s.home) * s.scale }
