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
	// demandLife is how long a peer's demand counts.
	demandLife = 10 * time.Second
	// maxDemandAccounts bounds the client accounts told of in one pool.
	maxDemandAccounts = 32
	// demandTime is the time over which demand is smoothed.
	demandTime = 20 * time.Second
	// tellTime is how long after a request a client account's demand is told.
	tellTime = 2 * time.Minute
	// demandJump is the factor by which a new value must differ to count at once.
	demandJump = 4
	// minDemand is the demand, in requests, below which none is told, and
	// leastTold the least that is told: so few requests vary too much.
	minDemand = 0.05
	leastTold = 4
	// minWindow is the least window of an entry in a pool.
	minWindow = 1
)

// AccountDemand is the demand of one client account at one entry.
type AccountDemand struct {
	Account settings.AccountID `cbor:"1,keyasint"`
	// Weight is zero for the usual weight of 1.
	Weight float64 `cbor:"2,keyasint,omitempty"`
	// Requests is the smoothed number of requests in flight and waiting, in
	// coarse steps.
	Requests float64 `cbor:"3,keyasint"`
}

// PoolDemand is the demand on one pool at one entry.
type PoolDemand struct {
	Pool     string          `cbor:"1,keyasint"`
	Accounts []AccountDemand `cbor:"2,keyasint"`
}

// Demand is the message in which an entry tells its demand.
type Demand struct {
	Pools []PoolDemand `cbor:"1,keyasint"`
}

// Demand returns the demand since the last call.
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

// Demand returns each account's demand, the highest first, and takes the most
// requests since the last call into it.
func (q *Queue) Demand(now time.Time) []AccountDemand {
	elapsed := min(demandTime, now.Sub(q.demandAt))
	q.demandAt = now
	var list []AccountDemand
	for _, f := range q.flows {
		f.smoothDemand(now, elapsed)
		if f.demand > 0 {
			list = append(list, AccountDemand{Account: f.account, Weight: f.toldWeight(), Requests: f.demand})
		}
	}
	slices.SortFunc(list, func(a, b AccountDemand) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), strings.Compare(string(a.Account), string(b.Account)))
	})
	return list[:min(len(list), maxDemandAccounts)]
}

func (f *flow) toldWeight() float64 {
	if f.weight == 1 {
		return 0
	}
	return f.weight
}

// smoothDemand follows a jump of the demand at once and else smooths it, and
// tells it in coarse steps: each change of the shares moves places between
// entries while the requests that hold them still run.
func (f *flow) smoothDemand(now time.Time, elapsed time.Duration) {
	peak := float64(f.peak)
	f.peak = f.inFlight + len(f.waiting)
	if peak > demandJump*(f.smoothed+1) || peak < f.smoothed/demandJump-1 {
		f.smoothed = peak
	}
	gain := elapsed.Seconds() / (elapsed + demandTime).Seconds()
	f.smoothed += gain * (peak - f.smoothed)
	switch {
	case f.smoothed < minDemand && now.Sub(f.lastActive) > tellTime:
		f.demand = 0
	case f.smoothed < minDemand:
	case f.smoothed > f.demand || f.smoothed < f.demand/demandJump:
		f.demand = max(leastTold, stepAbove(f.smoothed))
	}
}

// stepAbove is the least power of the square root of two that is not below a demand.
func stepAbove(demand float64) float64 {
	return math.Exp2(math.Ceil(2*math.Log2(demand)) / 2)
}

// Shares splits each pool among the entries by their accounts' demand. It is
// safe for concurrent use.
type Shares struct {
	mu    sync.Mutex
	heard map[string]heardDemand
}

type heardDemand struct {
	at     time.Time
	demand Demand
}

// NewShares makes Shares that have heard of no entry.
func NewShares() *Shares { return &Shares{heard: make(map[string]heardDemand)} }

// Hear takes an entry's demand, this entry's own included.
func (s *Shares) Hear(now time.Time, entry string, d Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[entry] = heardDemand{at: now, demand: d}
	maps.DeleteFunc(s.heard, func(_ string, h heardDemand) bool { return now.Sub(h.at) > demandLife })
}

// Share is an entry's part of a pool.
type Share struct {
	// Window is the number of requests the entry may have in flight.
	Window float64
	// From and To bound the entry's part of every server's capacity, as
	// fractions from 0 to 1. The parts of the entries adjoin.
	From float64
	To   float64
}

// Share returns an entry's part of a pool of a capacity in requests: of each
// account's fair part of the pool, the part that its demand at the entry is of
// its demand everywhere. What no account demands is split evenly.
func (s *Shares) Share(now time.Time, entry, pool string, capacity float64) Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	demands := s.demandsOn(now, pool)
	if _, ok := demands[entry]; !ok {
		demands[entry] = nil
	}
	parts, rest := fairParts(capacity, sumByAccount(demands))
	var share Share
	sum := 0.0
	for _, id := range slices.Sorted(maps.Keys(demands)) {
		window := max(minWindow, rest/float64(len(demands))+windowOf(demands[id], parts))
		if id == entry {
			share = Share{Window: window, From: sum, To: sum + window}
		}
		sum += window
	}
	share.From /= sum
	share.To /= sum
	return share
}

// Window returns the Window of an entry's Share.
func (s *Shares) Window(now time.Time, entry, pool string, capacity float64) float64 {
	return s.Share(now, entry, pool, capacity).Window
}

// demandsOn returns each entry's demand on a pool.
func (s *Shares) demandsOn(now time.Time, pool string) map[string][]AccountDemand {
	demands := make(map[string][]AccountDemand, len(s.heard))
	for id, h := range s.heard {
		if now.Sub(h.at) <= demandLife {
			demands[id] = h.demand.accounts(pool)
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

// part is an account's fair part of a pool and its demand everywhere.
type part struct {
	capacity float64
	demand   float64
}

// windowOf adds up an entry's parts of the accounts' fair parts.
func windowOf(accounts []AccountDemand, parts map[settings.AccountID]part) float64 {
	window := 0.0
	for _, a := range accounts {
		p := parts[a.Account]
		window += p.capacity * a.Requests / p.demand
	}
	return window
}

// fairParts splits a capacity by weighted max-min fairness: no account gets
// more than it demands, and what is left goes to those that demand more.
func fairParts(capacity float64, total map[settings.AccountID]AccountDemand) (parts map[settings.AccountID]part, rest float64) {
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
	parts = make(map[settings.AccountID]part, len(order))
	rest = capacity
	for _, a := range order {
		demand := a.Requests
		fair := min(demand, rest*a.weight()/weights)
		parts[a.Account] = part{capacity: fair, demand: demand}
		rest -= fair
		weights -= a.weight()
	}
	return parts, max(0, rest)
}

func (a AccountDemand) weight() float64 {
	if a.Weight <= 0 {
		return 1
	}
	return a.Weight
}
