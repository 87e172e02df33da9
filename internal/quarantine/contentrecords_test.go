package quarantine

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/refusal"
	"github.com/basilrail/basilrail/internal/storefeed"
)

var errDown = errors.New("the store is down")

// contentStore is a store of refused contents.
type contentStore struct {
	began  time.Time
	mu     sync.Mutex
	isDown bool
	// delay is how long a call takes.
	delay  time.Duration
	era    uint64
	last   uint64
	rows   map[string]refusal.Record
	writes []time.Time
}

func newContentStore() *contentStore {
	return &contentStore{began: time.Now(), delay: 5 * time.Millisecond, era: 1, rows: make(map[string]refusal.Record)}
}

// change changes a row once the call's time is over. A caller that waits no longer doesn't learn of it.
func (s *contentStore) change(ctx context.Context, r refusal.Record, apply func()) error {
	result := make(chan error, 1)
	go func() {
		time.Sleep(s.callTime())
		result <- s.changeNow(r, apply)
	}()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *contentStore) callTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delay
}

func (s *contentStore) setCallTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

func (s *contentStore) changeNow(r refusal.Record, apply func()) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = append(s.writes, time.Now())
	if s.isDown {
		return errDown
	}
	if s.rows[r.Key].Position != r.Position {
		return refusal.ErrConflict
	}
	s.last++
	apply()
	return nil
}

// Save implements refusal.Store.
func (s *contentStore) Save(ctx context.Context, r refusal.Record) error {
	return s.change(ctx, r, func() {
		r.Position = storefeed.Position{Era: s.era, Revision: s.last}
		s.rows[r.Key] = r
	})
}

// Remove implements refusal.Store.
func (s *contentStore) Remove(ctx context.Context, r refusal.Record) error {
	return s.change(ctx, r, func() { delete(s.rows, r.Key) })
}

// Now implements refusal.Store.
func (s *contentStore) Now() (time.Duration, bool) { return time.Since(s.began) + time.Hour, true }

func (s *contentStore) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// read returns the rows; ok is false while the store is down.
func (s *contentStore) read() (rows []refusal.Record, era uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.rows)), s.era, !s.isDown
}

func (s *contentStore) copyRows() map[string]refusal.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.rows)
}

// restore brings back a copy in a new era.
func (s *contentStore) restore(copied map[string]refusal.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rows = maps.Clone(copied)
	for key, r := range s.rows {
		r.Position.Era = s.era
		s.rows[key] = r
	}
}

// mostWrites returns the largest number of write calls in a second.
func (s *contentStore) mostWrites() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, from := 0, 0
	for to := range s.writes {
		for s.writes[to].Sub(s.writes[from]) >= time.Second {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// contentFleet are instances with a store.
type contentFleet struct {
	t        *testing.T
	network  *membus.Network
	store    *contentStore
	trackers []*DisconnectTracker
	stops    []func()
	crashes  int
}

func newContentFleet(t *testing.T, n int) *contentFleet {
	f := &contentFleet{t: t, network: membus.New(), store: newContentStore(), trackers: make([]*DisconnectTracker, n), stops: make([]func(), n)}
	for i := range n {
		f.start(i)
	}
	time.Sleep(2 * catchUpTime)
	return f
}

// start starts an instance, which reads the table at once and then every second.
func (f *contentFleet) start(i int) {
	ctx, stop := context.WithCancel(f.t.Context())
	d := NewDisconnectTracker(DisconnectOptions{Bus: f.network.Join(fmt.Sprint("i", i), "d"), Records: f.store})
	f.trackers[i], f.stops[i] = d, stop
	era := uint64(0)
	follow := func() {
		rows, current, ok := f.store.read()
		if !ok {
			return
		}
		if era != 0 && current != era {
			d.RecordsLost(rows)
		}
		d.ApplyRecords(rows, era == 0 || current == era)
		era = current
	}
	go func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		follow()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				follow()
			}
		}
	}()
	go d.Run(ctx)
}

func (f *contentFleet) restartAll() {
	for _, stop := range f.stops {
		stop()
	}
	for i := range f.trackers {
		f.start(i)
	}
	time.Sleep(100 * time.Millisecond)
}

