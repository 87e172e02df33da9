package upgrade

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/dispatch"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/storefeed"
)

var errResponseLost = errors.New("store response lost")

// memRecords is an in-memory RecordStore with fault injection.
type memRecords struct {
	mu      sync.Mutex
	started time.Time
	era     uint64
	record  Record
	found   bool
	saves   []statechart.State
	// down makes every write fail; loseResponses makes writes take effect but return an
	// error.
	down, loseResponses bool
}

func (m *memRecords) Load(string) (Record, bool, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.record, m.found, true
}

func (m *memRecords) Save(_ context.Context, r Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return errResponseLost
	}
	if r.Revision != m.record.Revision {
		return ErrConflict
	}
	r.Revision.Era = m.era
	r.Revision.Revision++
	m.record, m.found = r, true
	m.saves = append(m.saves, r.State)
	if m.loseResponses {
		return errResponseLost
	}
	return nil
}

func (m *memRecords) Now() (time.Duration, bool) { return time.Since(m.started), true }

const (
	oldRelease = "v1"
	newRelease = "v2"
	service    = "models"
)

// testExposure is the bound of the users' deployments.
var testExposure = Exposure{Share: 0.15, Slack: 30}

type testFleet struct {
	records     *memRecords
	network     *membus.Network
	controllers []*Controller
	sets        []*fleet.Set
	cancels     []context.CancelFunc
}

func registrations(release string) []fleet.Registration {
	var list []fleet.Registration
	for i := range 3 {
		id := fmt.Sprintf("%s-%d", release, i)
		list = append(list, fleet.Registration{ID: id, Service: service, Address: id, Release: release, Slots: 8})
	}
	return list
}

func startFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{records: &memRecords{started: time.Now()}, network: membus.New()}
	for i := range n {
		f.join(t, fmt.Sprintf("i%d", i))
	}
	return f
}

// join starts an instance.
func (f *testFleet) join(t *testing.T, name string) *Controller {
	charts, err := statechart.Load()
	require.NoError(t, err)
	set := fleet.NewSet("", nil)
	set.Put(registrations(oldRelease)...)
	c := New(Options{
		Bus: f.network.Join(name, "d"), Records: f.records, Fleet: set, Chart: charts.Upgrade,
		Exposure: testExposure, SessionIdleTimeout: 5 * time.Second, Seed: uint64(len(f.controllers)),
	})
	ctx, cancel := context.WithCancel(t.Context())
	go c.Run(ctx)
	f.controllers, f.sets, f.cancels = append(f.controllers, c), append(f.sets, set), append(f.cancels, cancel)
	return c
}

func (f *testFleet) upgrade() {
	for i, c := range f.controllers {
		f.sets[i].Put(registrations(newRelease)...)
		c.Start(Upgrade{Service: service, To: newRelease, Duration: 24 * time.Second, Revision: storefeed.Position{Revision: 7}}, false)
	}
}

// traffic sends requests of long and of new sessions for the time d. It returns the
// number of requests by release and the last release of each session.
func (f *testFleet) traffic(d time.Duration, seed int, answer func(release string, n int) (failed bool, latency time.Duration)) (counts map[string]int, chosen map[string]string) {
	counts, chosen = make(map[string]int), make(map[string]string)
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		session := fmt.Sprint("s", seed, "-", n)
		if n%4 == 0 {
			session = fmt.Sprint("long", seed, "-", n%12)
		}
		c := f.controllers[n%len(f.controllers)]
		release := c.Choose(service, session)
		counts[release]++
		chosen[session] = release
		failed, latency := answer(release, n)
		c.Observe(dispatch.Observation{Service: service, Release: release, Route: "r", Failed: failed, Latency: latency, InputTokens: 1000})
		time.Sleep(20 * time.Millisecond)
	}
	return counts, chosen
}

func goodAnswer(string, int) (bool, time.Duration) { return false, 60 * time.Millisecond }

func (f *testFleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	synctest.Wait()
}

