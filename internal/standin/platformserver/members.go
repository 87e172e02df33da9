package platformserver

import (
	"sort"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/tablestore"
)

const (
	// registrationLifetime is the time after the last renewal at which a
	// registration expires.
	registrationLifetime = 15 * time.Second
	// maxLag limits the lag switch and thereby the length of the history.
	maxLag = time.Minute
)

// snapshot is the membership list as of a point in time.
type snapshot struct {
	from    time.Time
	members []tablestore.Member
}

// members is the membership list with its recent history.
type members struct {
	mu        sync.Mutex
	current   map[string]tablestore.Member
	renewedAt map[string]time.Time
	history   []snapshot
}

func newMembers() *members {
	return &members{current: make(map[string]tablestore.Member), renewedAt: make(map[string]time.Time)}
}

func (m *members) put(member tablestore.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.expire(now)
	m.renewedAt[member.ID] = now
	if old, ok := m.current[member.ID]; ok && old == member {
		return
	}
	m.current[member.ID] = member
	m.recordSnapshot(now)
}

func (m *members) remove(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	delete(m.current, id)
	delete(m.renewedAt, id)
	m.recordSnapshot(now)
}

// list returns the list as of lag ago.
func (m *members) list(lag time.Duration) []tablestore.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.expire(now)
	at := now.Add(-min(lag, maxLag))
	for i := len(m.history) - 1; i >= 0; i-- {
		if !m.history[i].from.After(at) {
			return m.history[i].members
		}
	}
	return nil
}

// expire removes the registrations that were not renewed in time.
func (m *members) expire(now time.Time) {
	changed := false
	for id, at := range m.renewedAt {
		if now.Sub(at) > registrationLifetime {
			delete(m.current, id)
			delete(m.renewedAt, id)
			changed = true
		}
	}
	if changed {
		m.recordSnapshot(now)
	}
}

// recordSnapshot adds the current list to the history and removes the snapshots
// that were superseded more than maxLag ago.
func (m *members) recordSnapshot(now time.Time) {
	list := make([]tablestore.Member, 0, len(m.current))
	for _, member := range m.current {
		list = append(list, member)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	m.history = append(m.history, snapshot{from: now, members: list})
	for len(m.history) > 1 && now.Sub(m.history[1].from) > maxLag {
		m.history = m.history[1:]
	}
}
