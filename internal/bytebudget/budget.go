// Package bytebudget bounds the bytes that an instance buffers for all of its requests together.
// Limits for each request don't: a faulty server may answer all of its requests without end.
package bytebudget

import (
	"sync"

	"github.com/pkg/errors"
)

// Evicted accounts keep their bytes until they are closed. overshoot is the factor by which the
// charged bytes may meanwhile exceed the limit for the owner with the most bytes, maxOvershoot
// that for all others.
const (
	overshoot    = 1.25
	maxOvershoot = 2.0
)

// ErrExceeded means that the bytes of an account are needed for others.
var ErrExceeded = errors.New("the memory for the bytes of requests in progress is used up")

// Budget is a number of bytes that accounts share. Once it is used up, the largest open account
// of the owner with the most bytes is evicted: an owner that uses much harms itself first. It
// is safe for concurrent use.
type Budget struct {
	limit int64

	mu sync.Mutex
	// used are the charged bytes, evicted those of accounts that were evicted and are not closed.
	used, evicted int64
	owners        map[string]*owner
}

// owner is whoever the bytes are buffered for, or come from.
type owner struct {
	// open are the bytes of accounts that may be evicted, all those of all accounts that may or
	// were.
	open, all int64
	accounts  map[*Account]struct{}
	// references is the number of accounts that are not closed.
	references int
}

// Account is the charge of one request. A nil *Account charges nothing. Its methods may be
// called by one goroutine at a time.
type Account struct {
	budget *Budget
	owner  string
	bytes  int64
	evict  func()
	// isSettled and isEvicted are set once it can't be evicted any more.
	isSettled, isEvicted, isClosed bool
}

// New returns a Budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, owners: make(map[string]*owner)} }

// Used returns the charged bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open returns an account without bytes; nil for a nil *Budget. evict is called at most once, never after Settle or Close, if
// its bytes are needed; it must end the reading without waiting, and must not use the budget.
func (b *Budget) Open(name string, evict func()) *Account {
	if b == nil {
		return nil
	}
	a := &Account{budget: b, owner: name, evict: evict}
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.owners[name]
	if o == nil {
		o = &owner{accounts: make(map[*Account]struct{})}
		b.owners[name] = o
	}
	o.accounts[a] = struct{}{}
	o.references++
	return a
}

// Resize sets the number of bytes. It returns ErrExceeded if the account was, or is now, evicted.
func (a *Account) Resize(bytes int64) error {
	if a == nil {
		return nil
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.isEvicted {
		return ErrExceeded
	}
	before := a.bytes
	b.charge(a, bytes-before)
	for b.used-b.evicted > b.limit {
		victim := b.victim()
		if victim == nil || victim == a {
			break
		}
		b.end(victim)
	}
	if a.isSettled || b.used-b.evicted <= b.limit && float64(b.used) <= b.overshoot(a)*float64(b.limit) {
		return nil
	}
	// The bytes are not allocated.
	b.charge(a, before-bytes)
	b.end(a)
	return ErrExceeded
}

// overshoot returns the factor by which the charged bytes may exceed the limit for an account. The caller
// holds the lock.
func (b *Budget) overshoot(a *Account) float64 {
	own := b.owners[a.owner]
	for _, o := range b.owners {
		if o.all > own.all {
			return maxOvershoot
		}
	}
	return overshoot
}

// charge adds bytes to an account. The caller holds the lock.
func (b *Budget) charge(a *Account, bytes int64) {
	a.bytes += bytes
	b.used += bytes
	if !a.isSettled {
		b.owners[a.owner].open += bytes
		b.owners[a.owner].all += bytes
	}
}

// victim returns the largest open account of the owner with the most bytes; nil for none. The
// caller holds the lock.
func (b *Budget) victim() *Account {
	var most *owner
	for _, o := range b.owners {
		if len(o.accounts) > 0 && (most == nil || o.open > most.open) {
			most = o
		}
	}
	if most == nil {
		return nil
	}
	var largest *Account
	for a := range most.accounts {
		if largest == nil || a.bytes > largest.bytes {
			largest = a
		}
	}
	return largest
}

// end evicts an account. The caller holds the lock, so that the account is not closed, and what it
// reads from is not used for anything else, before evict has returned.
func (b *Budget) end(a *Account) {
	b.leave(a)
	a.isEvicted = true
	b.evicted += a.bytes
	a.evict()
}

// leave removes an account from those that may be evicted. The caller holds the lock.
func (b *Budget) leave(a *Account) {
	o := b.owners[a.owner]
	if _, isOpen := o.accounts[a]; isOpen {
		o.open -= a.bytes
		delete(o.accounts, a)
	}
}

// Settle makes the bytes stay until Close: they are complete and are only passed on.
func (a *Account) Settle() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.isEvicted || a.isSettled {
		return
	}
	a.budget.leave(a)
	a.budget.owners[a.owner].all -= a.bytes
	a.isSettled = true
}

// IsEvicted reports whether the account was evicted.
func (a *Account) IsEvicted() bool {
	if a == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.isEvicted
}

// Bytes returns the number of bytes.
func (a *Account) Bytes() int64 {
	if a == nil {
		return 0
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.bytes
}

// Close returns the bytes to the budget and reports whether the account was evicted.
func (a *Account) Close() (wasEvicted bool) {
	if a == nil {
		return false
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.isClosed {
		return a.isEvicted
	}
	b.leave(a)
	o := b.owners[a.owner]
	if !a.isSettled {
		o.all -= a.bytes
	}
	if a.isEvicted {
		b.evicted -= a.bytes
	}
	b.used -= a.bytes
	a.isClosed = true
	if o.references--; o.references == 0 {
		delete(b.owners, a.owner)
	}
	return a.isEvicted
}
