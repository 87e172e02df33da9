package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

var (
	culprit  = FingerprintOf([]byte("culprit"))
	innocent = FingerprintOf([]byte("innocent"))
	servers  = []string{"s1", "s2", "s3", "s4"}
)

// testFleet is a group of connected instances in one synctest bubble.
type testFleet struct {
	network   *membus.Network
	table     tablestore.Table
	instances []*Quarantine
}

func (f *testFleet) add(t *testing.T) *Quarantine {
	id := fmt.Sprintf("entry-%d", len(f.instances))
	q := New(Options{Bus: f.network.Join(id, "a"), Table: f.table, Rand: rand.New(rand.NewPCG(1, uint64(len(f.instances))))})
	f.instances = append(f.instances, q)
	go q.Run(t.Context())
	return q
}

func newFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{network: membus.New(), table: memtable.New()}
	for range n {
		f.add(t)
	}
	return f
}

// crashOnce runs contents together on a server and then reports its crash.
func crashOnce(q *Quarantine, server string, contents ...Fingerprint) []Suspect {
	for i, fp := range contents {
		q.Begin(server, "p1", fp, fmt.Sprintf("%s-%d", server, i))
	}
	suspects := q.Crashed(server, "p1")
	for i := range contents {
		q.End(fmt.Sprintf("%s-%d", server, i), false)
	}
	return suspects
}

// A content that crashed two servers is refused by every instance, including one
// that starts later and can reach only the table or only a peer.
func TestSecondCrashQuarantinesOnAllInstances(t *testing.T) {
	tests := []struct {
		desc        string
		injectFault func(f *testFleet)
	}{
		{desc: "store and peers available", injectFault: func(*testFleet) {}},
		{desc: "store down", injectFault: func(f *testFleet) { f.table.(*memtable.Table).SetFaults(memtable.Faults{Down: true}) }},
		{desc: "all earlier instances disconnected", injectFault: func(f *testFleet) {
			for i := range f.instances {
				f.network.SetPartitioned(fmt.Sprintf("entry-%d", i), true)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := newFleet(t, 3)
				require.Len(t, crashOnce(f.instances[0], "s1", culprit, innocent), 2)
				require.Equal(t, Verdict{Suspect: true, Avoid: []string{"s1"}}, f.instances[2].Check(culprit))
				crashOnce(f.instances[1], "s2", culprit)
				for _, q := range f.instances {
					require.True(t, q.Check(culprit).Quarantined)
					require.False(t, q.Check(innocent).Quarantined)
				}
				synctest.Wait()
				test.injectFault(f)
				late := f.add(t)
				synctest.Wait()
				require.True(t, late.Check(culprit).Quarantined)
			})
		})
	}
}

// A crash reported by several instances, or twice by one, counts once.
func TestOneCrashCountsOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		for _, q := range f.instances {
			q.Begin("s1", "p1", innocent, "x")
		}
		for _, q := range f.instances {
			q.Crashed("s1", "p1")
			require.Empty(t, q.Crashed("s1", "p1"), "the second call returns no suspects")
		}
		require.True(t, f.instances[0].Check(innocent).Suspect)
		require.False(t, f.instances[0].Check(innocent).Quarantined)
	})
}

// Two suspects of one crash never run together again, whichever instances send
// them.
func TestSuspectsNeverRunTogether(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		crashOnce(f.instances[0], "s1", culprit, innocent)
		first, err := f.instances[0].Place(t.Context(), culprit, "a", servers)
		require.NoError(t, err)
		require.NotEqual(t, "s1", first, "the server that crashed is avoided")
		second, err := f.instances[1].Place(t.Context(), innocent, "b", servers)
		require.NoError(t, err)
		require.NotEqual(t, first, second)

		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = f.instances[2].Place(short, culprit, "c", servers)
		require.ErrorIs(t, err, ErrNoSlot, "the same suspect content runs once at a time")

		f.instances[0].Begin(first, "p1", culprit, "a")
		done := make(chan error)
		go func() {
			_, err := f.instances[2].Place(t.Context(), culprit, "d", servers)
			done <- err
		}()
		time.Sleep(time.Second)
		f.instances[0].Crashed(first, "p1")
		f.instances[0].End("a", false)
		require.ErrorIs(t, <-done, ErrQuarantined, "a waiting Place call learns of the second crash")
	})
}

// lossyBus drops every broadcast.
type lossyBus struct{ peers.Bus }

func (lossyBus) Broadcast(peers.Kind, any) {}

