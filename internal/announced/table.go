// Package announced keeps a number that backend servers announce in all of their answers, and
// passes it on to the other instances, most of which would otherwise learn of it late.
package announced

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
	// noticeInterval is the time after which the peers are notified again of a number that is
	// still announced. notedChange is the relative change that they are notified of at once.
	noticeInterval = 3 * time.Second
	notedChange    = 0.02
	// minAge is the age from which an answer without a number, or a notice of one, ends it:
	// answers of one server overtake each other.
	minAge = 500 * time.Millisecond
	// expiry is the time without an answer or notice after which a number ends, for an
	// instance that was cut off when it ended.
	expiry = time.Minute
	// serviceMemory is how long the announcement of one server counts for its service.
	serviceMemory = 5 * time.Second
)

// message is the body of the notices.
type message struct {
	Server string `cbor:"1,keyasint"`
	// Started distinguishes successive processes of a server with the same id.
	Started int64 `cbor:"2,keyasint"`
	// Number is valid if Announced is set. Otherwise the server announces none any more.
	Number    float64 `cbor:"3,keyasint"`
	Announced bool    `cbor:"4,keyasint"`
}

// Options are the dependencies of a Table.
type Options struct {
	Bus   peers.Bus
	Fleet *fleet.Set
	// Kind is the kind of the notices.
	Kind peers.Kind
	// Began and Ended are the events of a server that announces a number, and none any more.
	Began, Ended *events.Event
	Log          *events.Logger
}

// Table holds the numbers by server. It is safe for concurrent use; a nil *Table is empty.
type Table struct {
	Options
	// count is the number of entries, so that a fleet without any pays nothing.
	count atomic.Int64

	mu       sync.Mutex
	byServer map[string]*entry
	// byService holds when a server of a service last announced a number.
	byService map[string]time.Time
}

// entry is the number that a server announced.
type entry struct {
	started int64
	number  float64
	// announcedAt is when an answer or a peer last announced the number, noticedAt when the
	// peers were last notified, by this instance or another one.
	announcedAt, noticedAt time.Time
}

// New returns a Table and registers its message handler.
func New(o Options) *Table {
	t := &Table{Options: o, byServer: make(map[string]*entry), byService: make(map[string]time.Time)}
	o.Bus.Handle(o.Kind, t.handle)
	return t
}

// Empty reports whether no server announces a number.
func (t *Table) Empty() bool { return t == nil || t.count.Load() == 0 }

// Announced records the number that a server announced in an answer.
func (t *Table) Announced(server *fleet.Server, number float64) {
	m := message{Server: server.ID, Started: server.Registration.Started, Number: number, Announced: true}
	if t.apply(m, "") {
		t.Bus.Broadcast(t.Kind, m)
	}
}

// NotAnnounced records that the answer to a request that was sent at a time announced none.
func (t *Table) NotAnnounced(server *fleet.Server, sentAt time.Time) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	e := t.byServer[server.ID]
	isOver := e != nil && e.started == server.Registration.Started && e.announcedAt.Add(minAge).Before(sentAt)
	t.mu.Unlock()
	if !isOver {
		return
	}
	m := message{Server: server.ID, Started: server.Registration.Started}
	if t.apply(m, "") {
		t.Bus.Broadcast(t.Kind, m)
	}
}

// handle applies a notice from a peer. A notice without a server asks for all numbers.
func (t *Table) handle(_ context.Context, msg peers.Message) (any, error) {
	var m message
	if err := cbor.Unmarshal(msg.Body, &m); err != nil {
		return nil, errors.Wrap(err, "decode a notice of an announced number")
	}
	if m.Server == "" {
		return t.all(), nil
	}
	t.apply(m, msg.From)
	return nil, nil
}

// all returns the numbers as notices.
func (t *Table) all() []message {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]message, 0, len(t.byServer))
	for server, e := range t.byServer {
		if time.Since(e.announcedAt) <= expiry {
			list = append(list, message{Server: server, Started: e.started, Number: e.number, Announced: true})
		}
	}
	return list
}

// Fetch applies the numbers that a peer knows. An instance that has just started knows none. It returns
// an error if the peer did not answer, or if its release does not know the request.
func (t *Table) Fetch(ctx context.Context, peer string) error {
	var list []message
	if err := t.Bus.Request(ctx, peer, t.Kind, message{}, &list); err != nil {
		return errors.Wrapf(err, "fetch announced numbers from %s", peer)
	}
	if list == nil {
		return errors.Errorf("instance %s does not know the request", peer)
	}
	for _, m := range list {
		t.apply(m, peer)
	}
	return nil
}

// apply records a number, or its end, and reports whether the peers should be notified.
func (t *Table) apply(m message, from string) bool {
	if m.Announced && !(m.Number >= 0 && !math.IsInf(m.Number, 0)) { // also for NaN
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now, e := time.Now(), t.byServer[m.Server]
	if e != nil && e.started != m.Started && m.Announced {
		e = nil
	}
	if !m.Announced {
		if e == nil || e.started != m.Started || now.Sub(e.announcedAt) < minAge {
			return false
		}
		t.remove(m.Server)
		t.Log.Log(t.Ended, events.Fields{Server: m.Server, Peer: from})
		return true
	}
	isNew := e == nil
	if isNew {
		e = &entry{started: m.Started}
		t.byServer[m.Server] = e
		t.count.Store(int64(len(t.byServer)))
	}
	isChanged := isNew || math.Abs(e.number-m.Number) > notedChange*e.number
	if isChanged {
		t.Log.Log(t.Began, events.Fields{Server: m.Server, Peer: from, Rate: m.Number})
	}
	e.number, e.announcedAt = m.Number, now
	if server, known := t.Fleet.Snapshot().Server(m.Server); known {
		t.byService[server.Registration.Service] = now
	}
	isDue := isChanged || now.Sub(e.noticedAt) >= noticeInterval
	if isDue || from != "" {
		e.noticedAt = now
	}
	return isDue
}

// remove removes the entry of a server. The caller holds the lock.
func (t *Table) remove(server string) {
	delete(t.byServer, server)
	t.count.Store(int64(len(t.byServer)))
}

// Current returns the number that the present process of a server announces; ok is false if it
// announces none.
func (t *Table) Current(server string) (number float64, ok bool) {
	if t.Empty() {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byServer[server]
	if e == nil {
		return 0, false
	}
	registered, known := t.Fleet.Snapshot().Server(server)
	if !known || registered.Registration.Started != e.started || time.Since(e.announcedAt) > expiry {
		t.remove(server)
		return 0, false
	}
	return e.number, true
}

// IsRecent reports whether some server of a service announces a number, or announced one within
// serviceMemory: another one, such as one that has just started, may do so with its first answer.
func (t *Table) IsRecent(service string) bool {
	if t.Empty() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.byService[service]
	if !ok || time.Since(at) < serviceMemory {
		return ok
	}
	// An instance that sends nothing to the servers gets no answers that announce the number again.
	snap := t.Fleet.Snapshot()
	for id, e := range t.byServer {
		server, known := snap.Server(id)
		if known && server.Registration.Service == service && server.Registration.Started == e.started && time.Since(e.announcedAt) <= expiry {
			return true
		}
	}
	return false
}
