package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/billing"
	"github.com/basilrail/basilrail/internal/gateway"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/standin/engine"
	"github.com/basilrail/basilrail/internal/standin/platformserver"
)

// flushTime is long enough for peers to store the bills of a crashed instance.
const flushTime = time.Minute

func (f *fleet) storeDown(down bool) {
	faults := f.platform.Faults()
	faults.Table.Down = down
	f.platform.SetFaults(faults)
}

// reconcileBills reads all bills from the table service and checks that no two
// bills of one request differ.
func (f *fleet) reconcileBills() billing.Reconciliation {
	f.t.Helper()
	sum, err := billing.NewReader(f.platform.Table()).Reconcile(context.Background(), time.Time{}, time.Time{})
	require.NoError(f.t, err)
	assert.Empty(f.t, sum.Conflicts, "bills of one request that differ")
	return sum
}

// sumBills returns the number of bills and the sum of their totals.
func sumBills(r billing.Reconciliation) (count int, total settings.MicroUnits) {
	for _, account := range r.Accounts {
		count += account.Bills
		total += account.Total
	}
	return count, total
}

// sendChats sends count chats to instance n and returns the cost reported to the
// callers.
func (f *fleet) sendChats(n, count int) (cost settings.MicroUnits) {
	f.t.Helper()
	for i := range count {
		got := f.chat(n, shopA, "writer", fmt.Sprintf("wardrobe %d", i))
		require.Equal(f.t, http.StatusOK, got.status, string(got.body))
		micro, err := strconv.ParseInt(got.header.Get(gateway.HeaderCost), 10, 64)
		require.NoError(f.t, err)
		cost += settings.MicroUnits(micro)
	}
	return cost
}

func TestBillsSurviveInstanceCrash(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		cost := f.sendChats(0, 30)
		f.kill(0)
		time.Sleep(flushTime)
		count, total := sumBills(f.reconcileBills())
		assert.Equal(t, 30, count)
		assert.Equal(t, cost, total)
	})
}

// An instance crashes during a long store outage: chats are answered, requests
// that need a claim are refused, and afterwards every bill is stored exactly once.
func TestStoreOutageWithInstanceCrash(t *testing.T) {
	inFleet(t, 4, func(f *fleet) {
		f.storeDown(true)
		time.Sleep(settleTime)
		cost := f.sendChats(0, 10)
		booked := f.call(1, shopA, http.MethodPost, "/v1/services/booking/bookings", "{}", gateway.HeaderIdempotencyKey, "k1")
		require.NotNil(t, booked.refusal(), string(booked.body))
		assert.Equal(t, apierror.CodeStoreUnavailable, booked.refusal().Code)
		assert.Equal(t, apierror.NotRun, booked.refusal().Execution)
		assert.Positive(t, booked.refusal().RetryAfterSeconds)
		assert.Zero(t, f.executions())
		f.kill(0)
		time.Sleep(10 * time.Minute)
		cost += f.sendChats(1, 10)
		f.storeDown(false)
		time.Sleep(flushTime)
		count, total := sumBills(f.reconcileBills())
		assert.Equal(t, 20, count)
		assert.Equal(t, cost, total)
		repeated := f.call(2, shopA, http.MethodPost, "/v1/services/booking/bookings", "{}", gateway.HeaderIdempotencyKey, "k1")
		assert.Equal(t, http.StatusCreated, repeated.status, string(repeated.body))
	})
}

// The store applies writes of claims and bills but its answers are lost.
func TestLostStoreAnswers(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.platform.SetFaults(platformserver.Faults{Table: lostAnswerFaults()})
		var cost settings.MicroUnits
		for range 10 {
			cost += f.sendChats(0, 1)
			// Spread the chats out, so that several blocks of bills are stored in turn.
			time.Sleep(700 * time.Millisecond)
		}
		for n := range f.instances {
			got := f.call(n, shopA, http.MethodPost, "/v1/services/booking/bookings", "{}", gateway.HeaderIdempotencyKey, "k1")
			assert.Equal(t, http.StatusCreated, got.status, string(got.body))
		}
		assert.Equal(t, 1, f.executions())
		time.Sleep(flushTime)
		count, total := sumBills(f.reconcileBills())
		assert.Equal(t, 11, count, "ten chats and one booking")
		assert.Equal(t, cost+500, total)
	})
}

