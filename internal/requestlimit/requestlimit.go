// Package requestlimit keeps the limits of backend servers: the requests a second that a server takes
// from all instances together. Servers name them in their answers; other packages add their own. Each instance sends
// its quota, which follows from the list of the instances and the clock that they share,
// so that the sum holds also while they can't reach each other. Notices to the peers only
// spread the limits that servers name sooner.
package requestlimit

import (
	"maps"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/announced"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
)

// maxWaitSlots is the number of slots in which the next quota is looked for.
const maxWaitSlots = 30

// maxUsages is the number of usages from which on those of earlier slots are dropped.
const maxUsages = 256

// Rate is a limit that another package sets for a server.
type Rate struct {
	// PerSlot is the number of requests in each slot of time, from all instances together, and Slot the length of the slots.
	PerSlot int
	Slot    time.Duration
	// SendWithin is how long after Take a request may still be sent, so that those of many slots don't come at once.
	SendWithin time.Duration
	// FailureDomain restricts the requests to the instances of a failure domain, if any is listed; empty for no
	// restriction.
	FailureDomain string
}

// RateSource names limits beside those that servers name. It must be safe for concurrent use.
type RateSource interface {
	// Rate returns the limit of a server; limited is false for none.
	Rate(server string) (r Rate, limited bool)
}

// Options are the dependencies of Limits.
type Options struct {
	Bus   peers.Bus
	Fleet *fleet.Set
	// Others returns the ids of the other instances; ok is false while they are unknown.
	Others func() (ids []string, ok bool)
	// OthersIn returns those of a failure domain. It and FailureDomain, that of this instance, are needed for rates
	// that are restricted to a failure domain.
	OthersIn      func(domain string) (ids []string, ok bool)
	FailureDomain string
	// Sources are further limits; they hold besides those that servers name.
	Sources []RateSource
	// Clock returns the time on a clock that all instances share; ok is false while it is
	// unknown.
	Clock func() (now time.Duration, ok bool)
	Log   *events.Logger
}

// Limits holds the limits of backend servers and this instance's part of them. It is safe
// for concurrent use; a nil *Limits has none.
type Limits struct {
	Options
	self  Member
	named *announced.Table

	mu    sync.Mutex
	usage map[usageKey]*usage
}

// named is the source of the limits that servers name; the others are numbered by their place in Options.
const named = -1

// usageKey identifies a limit.
type usageKey struct {
	server string
	source int
}

// usage is this instance's quota of the requests to a server in the slot at, and the number of
// requests that it sent there.
type usage struct {
	at     slot
	endsAt time.Duration
	share  int
	used   int
}

// limit is a limit of a server that applies now.
type limit struct {
	key  usageKey
	rate Rate
	// perSecond is set instead of rate.PerSlot for a limit that a server named.
	perSecond float64
}

// total returns how many requests all instances together may send in a slot.
func (l *limit) total(seed uint64) int {
	if l.key.source == named {
		return fleetQuota(l.perSecond, seed)
	}
	return l.rate.PerSlot
}

// New returns Limits and registers their message handler.
func New(o Options) *Limits {
	return &Limits{
		Options: o, self: MemberOf(o.Bus.Self()), usage: make(map[usageKey]*usage),
		named: announced.New(announced.Options{
			Bus: o.Bus, Fleet: o.Fleet, Kind: peers.KindRequestLimit, Began: events.ServerLimited, Ended: events.ServerLimitEnded, Log: o.Log,
		}),
	}
}

// Named records the limit that a server named in an answer, in requests per second.
func (l *Limits) Named(server *fleet.Server, limit float64) { l.named.Announced(server, limit) }

// NotNamed records that the answer to a request that was sent at a time named no limit.
func (l *Limits) NotNamed(server *fleet.Server, sentAt time.Time) {
	if l != nil {
		l.named.NotAnnounced(server, sentAt)
	}
}

// MaySend reports whether this instance may send a request to a server now.
func (l *Limits) MaySend(server string) bool {
	limits := l.current(server)
	if len(limits) == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isLeft(limits)
}

