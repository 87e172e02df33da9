package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/platform/memtable"
)

// The budgets of the whole fleet's and of one instance's control traffic.
const (
	storeReadsPerSecond   = 2000
	controlBytesPerSecond = 7000
)

// sparseBus connects an instance to a few neighbours only, and counts the bytes
// that it sends.
type sparseBus struct {
	peers.Bus
	listed []peers.Peer
	sent   *atomic.Int64
}

func (b *sparseBus) Peers() []peers.Peer { return b.listed }

func (b *sparseBus) Request(ctx context.Context, peer string, kind peers.Kind, body, reply any) error {
	request, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	b.sent.Add(int64(len(request)))
	if err := b.Bus.Request(ctx, peer, kind, body, reply); err != nil || reply == nil {
		return err
	}
	answer, err := cbor.Marshal(reply)
	b.sent.Add(int64(len(answer)))
	return err
}

// neighbours connects each instance to degree others, by random rings, so that
// the graph is connected.
func neighbours(size, degree int, rng *rand.Rand) [][]int {
	next := make([][]int, size)
	connect := func(a, b int) {
		if a != b && !slices.Contains(next[a], b) {
			next[a] = append(next[a], b)
			next[b] = append(next[b], a)
		}
	}
	for range (degree + 1) / 2 {
		ring := rng.Perm(size)
		for i, a := range ring {
			connect(a, ring[(i+1)%size])
		}
	}
	return next
}

// scaled runs instances that each know all, but are connected to few.
func scaled(size, degree int, table *memtable.Table, sent *atomic.Int64) (nodes []*Syncer, stop context.CancelFunc) {
	network := membus.New()
	rng := rand.New(rand.NewPCG(7, uint64(size)))
	next := neighbours(size, degree, rng)
	ctx, stop := context.WithCancel(context.Background())
	for i := range size {
		bus := &sparseBus{Bus: network.Join(nodeID(i), "h"), sent: sent}
		for j := range size {
			if j != i {
				bus.listed = append(bus.listed, peers.Peer{ID: nodeID(j), Connected: slices.Contains(next[i], j)})
			}
		}
		nodes = append(nodes, New(Options{Table: table, Bus: bus, Rand: rand.New(rand.NewPCG(1, uint64(i)))}))
	}
	for _, n := range nodes {
		go n.Run(ctx)
	}
	return nodes, stop
}

func fleetSizes(t *testing.T) []int {
	sizes := []int{9, 120}
	if extra := os.Getenv("BASILRAIL_FLEET_SIZE"); extra != "" {
		size, err := strconv.Atoi(extra)
		require.NoError(t, err)
		sizes = append(sizes, size)
	}
	return sizes
}

// TestFleetKeepsItsBudgets runs a fleet of connected instances for a minute with
// a change every three seconds, at the rate of 27,000 a day.
func TestFleetKeepsItsBudgets(t *testing.T) {
	const changes = 20
	for _, size := range fleetSizes(t) {
		t.Run(fmt.Sprintf("instances=%d", size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := memtable.New()
				var sent atomic.Int64
				nodes, stop := scaled(size, 8, table, &sent)
				defer synctest.Wait()
				defer stop()
				f := &fleet{table: table}
				_, err := nodes[0].Apply(background, f.change(baseDocs()...))
				require.NoError(t, err)
				time.Sleep(30 * time.Second)

				start, reads, bytes := time.Now(), table.Counts().Reads, sent.Load()
				var slowest, oldest time.Duration
				refused := 0
				for i := range changes {
					result, err := nodes[i%size].Apply(background, f.change(modelDoc("m", i+1, nodes[i%size].Snapshot().Revision)))
					require.NoError(t, err)
					slowest = max(slowest, untilInForce(nodes, result.Revision))
					for time.Since(start) < time.Duration(i+1)*3*time.Second {
						time.Sleep(500 * time.Millisecond)
						for _, n := range nodes {
							oldest = max(oldest, n.Age())
							if n.Age() > FreshFor {
								refused++
							}
						}
					}
				}
				seconds := time.Since(start).Seconds()
				readRate := float64(table.Counts().Reads-reads) / seconds
				byteRate := float64(sent.Load()-bytes) / seconds / float64(size)
				t.Logf("in force everywhere within %v; oldest settings %v; store reads %.1f/s; %.0f bytes/s sent an instance", slowest, oldest, readRate, byteRate)
				assert.LessOrEqual(t, slowest, inForceWithin)
				assert.Zero(t, refused, "instances that could not vouch")
				assert.Less(t, readRate, float64(storeReadsPerSecond)/4, "three quarters of the store's reads are for others")
				assert.Less(t, byteRate, float64(controlBytesPerSecond)/4, "three quarters of the control traffic are for others")
			})
		})
	}
}

// untilInForce waits until every instance has a revision, for a minute at most.
func untilInForce(nodes []*Syncer, revision uint64) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		lagging := func(n *Syncer) bool { return n.Snapshot().Revision < revision }
		if !slices.ContainsFunc(nodes, lagging) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}