func TestGoodReleaseCompletesInTimeAndMovesNoSessionEarly(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		_, before := f.traffic(3*time.Second, 1, goodAnswer)
		f.upgrade()
		counts, during := f.traffic(11*time.Second, 1, goodAnswer)
		for session, release := range before {
			if _, continues := during[session]; continues && session[:4] == "long" {
				assert.Equal(t, release, during[session], "session %s moved in the first half", session)
			}
		}
		assert.Positive(t, counts[newRelease])
		assert.Less(t, float64(counts[newRelease]), 0.12*float64(counts[oldRelease]))
		f.traffic(13*time.Second, 1, goodAnswer)
		assert.Equal(t, statechart.UpgradeCompleted, f.records.record.State)
		assert.Equal(t, []statechart.State{statechart.UpgradeObserving, statechart.UpgradeCompleted}, f.records.saves, "each state is recorded once")
		for _, c := range f.controllers {
			assert.Equal(t, newRelease, c.Choose(service, "any"))
		}
		f.stop()
	})
}

func TestBadReleaseIsStoppedAfterFewAnswers(t *testing.T) {
	bad := map[string]func(release string, n int) (bool, time.Duration){
		"failing": func(release string, n int) (bool, time.Duration) {
			return release == newRelease && n%3 == 0, 60 * time.Millisecond
		},
		"slow": func(release string, n int) (bool, time.Duration) {
			if release == newRelease && n%2 == 0 {
				return false, 480 * time.Millisecond
			}
			return false, 60 * time.Millisecond
		},
	}
	for name, answer := range bad {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := startFleet(t, 5)
				f.traffic(3*time.Second, 1, answer)
				f.upgrade()
				counts, _ := f.traffic(22*time.Second, 2, answer)
				assert.LessOrEqual(t, counts[newRelease], 100)
				assert.Equal(t, statechart.UpgradeReverted, f.records.record.State)
				for _, c := range f.controllers {
					assert.Equal(t, oldRelease, c.Choose(service, "any"))
				}
				f.stop()
			})
		})
	}
}

func TestLateBadReleaseIsStoppedWhileSessionsMove(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		f.upgrade()
		f.traffic(13*time.Second, 1, goodAnswer)
		counts, _ := f.traffic(9*time.Second, 2, func(release string, n int) (bool, time.Duration) {
			return release == newRelease && n%2 == 0, 60 * time.Millisecond
		})
		assert.Equal(t, statechart.UpgradeReverted, f.records.record.State)
		assert.Less(t, counts[newRelease], 120, "of 450 requests")
		f.stop()
	})
}

func TestSlowdownOfBothReleasesDoesNotStopTheUpgrade(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		f.traffic(3*time.Second, 1, goodAnswer)
		f.upgrade()
		f.traffic(24*time.Second, 2, func(_ string, n int) (bool, time.Duration) {
			if n%5 == 0 {
				return false, time.Second
			}
			return n%20 == 0, 60 * time.Millisecond
		})
		assert.Equal(t, statechart.UpgradeCompleted, f.records.record.State)
		f.stop()
	})
}

func TestOutcomeIsRecordedDespiteOutageLostResponsesAndCrash(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		f.upgrade()
		f.traffic(8*time.Second, 1, goodAnswer)
		f.records.down = true
		f.cancels[0]()
		f.traffic(12*time.Second, 2, goodAnswer)
		assert.Equal(t, statechart.UpgradeObserving, f.records.record.State)
		f.records.mu.Lock()
		f.records.down, f.records.loseResponses = false, true
		f.records.mu.Unlock()
		f.traffic(5*time.Second, 3, goodAnswer)
		assert.Equal(t, statechart.UpgradeCompleted, f.records.record.State)
		assert.Equal(t, []statechart.State{statechart.UpgradeObserving, statechart.UpgradeCompleted}, f.records.saves, "written once although the response was lost")
		c := f.join(t, "late")
		f.sets[len(f.sets)-1].Put(registrations(newRelease)...)
		c.Start(Upgrade{Service: service, To: newRelease, Duration: 24 * time.Second, Revision: storefeed.Position{Revision: 7}}, false)
		time.Sleep(time.Second)
		assert.Equal(t, newRelease, c.Choose(service, "any"), "an instance that starts later applies the stored outcome")
		f.stop()
	})
}

func TestServersOfAReleaseWithoutAnUpgradeGetNoRequests(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := startFleet(t, 1)
		assert.Equal(t, oldRelease, f.controllers[0].Choose(service, "s"))
		f.sets[0].Put(registrations(newRelease)...)
		assert.Equal(t, oldRelease, f.controllers[0].Choose(service, "t"))
		f.stop()
	})
}

