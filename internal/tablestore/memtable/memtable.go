// Package memtable is an in-memory table service with fault injection. The
// simulated platform serves it over HTTP, and tests use it directly.
package memtable

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/wait"
)

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	// Down fails every call without applying it.
	Down bool `json:"down"`
	// LoseAnswers applies writes but loses the response, so their outcome is unknown.
	LoseAnswers bool `json:"lose_answers"`
	// DropWrites does not apply writes and returns an unknown outcome.
	DropWrites bool `json:"drop_writes"`
	// Delay is added to every call. In JSON it is in nanoseconds.
	Delay time.Duration `json:"delay"`
}

// Counts holds the number of calls to a Table.
type Counts struct {
	Commits int `json:"commits"`
	Reads   int `json:"reads"`
}

// Table is a tablestore.Table in memory, safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	rows     map[string]tablestore.Row
	revision uint64
	faults   Faults
	counts   Counts
	// onCommit, if set, runs after each applied commit, before Commit returns.
	onCommit func(tablestore.Txn)
}

var _ tablestore.Table = (*Table)(nil)

// New makes an empty table.
func New() *Table { return &Table{rows: make(map[string]tablestore.Row)} }

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// OnCommit sets a hook that runs after each applied commit, before Commit returns.
func (t *Table) OnCommit(hook func(tablestore.Txn)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onCommit = hook
}

// Counts returns the number of calls so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Commit applies the transaction, subject to the injected faults.
func (t *Table) Commit(ctx context.Context, txn tablestore.Txn) tablestore.Result {
	if err := t.delay(ctx); err != nil {
		return tablestore.Result{Outcome: tablestore.OutcomeUnknown}
	}
	result, hook := t.commit(txn)
	if hook != nil {
		hook(txn)
	}
	return result
}

func (t *Table) commit(txn tablestore.Txn) (tablestore.Result, func(tablestore.Txn)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Commits++
	switch {
	case t.faults.Down:
		return tablestore.Result{Outcome: tablestore.OutcomeNotApplied}, nil
	case t.faults.DropWrites:
		return tablestore.Result{Outcome: tablestore.OutcomeUnknown}, nil
	}
	result := t.apply(txn)
	var hook func(tablestore.Txn)
	if result.Outcome == tablestore.OutcomeCommitted {
		hook = t.onCommit
	}
	if t.faults.LoseAnswers {
		result = tablestore.Result{Outcome: tablestore.OutcomeUnknown}
	}
	return result, hook
}

func (t *Table) apply(txn tablestore.Txn) tablestore.Result {
	var conflicts []tablestore.Row
	for _, c := range txn.Conditions {
		if row := t.rows[c.Key]; row.Revision != c.Revision {
			row.Key = c.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return tablestore.Result{Outcome: tablestore.OutcomeConflict, Conflicts: conflicts}
	}
	t.revision++
	for _, m := range txn.Mutations {
		if m.Delete {
			delete(t.rows, m.Key)
			continue
		}
		t.rows[m.Key] = tablestore.Row{Key: m.Key, Value: m.Value, Revision: t.revision}
	}
	return tablestore.Result{Outcome: tablestore.OutcomeCommitted, Revision: t.revision}
}

// Get reads rows by key.
func (t *Table) Get(ctx context.Context, keys ...string) ([]tablestore.Row, error) {
	if err := t.read(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []tablestore.Row
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan reads rows by prefix in key order.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]tablestore.Row, error) {
	if err := t.read(ctx); err != nil {
		return nil, err
	}
	rows := t.sorted(prefix, after)
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// Rows returns the rows with a prefix in key order. Injected faults do not
// affect it, and it is not counted as a read.
func (t *Table) Rows(prefix string) []tablestore.Row { return t.sorted(prefix, "") }

func (t *Table) sorted(prefix, after string) []tablestore.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []tablestore.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// read counts a read and fails it while the table is down.
func (t *Table) read(ctx context.Context) error {
	if err := t.delay(ctx); err != nil {
		return errors.Wrap(tablestore.ErrUnavailable, err.Error())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	if t.faults.Down {
		return tablestore.ErrUnavailable
	}
	return nil
}

// delay sleeps for the configured delay, or until the context ends.
func (t *Table) delay(ctx context.Context) error {
	t.mu.Lock()
	delay := t.faults.Delay
	t.mu.Unlock()
	return wait.For(ctx, delay)
}
