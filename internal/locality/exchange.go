package locality

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// updateInterval is how often the shares are computed, and broadcastInterval the least time between two summaries.
	updateInterval    = 250 * time.Millisecond
	broadcastInterval = 500 * time.Millisecond
	// heartbeat is the time after which an unchanged summary is sent again, and summaryTTL the age at which one expires: two may be lost.
	heartbeat  = 2 * time.Second
	summaryTTL = 5 * time.Second
	// changedPart is the part of the slots by which the smoothed values must change for a summary to be sent before the heartbeat, and
	// changedRequestsPart the same of the requests, which vary from one moment to the next. changedPrefillMS is the same of the mean prefill.
	changedPart         = 0.12
	changedRequestsPart = 0.4
	changedPrefillMS    = 100
	// takeover is how long the failure domain must have been without a summary until another instance sends it, and takeoverStep how
	// much later each further one does.
	takeover     = heartbeat + time.Second
	takeoverStep = 500 * time.Millisecond
	// maxCredit bounds the requests that an instance may send out at once after it kept all.
	maxCredit = 2.0
	// linkTime is the round trip to another failure domain with the time to open a connection; one way takes up to 1.4 ms.
	linkTime = 6 * time.Millisecond
)

// Options are the dependencies of an Exchange.
type Options struct {
	Bus   peers.Bus
	Fleet *fleet.Set
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// IsCold reports whether a server is cold, so that instances of other failure domains can't use its slots; nil for no.
	IsCold func(server string) bool
	// Rand is used under a lock.
	Rand *rand.Rand
	Log  *events.Logger
}

// Exchange exchanges the summaries of the failure domains and keeps the shares of the requests that may leave. It is safe for
// concurrent use.
type Exchange struct {
	Options
	Policy Policy

	mu sync.Mutex
	// summaries are those of all failure domains, this one included.
	summaries map[string]*summary
	// heardAt is when another instance sent the summary of this failure domain.
	heardAt time.Time
	sent    *summary
	// states are the smoothed loads of this failure domain by service, while this instance sends its summaries.
	states map[string]*state
	// shares are the fractions of the requests to a service that may go to a failure domain, and credits what may be sent now.
	shares, credits map[place]float64
}

// New returns an Exchange and registers its message handler.
func New(o Options) *Exchange {
	if o.IsCold == nil {
		o.IsCold = func(string) bool { return false }
	}
	x := &Exchange{
		Options: o, summaries: make(map[string]*summary), heardAt: time.Now(),
		states: make(map[string]*state), shares: make(map[place]float64), credits: make(map[place]float64),
	}
	o.Bus.Handle(peers.KindDomainSummary, x.handle)
	return x
}

// Run sends the summaries of the failure domain, if it is this instance's turn, and renews the shares, until the context is done.
func (x *Exchange) Run(ctx context.Context) {
	wait.Every(ctx, updateInterval, func() { x.update(time.Now()) })
}

// update renews the shares and sends a summary if one is due.
func (x *Exchange) update(now time.Time) {
	listed := x.Bus.Peers()
	x.mu.Lock()
	var due *message
	if x.isTurn(listed, now) {
		s := x.summarize(now)
		if x.isDue(s) {
			x.sent, due = s, &message{}
			for _, e := range s.entries {
				if e.Domain == x.FailureDomain {
					e.Domain = ""
				}
				due.Entries = append(due.Entries, e)
			}
		}
	}
	x.allow(now)
	x.mu.Unlock()
	if due != nil {
		x.Bus.Broadcast(peers.KindDomainSummary, due)
	}
}

// isTurn reports whether this instance sends the summaries of its failure domain: the first by hash does, the others one after the
// other while none is heard. The caller holds the lock.
func (x *Exchange) isTurn(listed []peers.Peer, now time.Time) bool {
	own, rank := xxhash.Sum64String(x.Bus.Self()), 0
	for _, p := range listed {
		if p.FailureDomain == x.FailureDomain && xxhash.Sum64String(p.ID) < own {
			rank++
		}
	}
	return rank == 0 || now.Sub(x.heardAt) > takeover+time.Duration(rank)*takeoverStep
}

// summarize renews the summary of this failure domain. The caller holds the lock.
func (x *Exchange) summarize(now time.Time) *summary {
	sums := totals(x.Fleet.Snapshot(), x.IsCold, now)
	s := &summary{entries: make(map[place]entry), at: now, from: x.Bus.Self()}
	for p, t := range sums {
		e := t.entry(p)
		switch {
		case p.domain == x.FailureDomain:
			x.setState(&e, p, sums)
			s.entries[p] = e
		case t.requests > 0:
			e.Servers, e.Slots = 0, 0
			s.entries[p] = e
		}
	}
	x.summaries[x.FailureDomain] = s
	return s
}