func TestSessionSeenElsewhereKeepsItsReleaseInTheFirstHalf(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const sessions = 300
		f := startFleet(t, 2)
		for n := range sessions {
			require.Equal(t, oldRelease, f.controllers[0].Choose(service, fmt.Sprint("s", n)))
			time.Sleep(10 * time.Millisecond)
		}
		f.upgrade()
		time.Sleep(canaryDelay + time.Second)
		moved := 0
		for n := range sessions {
			if f.controllers[1].Choose(service, fmt.Sprint("s", n)) != oldRelease {
				moved++
			}
		}
		assert.LessOrEqual(t, moved, 3, "sessions that continued at another instance")
		f.stop()
	})
}

// TestRequestsWithoutASessionAreSplitBetweenReleases guards against a service without
// sessions, all of whose requests go to the new release or all to the old one: the canary
// then gets no answers, or everything.
func TestRequestsWithoutASessionAreSplitBetweenReleases(t *testing.T) {
	for _, release := range []string{"v2", "v3", "v4", "v5"} {
		bubble.Test(t, func(t *testing.T) {
			f := startFleet(t, 2)
			for i, c := range f.controllers {
				f.sets[i].Put(registrations(release)...)
				c.Start(Upgrade{Service: service, To: release, Duration: 24 * time.Second, Revision: storefeed.Position{Revision: 7}}, false)
			}
			choose := func(d time.Duration) (share float64) {
				const interval = 10 * time.Millisecond
				counts := make(map[string]float64)
				for n := range int(d / interval) {
					counts[f.controllers[n%2].Choose(service, "")]++
					time.Sleep(interval)
				}
				return counts[release] / (counts[release] + counts[oldRelease])
			}
			choose(2 * time.Second)
			canary := choose(10 * time.Second)
			assert.Positive(t, canary, release)
			assert.Less(t, canary, 0.2, release)
			f.stop()
		})
	}
}

// TestReleaseWithdrawnEarlierIsNotTheOldOne guards against the servers of a bad release,
// which remain for a time, being taken for those of the old one in the next upgrade.
func TestReleaseWithdrawnEarlierIsNotTheOldOne(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		f.traffic(3*time.Second, 1, goodAnswer)
		f.upgrade()
		f.traffic(20*time.Second, 2, func(release string, n int) (bool, time.Duration) {
			return release == newRelease && n%2 == 0, 60 * time.Millisecond
		})
		require.Equal(t, statechart.UpgradeReverted, f.records.record.State)
		for i, c := range f.controllers {
			f.sets[i].Put(registrations("v3")...)
			for _, r := range registrations(oldRelease) {
				f.sets[i].Remove(r.ID)
			}
			c.Start(Upgrade{Service: service, To: "v3", Duration: 24 * time.Second, Revision: storefeed.Position{Revision: 9}}, false)
			for n := range 100 {
				assert.NotEqual(t, newRelease, c.Choose(service, fmt.Sprint("s", n)))
			}
			assert.True(t, c.IsWithdrawn(service, newRelease))
			c.Start(Upgrade{Service: service, To: newRelease, Duration: 24 * time.Second, Revision: storefeed.Position{Revision: 11}}, false)
			assert.False(t, c.IsWithdrawn(service, newRelease), "the operator requests it anew")
		}
		f.stop()
	})
}

// TestUpgradeThatFollowsAMoveStartsFromItsRelease guards against sessions that return to the
// release before the last when the operator requests the next upgrade shortly before the last
// one is completed.
func TestUpgradeThatFollowsAMoveStartsFromItsRelease(t *testing.T) {
	for _, test := range []struct {
		name string
		// elapsed is the time from the first request to the second, old the release from
		// which the second upgrade then starts.
		elapsed time.Duration
		old     string
	}{
		{"before the move", 10 * time.Second, oldRelease},
		{"after the move", 23500 * time.Millisecond, newRelease},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := startFleet(t, 3)
				f.traffic(3*time.Second, 1, goodAnswer)
				f.upgrade()
				f.traffic(time.Second, 2, goodAnswer)
				f.records.mu.Lock()
				f.records.down = true // the first upgrade is never recorded as completed
				f.records.mu.Unlock()
				f.traffic(test.elapsed-time.Second, 3, goodAnswer)
				for i, c := range f.controllers {
					f.sets[i].Put(registrations("v3")...)
					c.Start(Upgrade{Service: service, To: "v3", Duration: 24 * time.Second, Revision: storefeed.Position{Revision: 9}}, false)
					for n := range 100 {
						assert.Equal(t, test.old, c.Choose(service, fmt.Sprint("s", n)))
					}
				}
				f.stop()
			})
		})
	}
}