// send sends the culprit at an instance, and reports whether it reached a server, which it then crashed.
func (f *contentFleet) send(i int) bool {
	d := f.trackers[i%len(f.trackers)]
	if wait, _ := d.Admit(f.t.Context(), culprit); wait > 0 {
		return false
	}
	started := time.Now()
	time.Sleep(20 * time.Millisecond)
	f.crashes++
	d.Disconnected(culprit, fleet.Process{ID: fmt.Sprint("s", f.crashes)}, started, time.Now())
	return true
}

// crash makes the culprit crash as many servers as lead to its refusal.
func (f *contentFleet) crash() {
	for i := range disconnectLimit {
		require.True(f.t, f.send(i))
		time.Sleep(1500 * time.Millisecond)
	}
}

func (f *contentFleet) isRefused(content Fingerprint) (list []bool) {
	for _, d := range f.trackers {
		list = append(list, d.RefusedFor(content) > 0)
	}
	return list
}

// TestRefusedContentOutlivesRestartsOfAll guards against a request that crashes servers and is forgotten when all
// instances lose power at once: it would crash three servers again each time (BUDGET).
func TestRefusedContentOutlivesRestartsOfAll(t *testing.T) {
	for _, restarts := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(restarts, " restarts"), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newContentFleet(t, 3)
				f.crash()
				for range restarts {
					f.restartAll()
					for i := range 10 {
						f.send(i)
						time.Sleep(5 * time.Second)
					}
				}
				for i := range 2000 {
					f.send(i)
					time.Sleep(5 * time.Second)
				}
				assert.LessOrEqual(t, f.crashes, disconnectLimit+3, "operators tolerate three retries, however long the request comes")
				assert.Equal(t, disconnectLimit+maxTrials, f.crashes)
			})
		})
	}
}

// TestPowerLossRightAfterTheThirdCrash guards against a refusal that is stored so late that a loss of power soon after
// the third crash makes the fleet forget it (BUDGET).
func TestPowerLossRightAfterTheThirdCrash(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newContentFleet(t, 3)
		for i := range disconnectLimit {
			if i > 0 {
				time.Sleep(1500 * time.Millisecond)
			}
			require.True(t, f.send(i))
		}
		time.Sleep(20 * time.Millisecond)
		f.restartAll()
		assert.Equal(t, []bool{true, true, true}, f.isRefused(culprit))
	})
}

// TestExpiredRefusalLetsOneRequestPass guards against a refusal that lets one request pass per instance when it expires
// (BUDGET).
func TestExpiredRefusalLetsOneRequestPass(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newContentFleet(t, 7)
		f.crash()
		time.Sleep(firstTrial)
		passed := make([]bool, 7)
		var running sync.WaitGroup
		for i, d := range f.trackers {
			running.Go(func() {
				wait, _ := d.Admit(t.Context(), culprit)
				passed[i] = wait == 0
			})
		}
		running.Wait()
		count := 0
		for _, p := range passed {
			if p {
				count++
			}
		}
		assert.Equal(t, 1, count)
		assert.False(t, f.send(0), "the trial is not over")
	})
}

// TestSoundContentIsServedAgainAfterItsTrial guards against a sound request that was unlucky and stays refused: by an
// instance, by the stored record, or after a restart.
func TestSoundContentIsServedAgainAfterItsTrial(t *testing.T) {
	for name, disturb := range map[string]func(f *contentFleet){
		"nothing else":   func(*contentFleet) {},
		"restart of all": func(f *contentFleet) { f.restartAll() },
		"restored store": func(f *contentFleet) { f.store.restore(f.store.copyRows()) },
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newContentFleet(t, 3)
				f.crash()
				disturb(f)
				refusedAt := time.Now()
				i := 0
				for {
					if wait, _ := f.trackers[i%3].Admit(t.Context(), culprit); wait == 0 {
						break
					}
					time.Sleep(time.Second)
					i++
				}
				assert.Less(t, time.Since(refusedAt), firstTrial+5*time.Second)
				copied := f.store.copyRows()
				f.trackers[i%3].Answered(culprit)
				time.Sleep(4 * time.Second)
				assert.Equal(t, []bool{false, false, false}, f.isRefused(culprit))
				assert.Empty(t, f.store.copyRows())
				// A copy of some seconds before brings the record back.
				f.store.restore(copied)
				time.Sleep(8 * time.Second)
				assert.Equal(t, []bool{false, false, false}, f.isRefused(culprit))
				assert.Empty(t, f.store.copyRows())
				f.restartAll()
				assert.Equal(t, []bool{false, false, false}, f.isRefused(culprit))
			})
		})
	}
}

