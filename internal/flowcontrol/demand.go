package flowcontrol

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// demandTTL is the time after which a demand that was not reported again
	// expires.
	demandTTL = 10 * time.Second
	// maxDemandAccounts is the maximum number of client accounts reported per pool.
	maxDemandAccounts = 32
	// demandSmoothingTime is the time constant with which demand is smoothed.
	demandSmoothingTime = 20 * time.Second
	// demandReportPeriod is how long after its last request a client account's
	// demand is still reported.
	demandReportPeriod = 2 * time.Minute
	// demandJumpFactor is the factor by which a new value must differ to be
	// adopted without smoothing.
	demandJumpFactor = 4
	// minDemand is the demand, in requests, below which an idle account's demand
	// is no longer reported. minReportedDemand is the lowest value that is
	// reported, because the demand of so few requests varies too much.
	minDemand         = 0.05
	minReportedDemand = 4
	// minWindow is the minimum window of an instance in a pool, in requests.
	minWindow = 1
)

// AccountDemand is the demand of one client account at one instance.
type AccountDemand struct {
	Account settings.AccountID `cbor:"1,keyasint"`
	// Weight is the account's weight; zero means the default of 1.
	Weight float64 `cbor:"2,keyasint,omitempty"`
	// Requests is the smoothed number of requests in flight and waiting, rounded
	// up to coarse steps.
	Requests float64 `cbor:"3,keyasint"`
}

// PoolDemand is the demand on one pool at one instance.
type PoolDemand struct {
	Pool     string          `cbor:"1,keyasint"`
	Accounts []AccountDemand `cbor:"2,keyasint"`
}

// Demand is the message in which an instance reports its demand to its peers.
type Demand struct {
	Pools []PoolDemand `cbor:"1,keyasint"`
}

// Demand returns the demand on all pools, updated with the requests since the
// last call.
func (c *Controller) Demand() Demand {
	var d Demand
	for _, name := range c.poolNames() {
		p := c.pool(name)
		p.mu.Lock()
		accounts := p.queue.Demand(time.Now())
		p.mu.Unlock()
		if len(accounts) > 0 {
			d.Pools = append(d.Pools, PoolDemand{Pool: name, Accounts: accounts})
		}
	}
	return d
}

func (c *Controller) poolNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.pools))
}

// Demand returns the demand of each account, the highest first, updated with the
// peak number of requests since the last call.
func (q *Queue) Demand(now time.Time) []AccountDemand {
	elapsed := min(demandSmoothingTime, now.Sub(q.demandAt))
	q.demandAt = now
	var list []AccountDemand
	for _, f := range q.flows {
		f.smoothDemand(now, elapsed)
		if f.demand > 0 {
			list = append(list, AccountDemand{Account: f.account, Weight: f.reportedWeight(), Requests: f.demand})
		}
	}
	slices.SortFunc(list, func(a, b AccountDemand) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), strings.Compare(string(a.Account), string(b.Account)))
	})
	return list[:min(len(list), maxDemandAccounts)]
}

func (f *flow) reportedWeight() float64 {
	if f.weight == 1 {
		return 0
	}
	return f.weight
}

// smoothDemand updates the account's demand. It adopts a jump immediately and
// smooths other changes. The reported demand changes only in coarse steps, because
// each change of the shares moves slots between instances while the requests that
// occupy them are still running.
func (f *flow) smoothDemand(now time.Time, elapsed time.Duration) {
	peak := float64(f.peak)
	f.peak = f.inFlight + len(f.waiting)
	if peak > demandJumpFactor*(f.smoothed+1) || peak < f.smoothed/demandJumpFactor-1 {
		f.smoothed = peak
	}
	gain := elapsed.Seconds() / (elapsed + demandSmoothingTime).Seconds()
	f.smoothed += gain * (peak - f.smoothed)
	switch {
	case f.smoothed < minDemand && now.Sub(f.lastActive) > demandReportPeriod:
		f.demand = 0
	case f.smoothed < minDemand:
	case f.smoothed > f.demand || f.smoothed < f.demand/demandJumpFactor:
		f.demand = max(minReportedDemand, stepAbove(f.smoothed))
	}
}

// stepAbove returns the lowest power of the square root of two that is not below
// the demand.
func stepAbove(demand float64) float64 {
	return math.Exp2(math.Ceil(2*math.Log2(demand)) / 2)
}

// Shares splits each pool among the instances by the demand of their accounts. It
// is safe for concurrent use.
type Shares struct {
	mu      sync.Mutex
	reports map[string]demandReport
}

type demandReport struct {
	at     time.Time
	demand Demand
}

// NewShares returns Shares without any demand.
func NewShares() *Shares { return &Shares{reports: make(map[string]demandReport)} }

