// Package requestlimit keeps the limits that backend servers name in their answers: the
// requests a second that a server takes from all instances together. Each instance sends
// its quota, which follows from the list of the instances and the clock that they share,
// so that the sum holds also while they can't reach each other. Notices to the peers only
// spread the limit sooner.
package requestlimit

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers"
)

const (
	// noticeInterval is the time after which the peers are notified again of a limit that
	// is still named. notedChange is the relative change that they are notified of at once.
	noticeInterval = 3 * time.Second
	notedChange    = 0.02
	// minAge is the age from which an answer without a limit, or a notice of one, ends it:
	// answers of one server overtake each other.
	minAge = 500 * time.Millisecond
	// expiry is the time without an answer or notice after which a limit ends, for an
	// instance that was cut off when it ended.
	expiry = time.Minute
	// maxWaitSlots is the number of slots in which the next quota is looked for.
	maxWaitSlots = 30
)

// message is the body of peers.KindRequestLimit.
type message struct {
	Server string `cbor:"1,keyasint"`
	// Started distinguishes successive processes of a server with the same id.
	Started int64 `cbor:"2,keyasint"`
	// Limit is in requests per second; it is valid if Limited is set. Otherwise the server
	// names none any more.
	Limit   float64 `cbor:"3,keyasint"`
	Limited bool    `cbor:"4,keyasint"`
}

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
	self member
	// count is the number of limits, so that a fleet without any pays nothing.
	count atomic.Int64

	mu       sync.Mutex
	byServer map[string]*limited
}

// limited is a server that named a limit.
type limited struct {
	started int64
	limit   float64
	// namedAt is when an answer or a peer last named the limit, noticedAt when the peers
	// were last notified, by this instance or another one.
	namedAt, noticedAt time.Time
	// share is this instance's quota in the slot at, and used the number of requests that it
	// sent there.
	at    slot
	share int
	used  int
}

// New returns Limits and registers their message handler.
func New(o Options) *Limits {
	l := &Limits{Options: o, self: memberOf(o.Bus.Self()), byServer: make(map[string]*limited)}
	o.Bus.Handle(peers.KindRequestLimit, l.handle)
	return l
}

// Named records the limit that a server named in an answer, in requests per second.
func (l *Limits) Named(server *fleet.Server, limit float64) {
	m := message{Server: server.ID, Started: server.Registration.Started, Limit: limit, Limited: true}
	if l.apply(m, "") {
		l.Bus.Broadcast(peers.KindRequestLimit, m)
	}
}

// NotNamed records that the answer to a request that was sent at a time named no limit.
func (l *Limits) NotNamed(server *fleet.Server, sentAt time.Time) {
	if l == nil || l.count.Load() == 0 {
		return
	}
	l.mu.Lock()
	entry := l.byServer[server.ID]
	isOver := entry != nil && entry.started == server.Registration.Started && entry.namedAt.Add(minAge).Before(sentAt)
	l.mu.Unlock()
	if !isOver {
		return
	}
	m := message{Server: server.ID, Started: server.Registration.Started}
	if l.apply(m, "") {
		l.Bus.Broadcast(peers.KindRequestLimit, m)
	}
}

// handle applies a notice from a peer.
func (l *Limits) handle(_ context.Context, msg peers.Message) (any, error) {
	var m message
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode request-limit notice")
	}
	l.apply(m, msg.From)
	return nil, nil
}

// apply records a limit, or its end, and reports whether the peers should be notified.
func (l *Limits) apply(m message, from string) bool {
	if m.Limited && !(m.Limit >= 0 && !math.IsInf(m.Limit, 0)) { // also for NaN
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now, entry := time.Now(), l.byServer[m.Server]
	if entry != nil && entry.started != m.Started && m.Limited {
		entry = nil
	}
	if !m.Limited {
		if entry == nil || entry.started != m.Started || now.Sub(entry.namedAt) < minAge {
			return false
		}
		delete(l.byServer, m.Server)
		l.count.Store(int64(len(l.byServer)))
		l.Log.Log(events.ServerLimitEnded, events.Fields{Server: m.Server, Peer: from})
		return true
	}
	isNew := entry == nil
	if isNew {
		entry = &limited{started: m.Started, at: -1}
		l.byServer[m.Server] = entry
		l.count.Store(int64(len(l.byServer)))
	}
	isChanged := isNew || math.Abs(entry.limit-m.Limit) > notedChange*entry.limit
	if isChanged {
		l.Log.Log(events.ServerLimited, events.Fields{Server: m.Server, Peer: from, Rate: m.Limit})
	}
	entry.limit, entry.namedAt = m.Limit, now
	isDue := isChanged || now.Sub(entry.noticedAt) >= noticeInterval
	if isDue || from != "" {
		entry.noticedAt = now
	}
	return isDue
}

// MaySend reports whether this instance may send a request to a server now.
func (l *Limits) MaySend(server string) bool {
	if l == nil || l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.current(server)
	return entry == nil || l.left(server, entry) > 0
}

// Take reports whether this instance may send one more request to a server now, and counts
// it. Every send takes one: first attempts, repeats and resumed streams.
func (l *Limits) Take(server string) bool {
	if l == nil || l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.current(server)
	if entry == nil {
		return true
	}
	if l.left(server, entry) <= 0 {
		return false
	}
	entry.used++
	return true
}

// Next returns how long this instance must not send to a server; zero if it may now.
func (l *Limits) Next(server string) time.Duration {
	if l == nil || l.count.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.current(server)
	if entry == nil || l.left(server, entry) > 0 {
		return 0
	}
	now, others, ok := l.shared()
	if !ok {
		return slotDuration
	}
	first := slotAt(now) + 1
	for at := first; at < first+maxWaitSlots; at++ {
		if quota(entry.limit, server, at, l.self, others) > 0 {
			return at.begin() - now
		}
	}
	return maxWaitSlots * slotDuration
}

// left returns how many requests this instance may still send in the present slot. The
// caller holds the lock.
func (l *Limits) left(server string, entry *limited) int {
	now, ok := l.Clock()
	if !ok {
		return 0
	}
	if at := slotAt(now); at != entry.at {
		_, others, ok := l.shared()
		if !ok {
			return 0
		}
		entry.at, entry.share, entry.used = at, quota(entry.limit, server, at, l.self, others), 0
	}
	return entry.share - entry.used
}

// shared returns the time and the other instances, by which all deal out the quotas; ok is
// false while either is unknown, and nothing may be sent.
func (l *Limits) shared() (now time.Duration, others []member, ok bool) {
	now, ok = l.Clock()
	ids, listed := l.Others()
	others = make([]member, len(ids))
	for i, id := range ids {
		others[i] = memberOf(id)
	}
	return now, others, ok && listed
}

// current returns the limit of a server; nil if its process named none. The caller holds
// the lock.
func (l *Limits) current(server string) *limited {
	entry := l.byServer[server]
	if entry == nil {
		return nil
	}
	registered, ok := l.Fleet.Snapshot().Server(server)
	if !ok || registered.Registration.Started != entry.started || time.Since(entry.namedAt) > expiry {
		delete(l.byServer, server)
		l.count.Store(int64(len(l.byServer)))
		return nil
	}
	return entry
}