// Take reports whether this instance may send one more request to a server now, and counts
// it. Every send takes one: first attempts, repeats and resumed streams.
func (l *Limits) Take(server string) bool {
	limits := l.current(server)
	if len(limits) == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isLeft(limits) {
		return false
	}
	for i := range limits {
		l.usage[limits[i].key].used++
	}
	return true
}

// IsLate reports whether a request that was taken at a time must not be sent to a server any more: it belongs to an earlier slot.
func (l *Limits) IsLate(server string, taken time.Time) bool {
	for _, limit := range l.current(server) {
		if within := limit.rate.SendWithin; within > 0 && time.Since(taken) > within {
			return true
		}
	}
	return false
}

// isLeft reports whether all limits allow a request. The caller holds the lock.
func (l *Limits) isLeft(limits []limit) bool {
	for i := range limits {
		if l.left(&limits[i]) <= 0 {
			return false
		}
	}
	return true
}

// Next returns how long this instance must not send to a server; zero if it may now.
func (l *Limits) Next(server string) time.Duration {
	limits := l.current(server)
	if len(limits) == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest time.Duration
	for i := range limits {
		if l.left(&limits[i]) <= 0 {
			longest = max(longest, l.next(&limits[i]))
		}
	}
	return longest
}

// next returns the time until the next slot in which a limit leaves this instance a request.
func (l *Limits) next(limit *limit) time.Duration {
	length := limit.rate.Slot
	now, ok := l.Clock()
	others, listed := l.members(limit)
	if !ok || !listed {
		return length
	}
	first := slotAt(now, length) + 1
	for at := first; at < first+maxWaitSlots; at++ {
		if l.quota(limit, at, others) > 0 {
			return at.begin(length) - now
		}
	}
	return maxWaitSlots * length
}

// left returns how many requests a limit leaves this instance in the present slot. The
// caller holds the lock.
func (l *Limits) left(limit *limit) int {
	now, ok := l.Clock()
	if !ok {
		return 0
	}
	u := l.usage[limit.key]
	if at := slotAt(now, limit.rate.Slot); u == nil || at != u.at {
		others, ok := l.members(limit)
		if !ok {
			return 0
		}
		if u == nil && len(l.usage) >= maxUsages {
			maps.DeleteFunc(l.usage, func(_ usageKey, old *usage) bool { return old.endsAt <= now })
		}
		u = &usage{at: at, endsAt: (at + 1).begin(limit.rate.Slot), share: l.quota(limit, at, others)}
		l.usage[limit.key] = u
	}
	return u.share - u.used
}

// quota returns how many requests this instance may send in a slot, given the others that send.
func (l *Limits) quota(limit *limit, at slot, others []Member) int {
	if others == nil {
		return 0
	}
	seed := serverSlot(limit.key.server, at)
	return Share(limit.total(seed), seed, l.self, others)
}

// members returns the other instances to which the requests of a limit are dealt out: nil if this one gets none. All
// instances return the same. ok is false while they are unknown, and nothing may be sent.
func (l *Limits) members(limit *limit) (others []Member, ok bool) {
	if domain := limit.rate.FailureDomain; domain != "" && l.OthersIn != nil {
		ids, ok := l.OthersIn(domain)
		switch {
		case !ok:
			return nil, false
		case domain == l.FailureDomain:
			return MembersOf(ids), true
		case len(ids) > 0:
			return nil, true
		}
	}
	ids, ok := l.Others()
	return MembersOf(ids), ok
}

// current returns the limits of a server that apply now.
func (l *Limits) current(server string) []limit {
	if l == nil {
		return nil
	}
	var limits []limit
	if perSecond, limited := l.named.Current(server); limited {
		limits = append(limits, limit{key: usageKey{server, named}, rate: Rate{Slot: slotDuration}, perSecond: perSecond})
	}
	for i, source := range l.Sources {
		if rate, limited := source.Rate(server); limited {
			limits = append(limits, limit{key: usageKey{server, i}, rate: rate})
		}
	}
	return limits
}
