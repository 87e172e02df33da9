package upgrade

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/storefeed"
)

// restore replaces the stored record by an earlier one, or removes it, in a new era.
func (m *memRecords) restore(record Record, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	record.Revision = storefeed.Position{}
	if found {
		record.Revision = storefeed.Position{Era: m.era, Revision: 5}
	}
	m.record, m.found = record, found
}

func (m *memRecords) current() Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record
}

func request(era, revision uint64) Upgrade {
	return Upgrade{Service: service, To: newRelease, Duration: 24 * time.Second, Revision: storefeed.Position{Era: era, Revision: revision}}
}

// start passes a request of the operator to all instances.
func (f *testFleet) start(u Upgrade, uncertain bool) {
	for _, c := range f.controllers {
		c.Start(u, uncertain)
	}
}

// TestEndedUpgradeIsNotRunAgainAfterARestore covers a store that lost the outcome of an
// upgrade and, or only, the operator's request, which is then written again.
func TestEndedUpgradeIsNotRunAgainAfterARestore(t *testing.T) {
	badAnswer := func(release string, n int) (bool, time.Duration) {
		return release == newRelease && n%2 == 0, 60 * time.Millisecond
	}
	for name, c := range map[string]struct {
		answer func(string, int) (bool, time.Duration)
		want   statechart.State
		// copied is the record in the copy, if found.
		copied Record
		found  bool
	}{
		"completed, record lost": {answer: goodAnswer, want: statechart.UpgradeCompleted},
		"completed, earlier record": {
			answer: goodAnswer, want: statechart.UpgradeCompleted, found: true,
			copied: Record{Service: service, To: newRelease, UpgradeRevision: storefeed.Position{Revision: 7}, State: statechart.UpgradeObserving},
		},
		"reverted, record lost": {answer: badAnswer, want: statechart.UpgradeReverted},
		"reverted, earlier record": {
			answer: badAnswer, want: statechart.UpgradeReverted, found: true,
			copied: Record{Service: service, To: newRelease, UpgradeRevision: storefeed.Position{Revision: 7}, State: statechart.UpgradeObserving},
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := startFleet(t, 5)
				f.traffic(3*time.Second, 1, c.answer)
				f.upgrade()
				f.traffic(24*time.Second, 1, c.answer)
				assert.Equal(t, c.want, f.records.current().State)
				saves := len(f.records.saves)
				release := f.controllers[0].Choose(service, "any")

				f.records.restore(c.copied, c.found)
				f.traffic(4*time.Second, 2, c.answer)
				assert.Equal(t, c.want, f.records.current().State, "the outcome is written again")
				assert.Len(t, f.records.saves[saves:], 1, "by one instance")
				f.start(request(1, 6), true)
				counts, _ := f.traffic(6*time.Second, 3, c.answer)
				assert.Len(t, counts, 1, "all requests run on one release")
				assert.Contains(t, counts, release)
				record := f.records.current()
				assert.Equal(t, c.want, record.State)
				assert.Equal(t, request(1, 6).Revision, record.UpgradeRevision, "the record names the request that was written again")
				for _, state := range f.records.saves[saves:] {
					assert.Equal(t, c.want, state)
				}
				f.stop()
			})
		})
	}
}

// TestUpgradeContinuesOverARestore covers a restore in the first half, which loses the
// request and the record, and a change of the request's revision.
func TestUpgradeContinuesOverARestore(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		f.traffic(3*time.Second, 1, goodAnswer)
		f.upgrade()
		f.traffic(6*time.Second, 1, goodAnswer)
		started := f.records.current().Started
		f.records.restore(Record{}, false)
		f.traffic(time.Second, 1, goodAnswer)
		f.start(request(1, 3), true)
		f.traffic(4*time.Second, 1, goodAnswer)
		assert.Equal(t, statechart.UpgradeObserving, f.records.current().State)
		assert.Equal(t, started, f.records.current().Started, "the upgrade did not start over")
		f.traffic(13*time.Second, 1, goodAnswer)
		assert.Equal(t, statechart.UpgradeCompleted, f.records.current().State)
		f.stop()
	})
}

// TestEarlierRequestInARestoredStoreIsIgnored covers a copy that has the service's
// previous request instead of the current one.
func TestEarlierRequestInARestoredStoreIsIgnored(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		f.upgrade()
		f.traffic(24*time.Second, 1, goodAnswer)
		f.start(Upgrade{Service: service, To: "v3", Duration: 24 * time.Second, Revision: storefeed.Position{Revision: 9}}, false)
		f.traffic(2*time.Second, 1, goodAnswer)
		assert.Equal(t, "v3", f.records.current().To)
		f.start(request(1, 7), true)
		assert.Equal(t, "v3", f.controllers[0].upgrades[service].upgrade.To)
		f.start(Upgrade{Service: service, To: "v3", Duration: 24 * time.Second, Revision: storefeed.Position{Era: 1, Revision: 8}}, true)
		assert.Equal(t, "v3", f.controllers[0].upgrades[service].upgrade.To)
		f.start(Upgrade{Service: service, To: "v4", Duration: 24 * time.Second, Revision: storefeed.Position{Era: 1, Revision: 9}}, true)
		assert.Equal(t, "v4", f.controllers[0].upgrades[service].upgrade.To, "a new request")
		f.stop()
	})
}

// TestNewInstanceLeavesTheRecordToThoseThatKnowIt covers instances that start just after
// a restore and find the request without its record. Some of them rank before the
// others.
func TestNewInstanceLeavesTheRecordToThoseThatKnowIt(t *testing.T) {
	for i := range 8 {
		bubble.Test(t, func(t *testing.T) {
			f := startFleet(t, 3)
			f.upgrade()
			f.traffic(24*time.Second, 1, goodAnswer)
			f.records.restore(Record{}, false)
			c := f.join(t, fmt.Sprint("new", i))
			f.sets[len(f.sets)-1].Put(registrations(newRelease)...)
			c.Start(request(1, 2), true)
			time.Sleep(6 * time.Second)
			assert.Equal(t, statechart.UpgradeCompleted, f.records.current().State)
			assert.Equal(t, newRelease, c.Choose(service, "any"))
			assert.NotContains(t, f.records.saves[2:], statechart.UpgradeObserving)
			f.stop()
		})
	}
}

// TestRecordOfALaterUpgradeIsNotOverwritten covers an instance without a record of its
// upgrade that sees the record of a later one.
func TestRecordOfALaterUpgradeIsNotOverwritten(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := startFleet(t, 1)
		later := Record{
			Service: service, To: "v3", UpgradeRevision: storefeed.Position{Revision: 12},
			State: statechart.UpgradeObserving, Revision: storefeed.Position{Revision: 1},
		}
		f.records.record, f.records.found = later, true
		f.upgrade()
		f.traffic(5*time.Second, 1, goodAnswer)
		assert.Equal(t, later, f.records.current())
		f.stop()
	})
}
