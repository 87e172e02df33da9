// Package requestlimit keeps the limits that backend servers name in their answers: the
// requests a second that a server takes from all instances together. Each instance sends
// its quota, which follows from the list of the instances and the clock that they share,
// so that the sum holds also while they can't reach each other. Notices to the peers only
// spread the limit sooner.
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

// maxUsages is the number of servers from which on the usage in earlier slots is dropped.
const maxUsages = 256

// Options are the dependencies of Limits.
type Options struct {
	Bus   peers.Bus
	Fleet *fleet.Set
	// Others returns the ids of the other instances; ok is false while they are unknown.
	Others func() (ids []string, ok bool)
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

	mu       sync.Mutex
	byServer map[string]*usage
}

// usage is this instance's quota of the requests to a server in the slot at, and the number of
// requests that it sent there.
type usage struct {
	at    slot
	share int
	used  int
}

// New returns Limits and registers their message handler.
func New(o Options) *Limits {
	return &Limits{
		Options: o, self: MemberOf(o.Bus.Self()), byServer: make(map[string]*usage),
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
	limit, limited := l.current(server)
	if !limited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left(server, limit) > 0
}

// Take reports whether this instance may send one more request to a server now, and counts
// it. Every send takes one: first attempts, repeats and resumed streams.
func (l *Limits) Take(server string) bool {
	limit, limited := l.current(server)
	if !limited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left(server, limit) <= 0 {
		return false
	}
	l.byServer[server].used++
	return true
}

// Next returns how long this instance must not send to a server; zero if it may now.
func (l *Limits) Next(server string) time.Duration {
	limit, limited := l.current(server)
	if !limited {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.left(server, limit) > 0 {
		return 0
	}
	now, others, ok := l.shared()
	if !ok {
		return slotDuration
	}
	first := slotAt(now) + 1
	for at := first; at < first+maxWaitSlots; at++ {
		if quota(limit, server, at, l.self, others) > 0 {
			return at.begin() - now
		}
	}
	return maxWaitSlots * slotDuration
}

// left returns how many requests this instance may still send in the present slot. The
// caller holds the lock.
func (l *Limits) left(server string, limit float64) int {
	now, ok := l.Clock()
	if !ok {
		return 0
	}
	u := l.byServer[server]
	if at := slotAt(now); u == nil || at != u.at {
		_, others, ok := l.shared()
		if !ok {
			return 0
		}
		if u == nil && len(l.byServer) >= maxUsages {
			maps.DeleteFunc(l.byServer, func(_ string, old *usage) bool { return old.at < at })
		}
		u = &usage{at: at, share: quota(limit, server, at, l.self, others)}
		l.byServer[server] = u
	}
	return u.share - u.used
}

// shared returns the time and the other instances, by which all deal out the quotas; ok is
// false while either is unknown, and nothing may be sent.
func (l *Limits) shared() (now time.Duration, others []Member, ok bool) {
	now, ok = l.Clock()
	ids, listed := l.Others()
	return now, MembersOf(ids), ok && listed
}

// current returns the limit of a server; limited is false if its process named none.
func (l *Limits) current(server string) (limit float64, limited bool) {
	if l == nil {
		return 0, false
	}
	return l.named.Current(server)
}
