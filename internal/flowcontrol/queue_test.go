package flowcontrol

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/settings"
)

var start = time.Unix(1_000, 0)

func offer(t *testing.T, q *Queue, account settings.AccountID, weight float64, cost int64) *Item {
	t.Helper()
	item := &Item{Ticket: Ticket{Account: account, Weight: weight, Cost: cost}}
	require.NoError(t, q.Offer(start, item))
	return item
}

// serve starts and finishes requests one at a time, calls refill after each to queue
// another for its account, and returns the tokens served per account.
func serve(t *testing.T, q *Queue, requests int, refill func(settings.AccountID) *Item, actual func(*Item) int64) map[settings.AccountID]int64 {
	t.Helper()
	tokens := make(map[settings.AccountID]int64)
	for range requests {
		item := q.Next(start)
		require.NotNil(t, item)
		tokens[item.Account] += actual(item)
		q.Finish(start, item, actual(item))
		refill(item.Account)
	}
	return tokens
}

func TestQueueSharesByCost(t *testing.T) {
	type account struct {
		weight float64
		cost   int64
		// actual is the number of tokens that a request really uses.
		actual int64
	}
	testCases := []struct {
		desc string
		a, b account
		// want is the ratio of the tokens of a to those of b.
		want float64
	}{
		{desc: "equal accounts", a: account{1, 100, 100}, b: account{1, 100, 100}, want: 1},
		{desc: "large requests count by their cost", a: account{1, 1_000, 1_000}, b: account{1, 100, 100}, want: 1},
		{desc: "weights", a: account{3, 100, 100}, b: account{1, 100, 100}, want: 3},
		{desc: "too low estimates are corrected", a: account{1, 10, 100}, b: account{1, 100, 100}, want: 1},
	}
	for _, test := range testCases {
		t.Run(test.desc, func(t *testing.T) {
			q := NewQueue(1)
			accounts := map[settings.AccountID]account{"t/a": test.a, "t/b": test.b}
			refill := func(id settings.AccountID) *Item {
				return offer(t, q, id, accounts[id].weight, accounts[id].cost)
			}
			for range 20 {
				refill("t/a")
				refill("t/b")
			}
			got := serve(t, q, 2_000, refill, func(i *Item) int64 { return accounts[i.Account].actual })
			assert.InEpsilon(t, test.want, float64(got["t/a"])/float64(got["t/b"]), 0.05)
		})
	}
}

func TestQueueReservesSlotsForAccountsBelowTheirShare(t *testing.T) {
	const window = 32
	q := NewQueue(window)
	offer(t, q, "t/small", 1, 10)
	q.Finish(start, q.Next(start), 10)
	for range 200 {
		offer(t, q, "t/large", 1, 1_000)
	}
	for q.Next(start) != nil {
	}
	assert.Equal(t, 29, q.InFlight(), "a part of the window is reserved")

	offer(t, q, "t/small", 1, 10)
	item := q.Next(start)
	require.NotNil(t, item, "the small account need not wait for a request to end")
	assert.Equal(t, settings.AccountID("t/small"), item.Account)
	assert.Equal(t, PriorityHigh, item.Priority)
}

func TestQueueReservesNothingForASingleAccount(t *testing.T) {
	q := NewQueue(32)
	for range 100 {
		offer(t, q, "t/large", 1, 1_000)
	}
	for q.Next(start) != nil {
	}
	assert.Equal(t, 32, q.InFlight())
}

func TestQueueReservesSlotsForARecentAccount(t *testing.T) {
	q := NewQueue(32)
	offer(t, q, "t/small", 1, 10)
	q.Finish(start, q.Next(start), 10)
	later := start.Add(time.Minute)
	for range 100 {
		require.NoError(t, q.Offer(later, &Item{Ticket: Ticket{Account: "t/large", Cost: 1_000}}))
	}
	for q.Next(later) != nil {
	}
	assert.Less(t, q.InFlight(), 32)
}

func TestQueueReserveIsOpenToAccountsNotFurthestBehind(t *testing.T) {
	q := NewQueue(32)
	offer(t, q, "t/small", 1, 50_000)
	require.NotNil(t, q.Next(start))
	for range 200 {
		offer(t, q, "t/large", 1, 1_000)
	}
	for q.Next(start) != nil {
	}
	offer(t, q, "t/small", 1, 10)
	require.NotNil(t, q.Next(start), "it may use the reserved slot although the large account is further behind")
}