// setState renews the state of a service of this failure domain and sets what the summary says of it. The caller holds the lock.
func (x *Exchange) setState(e *entry, home place, sums map[place]*total) {
	away := &total{}
	for p, t := range sums {
		if p.service == home.service && p.domain != home.domain {
			away.requests += t.requests
			away.prefill += t.prefill
		}
	}
	s := x.state(home.service)
	wasInNeed := s.isInNeed
	guests := 0.0
	for domain, other := range x.summaries {
		if domain != x.FailureDomain {
			guests += float64(other.load(home).Requests)
		}
	}
	s.update(sums[home], away, guests)
	if s.isInNeed != wasInNeed {
		event := events.DomainOverflowEnded
		if s.isInNeed {
			event = events.DomainOverflows
		}
		x.Log.Log(event, events.Fields{Path: home.service, FailureDomain: x.FailureDomain, Load: s.demand})
	}
	e.Room, e.Need = uint32(s.room()*tenths), uint32(math.Ceil(s.need()*tenths))
	e.Fullness = uint32(min(maxNumber, s.fullness()*hundredths))
}

// state returns the state of a service. The caller holds the lock.
func (x *Exchange) state(service string) *state {
	s := x.states[service]
	if s == nil {
		s = &state{}
		x.states[service] = s
	}
	return s
}

// isDue reports whether a summary has to be sent: it differs from the last one, or that is old. The caller holds the lock.
func (x *Exchange) isDue(s *summary) bool {
	if x.sent == nil {
		return true
	}
	age := s.at.Sub(x.sent.at)
	if age < broadcastInterval || age >= heartbeat {
		return age >= heartbeat
	}
	inNeed := x.servicesInNeed()
	for p, e := range s.entries {
		slots := s.entries[place{p.service, x.FailureDomain}].Slots
		before := x.sent.entries[p]
		if e.Slots != before.Slots || (e.Need > 0) != (before.Need > 0) || (inNeed[p.service] && isChanged(e, before, float64(slots))) {
			return true
		}
	}
	return false
}

// servicesInNeed returns the services of which a failure domain is in need. Of the others, nobody uses the details. The caller holds the
// lock.
func (x *Exchange) servicesInNeed() map[string]bool {
	inNeed := make(map[string]bool)
	for _, s := range x.summaries {
		for p, e := range s.entries {
			if e.Need > 0 {
				inNeed[p.service] = true
			}
		}
	}
	return inNeed
}

// isChanged reports whether two entries differ by much, given the slots of the sender's failure domain.
func isChanged(a, b entry, slots float64) bool {
	by := max(1, changedPart*slots)
	differ := func(a, b uint32, by float64) bool { return math.Abs(float64(a)-float64(b)) > by }
	return differ(a.Requests, b.Requests, max(2, changedRequestsPart*slots)) || differ(a.Room, b.Room, by*tenths) || differ(a.Need, b.Need, by*tenths) ||
		differ(a.PrefillMS, b.PrefillMS, changedPrefillMS)
}

