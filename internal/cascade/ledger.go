package cascade

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// targetMargin is how far above the target the ledger aims.
	targetMargin = 0.01
	// maxCredit bounds what judged answers can save up, so that shortfalls
	// stay close in time to the answers that make up for them.
	maxCredit = 1
)

// ledgerKey names an account of the ledger.
type ledgerKey struct {
	account settings.AccountID
	task    string
}

// ledger keeps, for each client account and task, by how much the answers
// served so far are better than the target. Judged answers that were accepted
// add to it and unjudged ones of versions below the target draw on it.
type ledger struct {
	mu      sync.Mutex
	credits *lru.Cache[ledgerKey, float64]
}

func newLedger() *ledger {
	// New fails only for a size below one.
	credits, _ := lru.New[ledgerKey, float64](maxKeys)
	return &ledger{credits: credits}
}

// allowance is what an answer may fall short of the target.
func (l *ledger) allowance(key ledgerKey) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	credit, _ := l.credits.Get(key)
	return max(0, credit-targetMargin)
}

// accepted counts a judged answer that was accepted.
func (l *ledger) accepted(key ledgerKey, target float64) {
	l.change(key, max(0, 1-target-targetMargin))
}

// served counts an unjudged answer that falls short of the target.
func (l *ledger) served(key ledgerKey, shortfall float64) {
	if shortfall > 0 {
		l.change(key, -shortfall-targetMargin)
	}
}

func (l *ledger) change(key ledgerKey, by float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	credit, _ := l.credits.Get(key)
	l.credits.Add(key, min(maxCredit, credit+by))
}