func TestQueueDemand(t *testing.T) {
	q := NewQueue(0)
	now := start
	var items []*Item
	step := func(waiting int) float64 {
		for len(items) < waiting {
			items = append(items, offer(t, q, "t/a", 1, 1))
		}
		for len(items) > waiting {
			require.True(t, q.Remove(items[len(items)-1]))
			items = items[:len(items)-1]
		}
		now = now.Add(2 * time.Second)
		q.Demand(now)
		now = now.Add(2 * time.Second)
		if list := q.Demand(now); len(list) > 0 {
			return list[0].Requests
		}
		return 0
	}

	assert.Equal(t, 4.0, step(2), "few requests count as four")
	assert.Equal(t, 4.0, step(3), "a small change is not reported")
	assert.InDelta(t, 200, step(200), 90, "a jump is reported immediately")
	assert.Less(t, step(1), 5.0, "so is a drop")
	for range 100 {
		step(0)
	}
	assert.Zero(t, step(0))
}

func TestQueueLimitsWaitingRequestsPerAccount(t *testing.T) {
	q := NewQueue(0)
	for range maxWaiting {
		offer(t, q, "t/large", 1, 1)
	}
	err := q.Offer(start, &Item{Ticket: Ticket{Account: "t/large"}})
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, QueueFull, refused.Reason)
	assert.GreaterOrEqual(t, refused.RetryAfter, minRetryAfter)
	offer(t, q, "t/small", 1, 1)
}

func TestQueueRemovesIdleAccounts(t *testing.T) {
	q := NewQueue(1)
	now := start
	for i := range 3 * maxFlows {
		now = now.Add(activePeriod)
		item := &Item{Ticket: Ticket{Account: settings.AccountID(fmt.Sprint("t/", i))}}
		require.NoError(t, q.Offer(now, item))
		q.Finish(now, q.Next(now), 1)
	}
	assert.LessOrEqual(t, len(q.flows), maxFlows)
}

func TestShares(t *testing.T) {
	demandOf := func(accounts ...AccountDemand) Demand {
		return Demand{Pools: []PoolDemand{{Pool: "p", Accounts: accounts}}}
	}
	flood := AccountDemand{Account: "t/large", Weight: 1, Requests: 1_000}
	few := AccountDemand{Account: "t/small", Weight: 1, Requests: 4}

	testCases := []struct {
		desc    string
		demands map[string]Demand
		// want is the window of instance "a" of a pool with a capacity of 100.
		want float64
	}{
		{desc: "alone", demands: map[string]Demand{"a": demandOf(few)}, want: 100},
		{desc: "idle instances share evenly", demands: map[string]Demand{"a": {}, "b": {}}, want: 50},
		{desc: "a small account gets its demand despite a flood at another instance", demands: map[string]Demand{"a": demandOf(few), "b": demandOf(flood)}, want: 4},
		{desc: "the flood gets the rest", demands: map[string]Demand{"a": demandOf(flood), "b": demandOf(few)}, want: 96},
		{desc: "one account's demand is split by instance", demands: map[string]Demand{"a": demandOf(flood), "b": demandOf(flood)}, want: 50},
		{desc: "never less than one", demands: map[string]Demand{"a": {}, "b": demandOf(flood)}, want: 1},
	}
	for _, test := range testCases {
		t.Run(test.desc, func(t *testing.T) {
			shares := NewShares()
			for instance, d := range test.demands {
				shares.Record(start, instance, d)
			}
			assert.InDelta(t, test.want, shares.Share(start, "a", "p", 100).Window, 0.01)
		})
	}

	t.Run("an instance that stops reporting loses its share", func(t *testing.T) {
		shares := NewShares()
		shares.Record(start, "b", demandOf(flood))
		later := start.Add(demandTTL + time.Second)
		shares.Record(later, "a", demandOf(few))
		assert.InDelta(t, 100, shares.Share(later, "a", "p", 100).Window, 0.01)
	})
}

func TestQueueToleratesRoundingErrorsInTheWindow(t *testing.T) {
	q := NewQueue(3 - 1e-12)
	for range 5 {
		offer(t, q, "t/a", 1, 1)
	}
	for q.Next(start) != nil {
	}
	assert.Equal(t, 3, q.InFlight())
}

func TestChanges(t *testing.T) {
	of := func(requests float64) Demand {
		return Demand{Pools: []PoolDemand{{Pool: "p", Accounts: []AccountDemand{{Account: "t/a", Requests: requests}}}}}
	}
	testCases := []struct {
		desc   string
		after  time.Duration
		demand Demand
		want   bool
	}{
		{desc: "no demand", demand: Demand{}, want: false},
		{desc: "a first demand", demand: of(4), want: true},
		{desc: "the same soon after", after: time.Second, demand: of(4), want: false},
		{desc: "a change", after: time.Second, demand: of(8), want: true},
		{desc: "the same after the rebroadcast interval", after: rebroadcastInterval, demand: of(8), want: true},
		{desc: "its end", after: time.Second, demand: Demand{}, want: true},
	}
	var changes Changes
	now := start
	for _, test := range testCases {
		now = now.Add(test.after)
		assert.Equal(t, test.want, changes.ShouldSend(now, test.demand), test.desc)
	}
	assert.Less(t, 2*rebroadcastInterval, demandTTL, "one lost message must not let the demand expire")
}
