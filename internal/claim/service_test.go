package claim

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/platform"
	"github.com/basilrail/basilrail/internal/platform/groupcommit"
	"github.com/basilrail/basilrail/internal/platform/memtable"
)

var (
	testKey  = Key{Account: "shop", RequestKey: "booking 7"}
	testBody = [32]byte{1}
)

// chaosTable gives each call a random fate from its seed.
type chaosTable struct {
	*memtable.Table
	mu      sync.Mutex
	rand    *rand.Rand
	healthy bool
}

func (c *chaosTable) fate(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.healthy {
		return n
	}
	return c.rand.IntN(n)
}

func (c *chaosTable) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healthy = true
}

func (c *chaosTable) Commit(ctx context.Context, txn platform.Txn) platform.Result {
	switch c.fate(8) {
	case 0:
		return platform.Result{Outcome: platform.OutcomeNotApplied}
	case 1:
		return platform.Result{}
	case 2:
		c.Table.Commit(ctx, txn)
		return platform.Result{}
	case 3:
		// The write lands late, after its sender gave up waiting.
		time.AfterFunc(time.Duration(1+c.fate(4000))*time.Millisecond, func() {
			c.Table.Commit(context.Background(), txn)
		})
		return platform.Result{}
	default:
		return c.Table.Commit(ctx, txn)
	}
}

func (c *chaosTable) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if c.fate(4) == 0 {
		return nil, platform.ErrUnavailable
	}
	return c.Table.Get(ctx, keys...)
}

func newService(ctx context.Context, table platform.Table) *Service {
	commits := groupcommit.New(table, func() float64 { return 50 })
	go commits.Run(ctx)
	s := New(commits, table, nil)
	go s.Run(ctx)
	return s
}

// TestOneSendWhateverTheStoreDoes lets three entries race for one key while
// each call to the store has a random fate and owners freeze or give back.
func TestOneSendWhateverTheStoreDoes(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { race(t, seed) })
		})
	}
}

func race(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := &chaosTable{Table: memtable.New(), rand: rand.New(rand.NewPCG(seed, 1))}
	random := rand.New(rand.NewPCG(seed, 2))
	entries := []*Service{newService(ctx, table), newService(ctx, table), newService(ctx, table)}
	var mu sync.Mutex
	var sent []string
	attempt := func(s *Service, id string, pause time.Duration, act int) {
		time.Sleep(pause)
		result := s.Acquire(ctx, testKey, testBody, id)
		if result.Status == Completed {
			require.Equal(t, result.OwnerRequestID, string(result.Outcome.Body))
		}
		if result.Status != Owned {
			return
		}
		if act == 0 {
			_ = s.Release(ctx, testKey, id)
			return
		}
		mu.Lock()
		sent = append(sent, id)
		mu.Unlock()
		if act > 1 {
			time.Sleep(pause)
			_ = s.Complete(ctx, testKey, id, Outcome{Status: 200, Body: []byte(id)})
		}
	}
	var attempts sync.WaitGroup
	for i := range 12 {
		pause := time.Duration(random.IntN(3)) * time.Second
		act := random.IntN(4)
		attempts.Go(func() { attempt(entries[i%3], fmt.Sprint(i), pause, act) })
	}
	attempts.Wait()
	require.LessOrEqual(t, len(sent), 1, "sent by %v", sent)

	table.heal()
	time.Sleep(2 * abandonFor)
	result := entries[0].Acquire(ctx, testKey, testBody, "last")
	if len(sent) == 0 {
		require.Equal(t, Owned, result.Status, "a key that nobody sent is free again")
		return
	}
	require.Contains(t, []Status{Pending, Completed}, result.Status)
	require.Equal(t, sent[0], result.OwnerRequestID)
}

func TestSameInstantHasOneOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		table := memtable.New()
		entries := []*Service{newService(ctx, table), newService(ctx, table)}
		counts := make(map[Status]int)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				result := entries[i%2].Acquire(ctx, testKey, testBody, fmt.Sprint(i))
				mu.Lock()
				defer mu.Unlock()
				counts[result.Status]++
			})
		}
		wg.Wait()
		require.Equal(t, map[Status]int{Owned: 1, Pending: 9}, counts)
	})
}

func TestRepeatedKey(t *testing.T) {
	large := bytes.Repeat([]byte("x"), MaxOutcomeBytes+1)
	tests := []struct {
		desc        string
		outcome     *Outcome
		fingerprint [32]byte
		want        Status
		omitted     bool
	}{
		{desc: "owner frozen", fingerprint: testBody, want: Pending},
		{desc: "other body while pending", fingerprint: [32]byte{2}, want: Mismatch},
		{desc: "completed", outcome: &Outcome{Status: 201, Body: []byte("ok")}, fingerprint: testBody, want: Completed},
		{desc: "other body after completion", outcome: &Outcome{Status: 201}, fingerprint: [32]byte{2}, want: Mismatch},
		{desc: "answer too large", outcome: &Outcome{Status: 200, Body: large}, fingerprint: testBody, want: Completed, omitted: true},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				table := memtable.New()
				first, second := newService(ctx, table), newService(ctx, table)
				require.Equal(t, Owned, first.Acquire(ctx, testKey, testBody, "r1").Status)
				if test.outcome != nil {
					require.NoError(t, first.Complete(ctx, testKey, "r1", *test.outcome))
				}
				got := second.Acquire(ctx, testKey, test.fingerprint, "r2")
				require.Equal(t, test.want, got.Status)
				require.Equal(t, "r1", got.OwnerRequestID)
				if test.want == Completed {
					require.Equal(t, test.outcome.Status, got.Outcome.Status)
					require.Equal(t, test.omitted, got.Outcome.BodyOmitted())
				}
			})
		})
	}
}

func TestStoreDownIsUnavailableAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		table := memtable.New()
		table.SetFaults(memtable.Faults{Down: true})
		s := newService(ctx, table)
		start := time.Now()
		require.Equal(t, Unavailable, s.Acquire(ctx, testKey, testBody, "r1").Status)
		require.Zero(t, time.Since(start))
		table.SetFaults(memtable.Faults{})
		time.Sleep(time.Second)
		require.Equal(t, Owned, s.Acquire(ctx, testKey, testBody, "r2").Status)
	})
}

func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		table := memtable.New()
		table.SetFaults(memtable.Faults{LoseAnswers: true})
		s := newService(ctx, table)
		require.Equal(t, Owned, s.Acquire(ctx, testKey, testBody, "r1").Status)
		require.Equal(t, Pending, s.Acquire(ctx, testKey, testBody, "r1").Status, "the same request id does not own twice")
	})
}

func TestDelayedOutcomeIsRecordedAndFlushedOnClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		table := memtable.New()
		s := newService(ctx, table)
		require.Equal(t, Owned, s.Acquire(ctx, testKey, testBody, "r1").Status)
		table.SetFaults(memtable.Faults{Down: true})
		require.ErrorIs(t, s.Complete(ctx, testKey, "r1", Outcome{Status: 200}), ErrDelayed)
		short, stop := context.WithTimeout(ctx, 3*time.Second)
		require.Equal(t, 1, s.Close(short))
		stop()
		table.SetFaults(memtable.Faults{})
		require.Zero(t, s.Close(ctx))
		require.Equal(t, Completed, s.Acquire(ctx, testKey, testBody, "r2").Status)
		require.ErrorIs(t, s.Complete(ctx, testKey, "r1", Outcome{}), ErrNotOwner)
	})
}