// Record records the demand of an instance, which may be this instance.
func (s *Shares) Record(now time.Time, instance string, d Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[instance] = demandReport{at: now, demand: d}
	maps.DeleteFunc(s.reports, func(_ string, r demandReport) bool { return now.Sub(r.at) > demandTTL })
}

// Share is an instance's share of a pool.
type Share struct {
	// Window is the number of requests that the instance may have in flight.
	Window float64
	// From and To bound the instance's slice of every server's capacity, as
	// fractions from 0 to 1. The slices of all instances adjoin without overlap.
	From float64
	To   float64
}

// Share returns an instance's share of a pool with the given capacity, in requests.
// Each account's fair allocation is split among the instances in proportion to the
// account's demand at each of them. Capacity for which there is no demand is split
// evenly.
func (s *Shares) Share(now time.Time, instance, pool string, capacity float64) Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	demands := s.demandsOn(now, pool)
	if _, ok := demands[instance]; !ok {
		demands[instance] = nil
	}
	allocations, rest := maxMinAllocations(capacity, sumByAccount(demands))
	var share Share
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(demands)) {
		window := max(minWindow, rest/float64(len(demands))+windowOf(demands[id], allocations))
		if id == instance {
			share = Share{Window: window, From: sum, To: sum + window}
		}
		sum += window
	}
	share.From /= sum
	share.To /= sum
	return share
}

// Window returns the Window of an instance's Share.
func (s *Shares) Window(now time.Time, instance, pool string, capacity float64) float64 {
	return s.Share(now, instance, pool, capacity).Window
}

// demandsOn returns the demand on a pool by instance.
func (s *Shares) demandsOn(now time.Time, pool string) map[string][]AccountDemand {
	demands := make(map[string][]AccountDemand, len(s.reports))
	for id, r := range s.reports {
		if now.Sub(r.at) <= demandTTL {
			demands[id] = r.demand.accounts(pool)
		}
	}
	return demands
}

func (d Demand) accounts(pool string) []AccountDemand {
	for _, p := range d.Pools {
		if p.Pool == pool {
			return p.Accounts
		}
	}
	return nil
}

func sumByAccount(demands map[string][]AccountDemand) map[settings.AccountID]AccountDemand {
	total := make(map[settings.AccountID]AccountDemand)
	for _, accounts := range demands {
		for _, a := range accounts {
			a.Requests += total[a.Account].Requests
			total[a.Account] = a
		}
	}
	return total
}

// allocation is an account's fair share of a pool and its demand at all instances,
// in requests.
type allocation struct {
	capacity float64
	demand   float64
}

// windowOf returns the sum of an instance's portions of the accounts' allocations.
func windowOf(accounts []AccountDemand, allocations map[settings.AccountID]allocation) float64 {
	window := 0.0
	for _, a := range accounts {
		p := allocations[a.Account]
		window += p.capacity * a.Requests / p.demand
	}
	return window
}

// maxMinAllocations splits a capacity among the accounts by weighted max-min
// fairness: no account gets more than it demands, and the capacity left over goes to
// those that demand more. It also returns the capacity for which there is no demand.
func maxMinAllocations(capacity float64, total map[settings.AccountID]AccountDemand) (allocations map[settings.AccountID]allocation, rest float64) {
	order := slices.SortedFunc(maps.Values(total), func(a, b AccountDemand) int {
		return cmp.Or(
			cmp.Compare(a.Requests/a.weight(), b.Requests/b.weight()),
			strings.Compare(string(a.Account), string(b.Account)),
		)
	})
	weights := 0.0
	for _, a := range order {
		weights += a.weight()
	}
	allocations = make(map[settings.AccountID]allocation, len(order))
	rest = capacity
	for _, a := range order {
		demand := a.Requests
		fair := min(demand, rest*a.weight()/weights)
		allocations[a.Account] = allocation{capacity: fair, demand: demand}
		rest -= fair
		weights -= a.weight()
	}
	return allocations, max(0, rest)
}

func (a AccountDemand) weight() float64 {
	if a.Weight <= 0 {
		return 1
	}
	return a.Weight
}

// MaxMin splits a capacity among accounts by weighted max-min fairness, in the unit of their demand. The accounts differ.
func MaxMin(capacity float64, accounts []AccountDemand) map[settings.AccountID]float64 {
	total := make(map[settings.AccountID]AccountDemand, len(accounts))
	for _, a := range accounts {
		total[a.Account] = a
	}
	allocations, _ := maxMinAllocations(capacity, total)
	fair := make(map[settings.AccountID]float64, len(allocations))
	for account, a := range allocations {
		fair[account] = a.capacity
	}
	return fair
}
