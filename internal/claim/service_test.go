package claim

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/tablestore/groupcommit"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

var (
	testKey  = Key{Account: "shop", RequestKey: "booking 7"}
	testBody = [32]byte{1}
)

// faultyTable injects faults into its calls, drawn from its seeded random source.
type faultyTable struct {
	*memtable.Table
	mu      sync.Mutex
	rand    *rand.Rand
	healthy bool
}

// draw returns a random number below n, or n once faults have stopped.
func (c *faultyTable) draw(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.healthy {
		return n
	}
	return c.rand.IntN(n)
}

func (c *faultyTable) stopFaults() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.healthy = true
}

func (c *faultyTable) Commit(ctx context.Context, txn tablestore.Txn) tablestore.Result {
	switch c.draw(8) {
	case 0:
		return tablestore.Result{Outcome: tablestore.OutcomeNotApplied}
	case 1:
		return tablestore.Result{}
	case 2:
		c.Table.Commit(ctx, txn)
		return tablestore.Result{}
	case 3:
		// The write takes effect after its sender stopped waiting.
		time.AfterFunc(time.Duration(1+c.draw(4000))*time.Millisecond, func() {
			c.Table.Commit(context.Background(), txn)
		})
		return tablestore.Result{}
	default:
		return c.Table.Commit(ctx, txn)
	}
}

func (c *faultyTable) Get(ctx context.Context, keys ...string) ([]tablestore.Row, error) {
	if c.draw(4) == 0 {
		return nil, tablestore.ErrUnavailable
	}
	return c.Table.Get(ctx, keys...)
}

func newService(ctx context.Context, table tablestore.Table) *Service {
	committer := groupcommit.New(table, func() float64 { return 50 })
	go committer.Run(ctx)
	s := New(committer, table, nil)
	go s.Run(ctx)
	return s
}

const (
	raceSeeds     = 300
	raceInstances = 3
	raceAttempts  = 12
	// firstSeedVariable sets the first seed, for runs with other seeds.
	firstSeedVariable = "BASILRAIL_TEST_FIRST_SEED"
)

// TestOneSendUnderStoreFaults checks that at most one request is sent when instances
// race for a key while calls of the store fail at random and owners freeze or release.
func TestOneSendUnderStoreFaults(t *testing.T) {
	first, _ := strconv.ParseUint(os.Getenv(firstSeedVariable), 10, 64)
	for seed := first; seed < first+raceSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) { newRace(t, seed).run() })
		})
	}
}

// keyRace is a race of requests for one key.
type keyRace struct {
	t         *testing.T
	table     *faultyTable
	random    *rand.Rand
	instances []*Service
	history   *history

	mu   sync.Mutex
	sent []string
}

func newRace(t *testing.T, seed uint64) *keyRace {
	return &keyRace{
		t:       t,
		table:   &faultyTable{Table: memtable.New(), rand: rand.New(rand.NewPCG(seed, 1))},
		random:  rand.New(rand.NewPCG(seed, 2)),
		history: &history{strayRows: make(map[string]bool)},
	}
}

func (r *keyRace) run() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range raceInstances {
		r.instances = append(r.instances, newService(ctx, r.table))
	}
	var attempts sync.WaitGroup
	for i := range raceAttempts {
		pause := time.Duration(r.random.IntN(3)) * time.Second
		act := r.random.IntN(4)
		attempts.Go(func() { r.attempt(ctx, r.instances[i%raceInstances], fmt.Sprint(i), pause, act) })
	}
	attempts.Wait()
	require.LessOrEqual(r.t, len(r.sent), 1, "sent by %v", r.sent)
	r.table.stopFaults()
	time.Sleep(2 * abandonedWatchTime)
	r.requireSettled(r.acquire(ctx, r.instances[0], "last"))
	r.history.requireLinearizable(r.t)
}

func (r *keyRace) acquire(ctx context.Context, s *Service, id string) Result {
	start := time.Now()
	result := s.Acquire(ctx, testKey, testBody, id)
	r.history.add(operation{acquire, id}, start, observed{result.Status, result.OwnerRequestID}, false)
	return result
}

// attempt is one request. If it becomes the owner, it releases the claim (act 0),
// freezes after sending (act 1) or completes (other values).
func (r *keyRace) attempt(ctx context.Context, s *Service, id string, pause time.Duration, act int) {
	time.Sleep(pause)
	result := r.acquire(ctx, s, id)
	if result.Status == Completed {
		require.Equal(r.t, result.OwnerRequestID, string(result.Outcome.Body))
	}
	if result.Status != Owned {
		return
	}
	if act == 0 {
		start := time.Now()
		err := s.Release(ctx, testKey, id)
		r.history.add(operation{release, id}, start, observed{}, err != nil)
		return
	}
	r.mu.Lock()
	r.sent = append(r.sent, id)
	r.mu.Unlock()
	if act > 1 {
		time.Sleep(pause)
		start := time.Now()
		err := s.Complete(ctx, testKey, id, Outcome{Status: 200, Body: []byte(id)})
		r.history.add(operation{complete, id}, start, observed{}, err != nil)
	}
}

// requireSettled checks the key after the faults have stopped: it is free if no request
// was sent, and owned by the sender otherwise.
func (r *keyRace) requireSettled(last Result) {
	if len(r.sent) == 0 {
		require.Equal(r.t, Owned, last.Status, "a key without a sent request is free again")
		return
	}
	require.Contains(r.t, []Status{Pending, Completed}, last.Status)
	require.Equal(r.t, r.sent[0], last.OwnerRequestID)
}

func TestConcurrentAcquireHasOneOwner(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		table := memtable.New()
		instances := []*Service{newService(ctx, table), newService(ctx, table)}
		counts := make(map[Status]int)
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				result := instances[i%2].Acquire(ctx, testKey, testBody, fmt.Sprint(i))
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
			bubble.Test(t, func(t *testing.T) {
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

func TestStoreOutageReturnsUnavailableImmediately(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
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

func TestLostAnswerIsResolvedByRead(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		table := memtable.New()
		table.SetFaults(memtable.Faults{LoseAnswers: true})
		s := newService(ctx, table)
		require.Equal(t, Owned, s.Acquire(ctx, testKey, testBody, "r1").Status)
		require.Equal(t, Pending, s.Acquire(ctx, testKey, testBody, "r1").Status, "the same request id gets the claim only once")
	})
}

func TestDelayedOutcomeIsRecordedAndFlushedOnClose(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
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
