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
	// maxKeys bounds the keys that a Learner stores; the least recently used key is
	// evicted first.
	maxKeys = 16_384
	// evidenceHalfLife is the time after which evidence has half its weight.
	evidenceHalfLife = 12 * time.Hour
	// maxWeight bounds the evidence of one key, in ratings.
	maxWeight = 1_000
	// priorWeight is the weight, in ratings, of the parent key's estimate.
	priorWeight = 8
	// uniformWeight is the weight, in ratings, of the top level's uniform prior.
	uniformWeight = 2
)

// Key identifies what a pass probability is learned for.
type Key struct {
	// Account is a client account; "team/" is the whole team, and the empty id
	// is all accounts of the fleet.
	Account settings.AccountID
	Task    string
	Version settings.VersionRef
}

// parent returns the key whose pass probability is the prior of this key.
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

// record is the evidence of one key, as of the time at.
type record struct {
	counts
	at    time.Time
	drift drift
}

// Learner estimates pass probabilities from ratings. It is safe for concurrent use.
type Learner struct {
	mu      sync.Mutex
	records *lru.Cache[Key, *record]
	// unsent is the evidence of this instance that has not been sent to peers.
	unsent map[Key]counts
	// sent is the sequence number of the last message to peers.
	sent uint64
	// received is the last sequence number received from each sender.
	received *lru.Cache[string, uint64]
}

// NewLearner returns a Learner without evidence.
func NewLearner() *Learner {
	// New fails only for a size below one.
	records, _ := lru.New[Key, *record](maxKeys)
	received, _ := lru.New[string, uint64](maxSenders)
	return &Learner{records: records, unsent: make(map[Key]counts), received: received}
}

// Observe records one rating of an answer and queues it for peers.
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

// add records evidence for a key and all its parents.
func (l *Learner) add(now time.Time, key Key, c counts) {
	for ok := true; ok; key, ok = key.parent() {
		l.findOrAdd(now, key).add(c)
	}
}

// findOrAdd returns the record of a key, decayed to now, and adds a missing one.
func (l *Learner) findOrAdd(now time.Time, key Key) *record {
	have, ok := l.records.Get(key)
	if !ok {
		have = &record{at: now}
		l.records.Add(key, have)
	}
	have.decay(now)
	return have
}

func (r *record) decay(now time.Time) {
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return
	}
	r.scale(math.Exp2(-elapsed.Hours() / evidenceHalfLife.Hours()))
	r.at = now
}

func (r *record) scale(factor float64) {
	r.pass *= factor
	r.total *= factor
}

func (r *record) add(more counts) {
	if more.total == 0 {
		return
	}
	r.pass += more.pass
	r.total += more.total
	r.limit(maxWeight)
	if r.drift.add(more, r.mean()) {
		r.limit(weightAfterDrift)
	}
}

func (r *record) limit(weight float64) {
	if r.total > weight {
		r.scale(weight / r.total)
	}
}

// Estimate returns the estimate for a key. The evidence of the team and of the fleet is
// a weak prior: it determines the estimate of an account without evidence and is soon
// outweighed by the account's own evidence.
func (l *Learner) Estimate(now time.Time, key Key) Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.posterior(now, key)
	lower, upper := own.interval()
	return Estimate{Mean: own.mean(), Lower: lower, Upper: upper, Weight: own.total}
}

func (l *Learner) posterior(now time.Time, key Key) counts {
	own := l.evidence(now, key)
	parent, ok := key.parent()
	if !ok {
		return own.withPrior(0.5, uniformWeight)
	}
	return own.withPrior(l.posterior(now, parent).mean(), priorWeight)
}

// evidence returns the evidence of a key, decayed to now, without adding a
// missing key.
func (l *Learner) evidence(now time.Time, key Key) counts {
	if have, ok := l.records.Get(key); ok {
		have.decay(now)
		return have.counts
	}
	return counts{}
}
