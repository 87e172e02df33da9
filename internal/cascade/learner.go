package cascade

import (
	"math"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// maxKeys bounds the keys a Learner remembers; the least recently used goes first.
	maxKeys = 16_384
	// evidenceHalfLife is the time in which evidence loses half its weight.
	evidenceHalfLife = 12 * time.Hour
	// maxWeight bounds the ratings that one key counts.
	maxWeight = 1_000
	// priorWeight is how many ratings the level above stands for.
	priorWeight = 8
	// uniformWeight is how many ratings the prior of the top level stands for.
	uniformWeight = 2
)

// Key names what a pass chance is learned for.
type Key struct {
	// Account is a client account; "team/" stands for the whole team, and
	// the empty id for the fleet.
	Account settings.AccountID
	Task    string
	Version settings.VersionRef
}

// parent is the key whose chance is the prior of this one.
func (k Key) parent() (Key, bool) {
	team, name, _ := strings.Cut(string(k.Account), "/")
	switch {
	case team == "":
		return Key{}, false
	case name == "":
		k.Account = ""
	default:
		k.Account = settings.NewAccountID(team, "")
	}
	return k, true
}

// cell is the evidence of one key.
type cell struct {
	counts
	at    time.Time
	drift drift
}

// Learner learns pass chances from ratings. It is safe for concurrent use.
type Learner struct {
	mu    sync.Mutex
	cells *lru.Cache[Key, *cell]
	// unsent is the evidence of this entry that peers have not been told of.
	unsent map[Key]counts
	sent   uint64
	// heard is the last sequence number of each sender.
	heard *lru.Cache[string, uint64]
}

// NewLearner makes a Learner without evidence.
func NewLearner() *Learner {
	// New fails only for a size below one.
	cells, _ := lru.New[Key, *cell](maxKeys)
	heard, _ := lru.New[string, uint64](maxSenders)
	return &Learner{cells: cells, unsent: make(map[Key]counts), heard: heard}
}

// Observe counts one rating of an answer.
func (l *Learner) Observe(now time.Time, key Key, acceptable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := counts{total: 1}
	if acceptable {
		one.pass = 1
	}
	l.add(now, key, one)
	l.queue(key, one)
}

// add counts evidence for a key and the levels above it.
func (l *Learner) add(now time.Time, key Key, c counts) {
	for ok := true; ok; key, ok = key.parent() {
		l.cell(now, key).add(c)
	}
}

// cell returns a key's evidence, aged to now.
func (l *Learner) cell(now time.Time, key Key) *cell {
	have, ok := l.cells.Get(key)
	if !ok {
		have = &cell{at: now}
		l.cells.Add(key, have)
	}
	have.age(now)
	return have
}

func (c *cell) age(now time.Time) {
	elapsed := now.Sub(c.at)
	if elapsed <= 0 {
		return
	}
	c.scale(math.Exp2(-elapsed.Hours() / evidenceHalfLife.Hours()))
	c.at = now
}

func (c *cell) scale(factor float64) {
	c.pass *= factor
	c.total *= factor
}

func (c *cell) add(more counts) {
	if more.total == 0 {
		return
	}
	c.pass += more.pass
	c.total += more.total
	c.limit(maxWeight)
	if c.drift.add(more, c.mean()) {
		c.limit(weightAfterDrift)
	}
}

func (c *cell) limit(weight float64) {
	if c.total > weight {
		c.scale(weight / c.total)
	}
}

// Estimate returns what is known for a key. The evidence of the team and of
// the fleet counts as a weak prior, so that it guides an account that has
// none of its own and is soon outweighed by what the account has.
func (l *Learner) Estimate(now time.Time, key Key) Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.posterior(now, key)
	lower, upper := own.interval()
	return Estimate{Mean: own.mean(), Lower: lower, Upper: upper, Weight: own.total}
}

func (l *Learner) posterior(now time.Time, key Key) counts {
	own := l.known(now, key)
	parent, ok := key.parent()
	if !ok {
		return own.withPrior(0.5, uniformWeight)
	}
	return own.withPrior(l.posterior(now, parent).mean(), priorWeight)
}

// known returns the evidence of a key without remembering a new key.
func (l *Learner) known(now time.Time, key Key) counts {
	if have, ok := l.cells.Get(key); ok {
		have.age(now)
		return have.counts
	}
	return counts{}
}
