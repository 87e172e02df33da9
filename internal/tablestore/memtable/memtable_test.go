package memtable

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/tablestore"
)

func TestHookRunsOnlyAfterAnAppliedCommit(t *testing.T) {
	for name, faults := range map[string]Faults{"no fault": {}, "lost answers": {LoseAnswers: true}} {
		t.Run(name, func(t *testing.T) {
			table, calls := New(), 0
			table.OnCommit(func(tablestore.Txn) { calls++ })
			table.SetFaults(faults)
			put := tablestore.Txn{
				Conditions: []tablestore.Condition{{Key: "a"}},
				Mutations:  []tablestore.Mutation{{Key: "a", Value: []byte("1")}},
			}
			table.Commit(t.Context(), put)
			assert.Equal(t, 1, calls)
			table.Commit(t.Context(), put)
			assert.Equal(t, 1, calls, "the second commit conflicts")
		})
	}
}