// TestRefusedContentOutlivesFaultsOfTheStore guards against refusals, and trials, that are forgotten because the store was
// away or came back as an older copy (BUDGET).
func TestRefusedContentOutlivesFaultsOfTheStore(t *testing.T) {
	for name, play := range map[string]func(f *contentFleet){
		"away at the crashes": func(f *contentFleet) {
			f.store.setDown(true)
			f.crash()
			time.Sleep(20 * time.Second)
			f.store.setDown(false)
			time.Sleep(5 * time.Second)
		},
		"back from before the crashes": func(f *contentFleet) {
			copied := f.store.copyRows()
			f.crash()
			f.store.restore(copied)
			time.Sleep(5 * time.Second)
		},
		"back from before the first trial": func(f *contentFleet) {
			f.crash()
			copied := f.store.copyRows()
			time.Sleep(firstTrial)
			require.True(f.t, f.send(0))
			f.store.restore(copied)
			time.Sleep(5 * time.Second)
		},
		"back from before both trials": func(f *contentFleet) {
			f.crash()
			copied := f.store.copyRows()
			time.Sleep(firstTrial)
			require.True(f.t, f.send(0))
			time.Sleep(trialGrowth * firstTrial)
			require.True(f.t, f.send(1))
			f.store.restore(copied)
			time.Sleep(5 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newContentFleet(t, 3)
				play(f)
				f.restartAll()
				assert.Equal(t, []bool{true, true, true}, f.isRefused(culprit))
				for i := range 500 {
					f.send(i)
					time.Sleep(5 * time.Second)
				}
				assert.Equal(t, disconnectLimit+maxTrials, f.crashes)
			})
		})
	}
}

// TestTrialThatReachesNoServerIsNotUsedUp guards against a sound content that stays refused because its trials came while no
// server had room.
func TestTrialThatReachesNoServerIsNotUsedUp(t *testing.T) {
	for name, isStored := range map[string]bool{"stored": true, "in memory": false} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newContentFleet(t, 3)
				if !isStored {
					f.trackers = f.trackers[:1]
					f.trackers[0].ledger.Store = nil
				}
				f.crash()
				unused := 0
				for i := range 300 {
					d := f.trackers[i%len(f.trackers)]
					if wait, isTrial := d.Admit(t.Context(), culprit); wait == 0 {
						assert.True(t, isTrial)
						unused++
						d.ReturnTrial(culprit)
					}
					time.Sleep(time.Second)
				}
				assert.Greater(t, unused, 10)
				if isStored {
					assert.Less(t, f.store.mostWrites(), 10)
				}
				for i := range 1000 {
					f.send(i)
					time.Sleep(5 * time.Second)
				}
				assert.Equal(t, disconnectLimit+maxTrials, f.crashes, "the trials that are used count")
			})
		})
	}
}

// TestSlowStoreUsesUpNoTrial guards against a sound content that stays refused because the store took longer to acquire its
// trials than a request waits.
func TestSlowStoreUsesUpNoTrial(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newContentFleet(t, 3)
		f.crash()
		f.store.setCallTime(2 * trialWait)
		for i := range 240 {
			assert.False(t, f.send(i))
			time.Sleep(time.Second)
		}
		f.store.setCallTime(5 * time.Millisecond)
		for i := range 10 {
			f.send(i)
			time.Sleep(time.Second)
		}
		assert.Equal(t, disconnectLimit+1, f.crashes, "a trial follows soon")
		for i := range 1000 {
			f.send(i)
			time.Sleep(5 * time.Second)
		}
		assert.Equal(t, disconnectLimit+maxTrials, f.crashes)
	})
}