// The grant of a content's slot after a crash includes the crash record, so that
// the next owner learns of it even if the broadcast is lost.
func TestSlotGrantIncludesCrashRecord(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := membus.New()
		var instances []*Quarantine
		for i := range 3 {
			bus := lossyBus{network.Join(fmt.Sprint("entry-", i), "a")}
			instances = append(instances, New(Options{Bus: bus, Rand: rand.New(rand.NewPCG(1, uint64(i)))}))
		}
		sender, next := instances[1], instances[2]
		crashOnce(sender, "s1", culprit)
		placed, err := sender.Place(t.Context(), culprit, "a", servers)
		require.NoError(t, err)
		sender.Begin(placed, "p1", culprit, "a")
		sender.Crashed(placed, "p1")
		sender.End("a", false)
		_, err = next.Place(t.Context(), culprit, "b", servers)
		require.ErrorIs(t, err, ErrQuarantined)
	})
}

// While an instance has a suspect in flight on a server, no other suspect is placed
// there.
func TestNoSuspectIsPlacedBesideARunningOne(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.instances[1].Begin("s2", "p1", innocent, "early")
		crashOnce(f.instances[0], "s1", culprit, innocent)
		placed, err := f.instances[0].Place(t.Context(), culprit, "a", []string{"s2", "s3"})
		require.NoError(t, err)
		require.Equal(t, "s3", placed)
	})
}

// The slot of a disconnected instance is free after slotTTL.
func TestSlotExpires(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		content := contentNotDecidedBy(f.instances[0])
		crashOnce(f.instances[0], "s1", content)
		_, err := f.instances[0].Place(t.Context(), content, "a", servers)
		require.NoError(t, err)
		f.network.SetPartitioned("entry-0", true)
		start := time.Now()
		_, err = f.instances[1].Place(t.Context(), content, "b", servers)
		require.NoError(t, err)
		require.LessOrEqual(t, time.Since(start), slotTTL+time.Second)
	})
}

// contentNotDecidedBy returns a content whose slot is decided by another instance.
func contentNotDecidedBy(q *Quarantine) Fingerprint {
	for i := 0; ; i++ {
		fp := FingerprintOf(fmt.Append(nil, i))
		if q.arbiter(contentKey(fp)) != q.bus.Self() {
			return fp
		}
	}
}

// Complete answers clear, on all instances, a content that was in flight at a crash
// but did not cause it.
func TestCompleteAnswersClearSuspect(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		crashOnce(f.instances[0], "s1", innocent)
		for i := range exoneratingSuccesses {
			require.True(t, f.instances[1].Check(innocent).Suspect)
			attempt := fmt.Sprint(i)
			f.instances[1].Begin("s2", "p1", innocent, attempt)
			f.instances[1].End(attempt, true)
		}
		require.Equal(t, Verdict{}, f.instances[0].Check(innocent))
		crashOnce(f.instances[0], "s3", innocent)
		require.False(t, f.instances[1].Check(innocent).Quarantined, "a cleared crash no longer counts")
	})
}

func TestRecordsAreBoundedAndExpire(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		q := New(Options{Bus: membus.New().Join("entry-0", "a")})
		crashOnce(q, "s1", culprit)
		crashOnce(q, "s2", culprit)
		for i := range maxRecords + 10 {
			q.mu.Lock()
			q.mergeRecord(FingerprintOf(fmt.Append(nil, i)), []Crash{{Server: "s3"}}, nil, time.Now())
			q.mu.Unlock()
		}
		require.LessOrEqual(t, len(q.records.byContent), maxRecords)
		require.True(t, q.Check(culprit).Quarantined, "quarantined contents are not evicted")
		time.Sleep(quarantineTTL - time.Minute)
		require.True(t, q.Check(culprit).Quarantined, "a refused attempt extends the quarantine")
		time.Sleep(2 * time.Minute)
		require.Len(t, q.List(), 1)
		time.Sleep(quarantineTTL)
		require.Empty(t, q.List())
	})
}

func FuzzDecodeSlot(f *testing.F) {
	f.Add([]byte{0xa3, 0x01, 0x01, 0x02, 0x61, 0x6b, 0x03, 0x61, 0x61})
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = decodeSlot(body)
		_, _ = decodeSuspects(body)
	})
}

// TestStoredContentsAreLoadedOnceTheTableIsBack guards against contents that crash servers and are forgotten because the table was
// away when all instances started: they would crash two servers more.
func TestStoredContentsAreLoadedOnceTheTableIsBack(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		crashOnce(f.instances[0], "s1", culprit)
		crashOnce(f.instances[1], "s2", culprit)
		synctest.Wait()
		restarted := &testFleet{network: membus.New(), table: f.table}
		table := f.table.(*memtable.Table)
		table.SetFaults(memtable.Faults{Down: true})
		for range 2 {
			restarted.add(t)
		}
		time.Sleep(2 * syncInterval)
		table.SetFaults(memtable.Faults{})
		time.Sleep(2 * loadRetry)
		for _, q := range restarted.instances {
			require.True(t, q.Check(culprit).Quarantined)
		}
	})
}