// handle records the summary of a failure domain.
func (x *Exchange) handle(_ context.Context, msg peers.Message) (any, error) {
	var m message
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode the summary of a failure domain")
	}
	listed := x.Bus.Peers()
	i := slices.IndexFunc(listed, func(p peers.Peer) bool { return p.ID == msg.From })
	if i < 0 {
		return nil, errors.Errorf("summary of an instance that is not listed: %q", msg.From)
	}
	domain, snap, now := listed[i].FailureDomain, x.Fleet.Snapshot(), time.Now()
	s := &summary{entries: make(map[place]entry), at: now, from: msg.From}
	for _, e := range m.Entries[:min(len(m.Entries), maxEntries)] {
		if e.Domain == "" {
			e.Domain = domain
		}
		if len(snap.Servers(e.Service)) > 0 {
			s.entries[place{e.Service, e.Domain}] = e.bounded()
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.summaries[domain] = s
	if domain == x.FailureDomain {
		x.heardAt = now
		// The hysteresis goes on from here if this instance takes over, the smoothing begins anew.
		clear(x.states)
		for p, e := range s.entries {
			if p.domain == domain {
				x.state(p.service).isInNeed = e.Need > 0
			}
		}
	}
	return nil, nil
}

// allow renews the shares of the requests that may leave. The caller holds the lock.
func (x *Exchange) allow(now time.Time) {
	clear(x.shares)
	for domain, s := range x.summaries {
		if now.Sub(s.at) > summaryTTL {
			delete(x.summaries, domain)
		}
	}
	own := x.summaries[x.FailureDomain]
	if own == nil {
		return
	}
	for p, home := range own.entries {
		if p.domain == x.FailureDomain && home.Need > 0 {
			x.allowService(p.service, own, float64(home.Need))
		}
	}
}

// allowService divides the room of each failure domain among the fuller ones in need by their needs. The shares are in relation to all requests of
// this failure domain that run: those that wait say nothing about how many more arrive while one runs. What leaves is less, since a request leaves only if it is threatened. The caller holds the lock.
func (x *Exchange) allowService(service string, own *summary, need float64) {
	demand := 0.0
	fullness := make(map[string]float64, len(x.summaries))
	for domain, s := range x.summaries {
		fullness[domain] = float64(s.load(place{service, domain}).Fullness) / hundredths
	}
	for p, e := range own.entries {
		if p.service == service {
			demand += float64(e.Requests - min(e.Requests, e.Waiting))
		}
	}
	for domain, s := range x.summaries {
		if fullness[x.FailureDomain] < fullness[domain]+fullerBy {
			continue
		}
		needs := 0.0
		for other, o := range x.summaries {
			if fullness[other] >= fullness[domain]+fullerBy {
				needs += float64(o.load(place{service, other}).Need)
			}
		}
		p := place{service, domain}
		x.shares[p] = min(1, float64(s.load(p).Room)/tenths*need/max(1, needs)/max(1, demand))
	}
}

// Count counts a request that this instance received: the shares that may leave are those of all requests.
func (x *Exchange) Count(service string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for p, share := range x.shares {
		if p.service == service {
			x.credits[p] = min(maxCredit, x.credit(p)+share)
		}
	}
}

// Domains returns the other failure domains whose summaries have not expired, with the mean wait of their servers.
func (x *Exchange) Domains(service string, isPlain bool) []Domain {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.summaries[x.FailureDomain] == nil {
		return nil
	}
	var list []Domain
	for domain, s := range x.summaries {
		p := place{service, domain}
		e := s.load(p)
		if domain == x.FailureDomain || e.Slots == 0 || time.Since(s.at) > summaryTTL {
			continue
		}
		list = append(list, Domain{
			Name: domain, Wait: x.meanWait(p, isPlain), Slots: float64(e.Slots), Room: float64(e.Room) / tenths, Credit: x.creditIfAllowed(p),
		})
	}
	slices.SortFunc(list, func(a, b Domain) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// credit returns the requests that may be sent to a place now. The caller holds the lock.
func (x *Exchange) credit(p place) float64 {
	credit, known := x.credits[p]
	if !known {
		// Many instances see few requests each: the sum of what they send follows the share from the start.
		credit = x.Rand.Float64()
		x.credits[p] = credit
	}
	return credit
}

// creditIfAllowed is credit, or zero while nothing may be sent to the place. The caller holds the lock.
func (x *Exchange) creditIfAllowed(p place) float64 {
	if x.shares[p] == 0 {
		return 0
	}
	return x.credit(p)
}

// Sent records that a request was sent to another failure domain because its target latency was threatened.
func (x *Exchange) Sent(service, domain string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.credits[place{service, domain}]--
}

// meanWait returns the wait at a server with the mean load of a place, from all failure domains. The caller holds the lock.
func (x *Exchange) meanWait(p place, isPlain bool) time.Duration {
	servers, slots := 1.0, 1.0
	if s := x.summaries[p.domain]; s != nil {
		e := s.load(p)
		servers, slots = float64(max(1, e.Servers)), float64(max(1, e.Slots))
	}
	requests, prefill := 0.0, time.Duration(0)
	for _, s := range x.summaries {
		e := s.load(p)
		requests += float64(e.Requests)
		prefill += time.Duration(e.PrefillMS) * time.Millisecond
	}
	return Wait(requests/servers, slots/servers, prefill, isPlain)
}

// Allowed returns the largest share of the requests to a service that this instance may send out.
func (x *Exchange) Allowed() float64 {
	if x == nil {
		return 0
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	sums, most := make(map[string]float64), 0.0
	for p, share := range x.shares {
		sums[p.service] += share
		most = max(most, sums[p.service])
	}
	return most
}
