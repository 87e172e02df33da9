package cascade

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// targetMargin is how far above the target the ledger aims to keep the answers.
	targetMargin = 0.01
	// maxCredit bounds the credit from judged answers, so that shortfalls stay
	// close in time to the answers that compensate for them.
	maxCredit = 1
)

// ledgerKey identifies one balance of the ledger.
type ledgerKey struct {
	account settings.AccountID
	task    string
}

// ledger holds, for each client account and task, a credit: by how much the
// answers served so far exceed the target. Accepted judged answers add to the
// credit; unjudged answers of versions below the target reduce it.
type ledger struct {
	mu      sync.Mutex
	credits *lru.Cache[ledgerKey, float64]
}

func newLedger() *ledger {
	// New fails only for a size below one.
	credits, _ := lru.New[ledgerKey, float64](maxKeys)
	return &ledger{credits: credits}
}

// allowance returns how far below the target an unjudged answer may be.
func (l *ledger) allowance(key ledgerKey) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	credit, _ := l.credits.Get(key)
	return max(0, credit-targetMargin)
}

// accepted records a judged answer that was accepted.
func (l *ledger) accepted(key ledgerKey, target float64) {
	l.change(key, max(0, 1-target-targetMargin))
}

// served records an unjudged answer whose pass probability is below the target by
// shortfall.
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
