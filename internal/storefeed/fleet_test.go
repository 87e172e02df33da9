package storefeed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/peers/membus"
)

// member is one instance under test.
type member struct {
	name      string
	follower  *Follower
	mu        sync.Mutex
	values    map[string]string
	confirmed time.Duration
	uncertain time.Duration
	// changedAt holds the time of the last change of each row.
	changedAt map[string]time.Time
}

func (m *member) apply(rows []Row, complete bool, uncertain time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if complete {
		clear(m.values)
	}
	m.uncertain = uncertain
	for _, row := range rows {
		if row.Deleted {
			delete(m.values, row.Key)
			continue
		}
		if m.values[row.Key] != string(row.Value) {
			m.changedAt[row.Key] = time.Now()
		}
		m.values[row.Key] = string(row.Value)
	}
}

// since returns when the instance received the present value of a row.
func (m *member) since(key string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changedAt[key]
}

func (m *member) value(key string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[key]
}

func (m *member) uncertainFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.uncertain
}

func (m *member) confirm(at time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmed = max(m.confirmed, at)
}

func (m *member) confirmedAt() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed
}

func (m *member) age(s *fakeStore) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(s.started) - m.confirmed
}

// countingBus counts broadcasts.
type countingBus struct {
	peers.Bus
	broadcasts *atomic.Int64
}

func (b countingBus) Broadcast(kind peers.Kind, body any) {
	b.broadcasts.Add(1)
	b.Bus.Broadcast(kind, body)
}

type testFleet struct {
	broadcasts atomic.Int64

	store   *fakeStore
	network *membus.Network
	members []*member
}

func startFleet(ctx context.Context, n int) *testFleet {
	return startFleetOf(ctx, n, Table{Wait: time.Second, StaleAfter: 1300 * time.Millisecond})
}

// startFleetOf starts n instances that follow a table with the given times.
func startFleetOf(ctx context.Context, n int, times Table) *testFleet {
	f := &testFleet{store: newFakeStore(), network: membus.New()}
	f.store.put("a", "1")
	for i := range n {
		m := &member{name: fmt.Sprintf("i%02d", i), values: make(map[string]string), changedAt: make(map[string]time.Time)}
		m.follower = New(Options{Bus: countingBus{f.network.Join(m.name, "d"), &f.broadcasts}, Source: storeClient{f.store, m.name}})
		m.follower.Add(Table{
			Name: "t", ListsPeers: times.ListsPeers, Wait: times.Wait, StaleAfter: times.StaleAfter, Apply: m.apply, Confirmed: m.confirm,
		})
		f.members = append(f.members, m)
	}
	for _, m := range f.members {
		go m.follower.Run(ctx)
	}
	return f
}

// readers returns the names of the instances that read.
func (f *testFleet) readers() []string {
	var list []string
	for _, m := range f.members {
		if m.follower.TablesRead() > 0 {
			list = append(list, m.name)
		}
	}
	return list
}

func withFleet(t *testing.T, n int, test func(t *testing.T, f *testFleet)) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleet(ctx, n)
		test(t, f)
		cancel()
		synctest.Wait()
	})
}
