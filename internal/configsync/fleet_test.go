package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tablestore"
	"github.com/basilrail/basilrail/internal/tablestore/memtable"
)

// partitionableTable is a table that one instance can be disconnected from.
type partitionableTable struct {
	tablestore.Table
	partitioned atomic.Bool
	// freeze is how long the instance pauses before it sends a commit.
	freeze time.Duration
}

func (r *partitionableTable) Commit(ctx context.Context, txn tablestore.Txn) tablestore.Result {
	if r.partitioned.Load() {
		return tablestore.Result{Outcome: tablestore.OutcomeNotApplied}
	}
	if r.freeze > 0 {
		time.Sleep(r.freeze)
		ctx = context.WithoutCancel(ctx)
	}
	return r.Table.Commit(ctx, txn)
}

func (r *partitionableTable) Get(ctx context.Context, keys ...string) ([]tablestore.Row, error) {
	if r.partitioned.Load() {
		return nil, tablestore.ErrUnavailable
	}
	return r.Table.Get(ctx, keys...)
}

func (r *partitionableTable) Scan(ctx context.Context, prefix, after string, limit int) ([]tablestore.Row, error) {
	if r.partitioned.Load() {
		return nil, tablestore.ErrUnavailable
	}
	return r.Table.Scan(ctx, prefix, after, limit)
}

type instance struct {
	*Syncer
	table *partitionableTable
	stop  context.CancelFunc
	// revisions are the revisions that took effect, in order.
	revisions []uint64
}

// fleet is a set of instances that share one table and one network in a synctest
// bubble.
type fleet struct {
	table     *memtable.Table
	network   *membus.Network
	instances []*instance
	changes   int
}

func newFleet(size int) *fleet {
	f := &fleet{table: memtable.New(), network: membus.New()}
	for range size {
		f.join()
	}
	return f
}

// join starts one more instance.
func (f *fleet) join() *instance {
	n := f.start(len(f.instances))
	f.instances = append(f.instances, n)
	return n
}

// start runs an instance, which replaces an earlier one of the same index if any.
func (f *fleet) start(index int) *instance {
	n := &instance{table: &partitionableTable{Table: f.table}}
	n.Syncer = New(Options{
		Table:    n.table,
		Bus:      f.network.Join(instanceID(index), fmt.Sprintf("hall-%d", index%3)),
		Rand:     rand.New(rand.NewPCG(1, uint64(index))),
		OnChange: func(s *settings.Snapshot) { n.revisions = append(n.revisions, s.Revision) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.Run(ctx)
	return n
}

func instanceID(index int) string { return fmt.Sprintf("entry-%d", index) }

// setPartitioned disconnects an instance from its peers and from the store, or
// reconnects it.
func (f *fleet) setPartitioned(index int, partitioned bool) {
	f.network.SetPartitioned(instanceID(index), partitioned)
	f.instances[index].table.partitioned.Store(partitioned)
}

func (f *fleet) stop() {
	for _, n := range f.instances {
		n.stop()
	}
	synctest.Wait()
}

func (f *fleet) change(docs ...settings.Document) settings.Change {
	f.changes++
	return settings.Change{ID: fmt.Sprintf("change-%d", f.changes), Author: "op", Documents: docs}
}

// setUp commits the first settings and waits until they are in effect on all
// instances.
func (f *fleet) setUp(t testing.TB) {
	t.Helper()
	result, err := f.instances[0].Apply(context.Background(), f.change(baseDocs()...))
	require.NoError(t, err)
	require.Equal(t, uint64(1), result.Revision)
	f.waitFor(t, 1, f.instances...)
}

// waitFor waits up to a minute until the instances have reached a revision.
func (f *fleet) waitFor(t testing.TB, revision uint64, instances ...*instance) time.Duration {
	t.Helper()
	start := time.Now()
	for _, n := range instances {
		for n.Snapshot().Revision < revision {
			require.Less(t, time.Since(start), time.Minute, "revision %d did not take effect", revision)
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(start)
}

func baseDocs() []settings.Document {
	return []settings.Document{
		{Path: "/fleet", Body: []byte("region: r\nfailure_domains: [hall-0]\ntoken_keys: [{id: k1}]\noperators:\n" +
			"- {name: op, key_sha256: " + settings.HashKey("op") + ", role: editor, subtree: /}\n")},
		modelDoc("m", 0, 0),
		modelDoc("n", 0, 0),
	}
}

// modelDoc returns a model document; its cost distinguishes one body from another.
func modelDoc(name string, cost int, readAt uint64) settings.Document {
	return settings.Document{
		Path:     settings.ModelPath(name),
		Body:     fmt.Appendf(nil, "versions:\n  v1:\n    input_cost: %d\n", cost),
		Revision: readAt,
	}
}

// inBubble runs a test with a fleet in a synctest bubble.
func inBubble(t *testing.T, size int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	bubble.Test(t, func(t *testing.T) {
		f := newFleet(size)
		defer f.stop()
		f.setUp(t)
		test(t, f)
	})
}
