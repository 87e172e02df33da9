// Package membership registers this instance in the platform's membership list and
// polls the list. The list may lag behind the real state; during an outage the last
// view that was read remains in use.
package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// minPollInterval is the mean poll interval of an instance in a small fleet.
	minPollInterval = time.Second
	// fleetPollsPerSecond bounds the mean poll rate of the whole fleet.
	fleetPollsPerSecond = 200
	// renewInterval is the time between two renewals of this instance's registration.
	renewInterval = 4 * time.Second
)

// View is the membership list as last read. It is immutable once stored.
type View struct {
	// Instances lists the entry instances, including this one once it is listed.
	Instances []tablestore.Member
	// Servers lists the backend servers.
	Servers []tablestore.Member
	// ReadAt is when the list was read, or zero if it has not been read yet.
	ReadAt time.Time
}

// InstanceCount returns the number of listed instances, at least 1.
func (v *View) InstanceCount() int { return max(1, len(v.Instances)) }

// Watcher renews this instance's registration and polls the membership list.
type Watcher struct {
	list tablestore.Membership
	log  *events.Logger
	rand *rand.Rand
	view atomic.Pointer[View]

	mu      sync.Mutex
	self    tablestore.Member
	onRead  []func(*View)
	failing bool
}

// New returns a watcher of the list that registers self.
func New(list tablestore.Membership, self tablestore.Member, random *rand.Rand, log *events.Logger) *Watcher {
	w := &Watcher{list: list, self: self, rand: random, log: log}
	w.view.Store(&View{})
	return w
}

// View returns the last view that was read; it is never nil.
func (w *Watcher) View() *View { return w.view.Load() }

// OnRead adds a function that is called with each view after it is read, even if
// nothing changed. It must be called before Run, and f must not block.
func (w *Watcher) OnRead(f func(*View)) { w.onRead = append(w.onRead, f) }

// SetDraining marks this instance as draining and renews its registration at once.
func (w *Watcher) SetDraining(ctx context.Context) error {
	w.mu.Lock()
	w.self.Draining = true
	self := w.self
	w.mu.Unlock()
	return w.list.Register(ctx, self)
}

// Deregister removes this instance from the list.
func (w *Watcher) Deregister(ctx context.Context) error {
	w.mu.Lock()
	id := w.self.ID
	w.mu.Unlock()
	return w.list.Deregister(ctx, id)
}

// Run registers this instance, renews the registration and polls the list until the
// context ends.
func (w *Watcher) Run(ctx context.Context) {
	var renewed time.Time
	for ctx.Err() == nil {
		if renewed.IsZero() || time.Since(renewed) >= renewInterval {
			if w.renew(ctx) {
				renewed = time.Now()
			}
		}
		w.Poll(ctx)
		if wait.For(ctx, pollInterval(w.View().InstanceCount(), w.rand.Float64())) != nil {
			return
		}
	}
}

func (w *Watcher) renew(ctx context.Context) bool {
	w.mu.Lock()
	self := w.self
	w.mu.Unlock()
	return w.list.Register(ctx, self) == nil
}

// Poll reads the list once. If the read fails, the last view is kept.
func (w *Watcher) Poll(ctx context.Context) {
	members, err := w.list.List(ctx)
	w.logAvailability(ctx, err)
	if err != nil {
		return
	}
	view := newView(members)
	w.view.Store(view)
	for _, f := range w.onRead {
		f(view)
	}
}

// logAvailability logs a transition between successful and failing reads once.
func (w *Watcher) logAvailability(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == w.failing {
		return
	}
	w.failing = err != nil
	if w.failing {
		w.log.Log(events.MembershipUnavailable, events.Fields{Err: err})
		return
	}
	w.log.Log(events.MembershipRestored, events.Fields{})
}

func newView(members []tablestore.Member) *View {
	view := &View{ReadAt: time.Now()}
	for _, m := range members {
		if m.Kind == tablestore.MemberEntry {
			view.Instances = append(view.Instances, m)
			continue
		}
		view.Servers = append(view.Servers, m)
	}
	return view
}

// pollInterval returns the poll interval for a fleet of the given number of instances,
// so that the whole fleet averages at most fleetPollsPerSecond. random, from 0 to 1,
// varies it by 20 % in either direction.
func pollInterval(instances int, random float64) time.Duration {
	base := time.Duration(instances) * time.Second / fleetPollsPerSecond
	base = max(base, minPollInterval)
	return time.Duration(float64(base) * (0.8 + 0.4*random))
}
