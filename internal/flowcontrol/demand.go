package flowcontrol

import (
	"cmp"
	"maps"
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
	// minWindow is the least window of an entry in a pool.
	minWindow = 1
)

// AccountDemand is the demand of one client account at one entry.
type AccountDemand struct {
	Account settings.AccountID `cbor:"1,keyasint"`
	Weight  float64            `cbor:"2,keyasint"`
	// Requests is the most requests that were in flight and waiting at once.
	Requests int `cbor:"3,keyasint"`
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
		accounts := p.queue.Demand()
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

// Demand returns each account's demand since the last call, the highest first.
func (q *Queue) Demand() []AccountDemand {
	var list []AccountDemand
	for _, f := range q.flows {
		if f.peak > 0 {
			list = append(list, AccountDemand{Account: f.account, Weight: f.weight, Requests: f.peak})
		}
		f.peak = f.inFlight + len(f.waiting)
	}
	slices.SortFunc(list, func(a, b AccountDemand) int {
		return cmp.Or(b.Requests-a.Requests, strings.Compare(string(a.Account), string(b.Account)))
	})
	return list[:min(len(list), maxDemandAccounts)]
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

// Window returns an entry's window in a pool of a capacity in requests: of each
// account's fair part of the pool, the part that its demand at the entry is of
// its demand everywhere. What no account demands is split evenly.
func (s *Shares) Window(now time.Time, entry, pool string, capacity float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := make(map[settings.AccountID]float64)
	total := make(map[settings.AccountID]AccountDemand)
	entries := 0
	for id, h := range s.heard {
		if now.Sub(h.at) > demandLife {
			continue
		}
		entries++
		for _, a := range h.demand.accounts(pool) {
			sum := total[a.Account]
			sum.Account, sum.Weight, sum.Requests = a.Account, a.Weight, sum.Requests+a.Requests
			total[a.Account] = sum
			if id == entry {
				own[a.Account] = float64(a.Requests)
			}
		}
	}
	return max(minWindow, splitWindow(capacity, own, total, max(1, entries)))
}

func (d Demand) accounts(pool string) []AccountDemand {
	for _, p := range d.Pools {
		if p.Pool == pool {
			return p.Accounts
		}
	}
	return nil
}

// splitWindow adds up the entry's parts of the accounts' fair parts.
func splitWindow(capacity float64, own map[settings.AccountID]float64, total map[settings.AccountID]AccountDemand, entries int) float64 {
	parts, rest := fairParts(capacity, total)
	window := rest / float64(entries)
	for account, requests := range own {
		window += parts[account] * requests / float64(total[account].Requests)
	}
	return window
}

// fairParts splits a capacity by weighted max-min fairness: no account gets
// more than it demands, and what is left goes to those that demand more.
func fairParts(capacity float64, total map[settings.AccountID]AccountDemand) (parts map[settings.AccountID]float64, rest float64) {
	order := slices.SortedFunc(maps.Values(total), func(a, b AccountDemand) int {
		return cmp.Or(
			cmp.Compare(float64(a.Requests)/a.weight(), float64(b.Requests)/b.weight()),
			strings.Compare(string(a.Account), string(b.Account)),
		)
	})
	weights := 0.0
	for _, a := range order {
		weights += a.weight()
	}
	parts = make(map[settings.AccountID]float64, len(order))
	rest = capacity
	for _, a := range order {
		part := min(float64(a.Requests), rest*a.weight()/weights)
		parts[a.Account] = part
		rest -= part
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