// TestNoTrialWhileTheStoreIsAway guards against a content that passes at each instance because none can ask the others
// through the store (BUDGET), and against requests that are held meanwhile.
func TestNoTrialWhileTheStoreIsAway(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newContentFleet(t, 3)
		f.crash()
		f.store.setDown(true)
		time.Sleep(firstTrial)
		for i := range 30 {
			began := time.Now()
			assert.False(t, f.send(i))
			assert.LessOrEqual(t, time.Since(began), trialWait)
			time.Sleep(time.Second)
		}
		f.store.setDown(false)
		time.Sleep(3 * time.Second)
		assert.True(t, f.send(0), "a trial follows the store's return at once")
	})
}

// TestManyContentsAtOnceStayWithinTheStore guards against the loss of a failure domain, which marks many sound contents at
// once: they must not use up the store's rates or rows, nor replace a refusal that holds.
func TestManyContentsAtOnceStayWithinTheStore(t *testing.T) {
	const instances, contents = 20, 300
	bubble.Test(t, func(t *testing.T) {
		f := newContentFleet(t, instances)
		f.crash()
		time.Sleep(3 * time.Second)
		f.store.mu.Lock()
		f.store.writes = nil
		f.store.mu.Unlock()
		for i, d := range f.trackers {
			for c := range contents {
				fp := FingerprintOf([]byte(fmt.Sprint(i, "/", c)))
				for s := range disconnectLimit {
					time.Sleep(time.Microsecond)
					d.Disconnected(fp, fleet.Process{ID: fmt.Sprint("s", s)}, time.Now(), time.Now())
				}
			}
		}
		for range 60 {
			time.Sleep(time.Second)
			assert.False(t, f.trackers[3].RefusedFor(culprit) == 0 && !f.send(3), "asked for, so it stays")
		}
		rows := f.store.copyRows()
		assert.LessOrEqual(t, len(rows), maxFollowed)
		assert.Contains(t, rows, culprit.String())
		assert.LessOrEqual(t, f.store.mostWrites(), 2*fleetWritesAllowed)
		for _, d := range f.trackers {
			d.mu.Lock()
			assert.LessOrEqual(t, len(d.refused), maxFollowed)
			assert.LessOrEqual(t, d.contents.Len(), maxContents)
			d.mu.Unlock()
		}
	})
}

// fleetWritesAllowed is the part of the smallest site's 400 writes per second that refusals may use.
const fleetWritesAllowed = 200

// TestInvalidRecordsRefuseNothingForLong guards against rows that can't be right: they must not refuse a sound request
// without a trial, nor end the instance.
func TestInvalidRecordsRefuseNothingForLong(t *testing.T) {
	for name, r := range map[string]refusal.Record{
		"empty":                 {},
		"far in the future":     {From: 1e18, NextTrial: 1e18, Expires: 1e18},
		"negative trials":       {Trials: -1 << 40},
		"more returned":         {Trials: 1, Returned: 1 << 40, NextTrial: 1e18},
		"expired":               {Expires: 1},
		"before the store":      {From: -1e18, NextTrial: -1e18, Expires: -1e18},
		"expiry before a trial": {NextTrial: 1e18, Expires: time.Hour + 20*time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newContentFleet(t, 2)
				r.Key = innocent.String()
				require.NoError(t, f.store.Save(t.Context(), r))
				time.Sleep(2 * time.Second)
				for n := 0; ; n++ {
					require.Less(t, n, 3*int(firstTrial/time.Second))
					if wait, _ := f.trackers[n%2].Admit(t.Context(), innocent); wait == 0 {
						break
					}
					time.Sleep(time.Second)
				}
				f.trackers[0].ApplyRecords([]refusal.Record{{Key: "no fingerprint"}}, false)
				f.trackers[0].RecordRemoved("no fingerprint")
			})
		})
	}
}