// An instance without a connection to the store or any peer cannot learn of a
// withdrawal, so it must refuse new requests.
func TestPartitionedInstanceRefusesRequests(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.instances[0].network.partition()
		time.Sleep(settleTime)
		f.apply(1, f.edit("/models/writer", "output_cost: 360", "output_cost: 360\n    withdrawn: true"))
		got := f.chat(0, shopA, "writer@v1", "oak wardrobe")
		require.NotNil(t, got.refusal(), string(got.body))
		assert.Equal(t, apierror.CodeSettingsStale, got.refusal().Code)
		assert.Equal(t, apierror.NotRun, got.refusal().Execution)
		assert.Positive(t, got.refusal().RetryAfterSeconds)
		f.instances[0].network.heal()
		time.Sleep(3 * settleTime)
		got = f.chat(0, shopA, "writer@v1", "oak wardrobe")
		require.NotNil(t, got.refusal(), string(got.body))
		assert.Equal(t, apierror.CodeVersionWithdrawn, got.refusal().Code)
	})
}

// A request in flight while its instance is partitioned from the store and the
// peers is answered, although its bill cannot be stored yet; it is stored later.
func TestAnswerIsNotBlockedByUnstoredBill(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.setFaults(engine.Faults{SlowMillis: 500})
		var got reply
		var calls sync.WaitGroup
		calls.Go(func() { got = f.chat(0, shopA, "writer", "oak wardrobe", gateway.HeaderDeadline, "60000") })
		time.Sleep(time.Second)
		f.instances[0].network.partition()
		answered := make(chan struct{})
		go func() {
			calls.Wait()
			close(answered)
		}()
		select {
		case <-answered:
		case <-time.After(time.Minute):
			assert.Fail(t, "no answer within a minute")
		}
		f.instances[0].network.heal()
		<-answered
		assert.Equal(t, http.StatusOK, got.status, string(got.body))
		time.Sleep(flushTime)
		count, _ := sumBills(f.reconcileBills())
		assert.Equal(t, 1, count)
	})
}

// A prompt that crashes every engine is sent repeatedly to every instance, among
// ordinary requests: it must crash at most two engines and then be quarantined.
func TestCrashingContentIsQuarantinedAfterTwoCrashes(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.setFaults(engine.Faults{CrashOn: "poison", SlowMillis: 50})
		var ordinary, crashing sync.WaitGroup
		for i := range 30 {
			ordinary.Go(func() {
				time.Sleep(time.Duration(i) * 200 * time.Millisecond)
				got := f.chat(i%3, "demo-ikoyi-depot", "tagger@v1", fmt.Sprintf("wardrobe %d", i), gateway.HeaderDeadline, "60000")
				assert.Equal(t, http.StatusOK, got.status, "ordinary request %d: %s", i, got.body)
			})
		}
		var last reply
		crashing.Go(func() {
			for i := range 12 {
				last = f.chat(i%3, shopA, "tagger@v1", "poison", gateway.HeaderDeadline, "20000")
				time.Sleep(time.Second)
			}
		})
		crashing.Wait()
		ordinary.Wait()
		time.Sleep(settleTime)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.LessOrEqual(t, f.crashes, 2)
		require.NotNil(t, last.refusal(), string(last.body))
		assert.Equal(t, apierror.CodeQuarantined, last.refusal().Code)
	})
}

// A new version gives bad answers during a store outage: every instance stops
// using it, and its withdrawal is stored when the store is available again.
func TestBadVersionIsSuspendedDuringStoreOutage(t *testing.T) {
	inFleet(t, 3, func(f *fleet) {
		f.apply(0, f.edit("/teams/ikoyi/rollouts/writer-v2", "stage: 0", "stage: 2"))
		f.setFaults(engine.Faults{BadRate: map[string]float64{"writer@v2": 0.9}})
		time.Sleep(settleTime)
		f.storeDown(true)
		for i := range 300 {
			f.chat(i%3, shopA, "writer", fmt.Sprintf("wardrobe %d", i))
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(settleTime)
		before := f.received()["writer@v2"]
		require.Positive(t, before)
		for i := range 60 {
			got := f.chat(i%3, shopA, "writer", fmt.Sprintf("chest %d", i))
			assert.Equal(t, "writer@v1", got.header.Get(gateway.HeaderVersion), string(got.body))
		}
		assert.Equal(t, before, f.received()["writer@v2"], "attempts on the suspended version")
		f.storeDown(false)
		time.Sleep(flushTime)
		rollout := f.instances[2].data.Snapshot().Settings.Tree.Rollouts["ikoyi"]["writer-v2"]
		assert.Equal(t, settings.RolloutWithdrawn, rollout.Status)
	})
}
