package serverpath

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/statechart"
)

// slowPeers open streams one after the other. What is given up has its turn all the same.
type slowPeers struct {
	cost time.Duration
	mu   sync.Mutex
	free time.Time
}

func (s *slowPeers) relay(ctx context.Context, _, _ string) (net.Conn, error) {
	s.mu.Lock()
	if now := time.Now(); s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(s.cost)
	done := time.Until(s.free)
	s.mu.Unlock()
	select {
	case <-time.After(done):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

// TestSlowPeersAreNotAskedInVain guards against instances that give streams up and ask for more of
// them the later their peers answer, until no stream is opened in time at all (RECOVER).
func TestSlowPeersAreNotAskedInVain(t *testing.T) {
	const (
		instances = 6
		perSecond = 30
		deadline  = 4 * time.Second
		load      = 20 * time.Second
		// possible is the share of the streams that can be opened, minShare the share of these
		// that the users' rule requires.
		possible = 2.0 / 3
		minShare = 2.0 / 3
	)
	bubble.Test(t, func(t *testing.T) {
		charts, err := statechart.Load()
		require.NoError(t, err)
		network := membus.New()
		for n := range 3 {
			network.Join(fmt.Sprint("relay", n), "z0")
		}
		peers := &slowPeers{cost: time.Duration(float64(time.Second) / perSecond / possible)}
		var list []*Paths
		for n := range instances {
			set := fleet.NewSet("z0", nil)
			set.Put(fleet.Registration{ID: "s0", Service: "models", Address: "s0", FailureDomain: "z0", Slots: 8})
			list = append(list, New(Options{
				Bus: network.Join(fmt.Sprint("cut", n), "z0"), Fleet: set, Chart: charts.Path, FailureDomain: "z0", Relay: peers.relay, Seed: uint64(n),
			}))
		}
		var served atomic.Int64
		var callers sync.WaitGroup
		sent := 0
		for began := time.Now(); time.Since(began) < load; sent++ {
			p := list[sent%instances]
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				server, _ := p.Fleet.Snapshot().Server("s0")
				if c, err := p.Relay(ctx, server); err == nil {
					_ = c.Close()
					served.Add(1)
				}
			})
			time.Sleep(time.Second / perSecond)
		}
		callers.Wait()
		t.Logf("%d of %d opened", served.Load(), sent)
		assert.GreaterOrEqual(t, float64(served.Load()), minShare*possible*float64(sent))
	})
}

// TestRequestWithoutATurnIsRefused guards against requests that are held until their deadline
// because too many streams are being opened.
func TestRequestWithoutATurnIsRefused(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		charts, err := statechart.Load()
		require.NoError(t, err)
		network := membus.New()
		network.Join("relay", "z0")
		set := fleet.NewSet("z0", nil)
		set.Put(fleet.Registration{ID: "s0", Service: "models", Address: "s0", FailureDomain: "z0", Slots: 8})
		peers := &slowPeers{cost: time.Millisecond}
		p := New(Options{Bus: network.Join("cut", "z0"), Fleet: set, Chart: charts.Path, FailureDomain: "z0", Relay: peers.relay})
		for range firstOpenings {
			require.NoError(t, p.openings.acquire(t.Context()))
		}
		server, _ := set.Snapshot().Server("s0")
		began := time.Now()
		_, err = p.Relay(t.Context(), server)
		require.ErrorIs(t, err, ErrNoRelay)
		assert.Equal(t, relayTimeout, time.Since(began))
	})
}

func TestOpeningsWaitForTheirTurn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		o := newOpenings()
		began := time.Now()
		for range firstOpenings {
			require.NoError(t, o.acquire(t.Context()))
		}
		ended, end := context.WithCancel(t.Context())
		end()
		require.ErrorIs(t, o.acquire(ended), context.Canceled)
		turns := make(chan error, 1)
		go func() { turns <- o.acquire(t.Context()) }()
		time.Sleep(time.Second)
		assert.Empty(t, turns, "as many are being opened as may be")
		o.release(began, false, false)
		require.NoError(t, <-turns)
		assert.Equal(t, firstOpenings, o.open)
		for range firstOpenings {
			o.release(began, true, false)
		}
		assert.Zero(t, o.open)
		assert.EqualValues(t, firstOpenings+1, o.limit, "it grows only while it is reached")
	})
}

func TestUnansweredOpeningsLowerTheBoundOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		o := newOpenings()
		began := time.Now()
		for range firstOpenings {
			require.NoError(t, o.acquire(t.Context()))
		}
		time.Sleep(relayTimeout)
		for range firstOpenings {
			o.release(began, false, true)
		}
		assert.EqualValues(t, firstOpenings/2, o.limit, "all of them met the same delay")
		for range 2 * firstOpenings {
			began := time.Now()
			require.NoError(t, o.acquire(t.Context()))
			time.Sleep(relayTimeout)
			o.release(began, false, true)
		}
		assert.EqualValues(t, minOpenings, o.limit)
	})
}

// TestRelayIsChosenWhenItsStreamIsOpened guards against streams that are opened, after a wait for
// their turn, at peers that have refused others meanwhile.
func TestRelayIsChosenWhenItsStreamIsOpened(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		charts, err := statechart.Load()
		require.NoError(t, err)
		network := membus.New()
		network.Join("early", "z0")
		network.Join("late", "z0")
		set := fleet.NewSet("z0", nil)
		set.Put(fleet.Registration{ID: "s0", Service: "models", Address: "s0", FailureDomain: "z0", Slots: 8})
		asked := make(chan string, 2)
		p := New(Options{
			Bus: network.Join("i0", "z0"), Fleet: set, Chart: charts.Path, FailureDomain: "z0",
			Relay: func(_ context.Context, peer, _ string) (net.Conn, error) {
				asked <- peer
				near, far := net.Pipe()
				_ = far.Close()
				return near, nil
			},
		})
		for range firstOpenings {
			require.NoError(t, p.openings.acquire(t.Context()))
		}
		p.relays.avoid("late", true)
		time.Sleep(avoidFor - relayTimeout/2)
		go func() {
			server, _ := set.Snapshot().Server("s0")
			if c, err := p.Relay(t.Context(), server); assert.NoError(t, err) {
				_ = c.Close()
			}
		}()
		time.Sleep(relayTimeout - time.Millisecond)
		p.relays.avoid("early", true)
		p.openings.release(time.Now(), true, false)
		assert.Equal(t, "late", <-asked)
	})
}
