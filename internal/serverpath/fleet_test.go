package serverpath

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/relay"
	"github.com/basilrail/basilrail/internal/statechart"
)

// contactTime is the users' contact_ms: from then on callers of instances that are cut off must
// be served like those of others.
const contactTime = 3 * time.Second

// The users' rule allows freeFailures, and one in freeRatio of all first attempts, to fail at
// instances that are cut off.
const (
	freeFailures = 10
	freeRatio    = 50
)

// testFleet is a fleet of instances before servers, in virtual time and without bytes.
type testFleet struct {
	t         *testing.T
	network   *membus.Network
	charts    *statechart.Set
	instances []*testInstance
	byName    map[string]*testInstance
	stop      context.CancelFunc

	mu sync.Mutex
	// carried is the number of open streams by relay, and most the highest number so far.
	carried, most map[string]int
	// downServers refuse all connections.
	downServers map[string]bool
}

type testInstance struct {
	fleet  *testFleet
	name   string
	domain string
	paths  *Paths
	// cut is set while the instance reaches no server, hangs if its connects hang instead of
	// being refused.
	cut, hangs bool
}

func newTestFleet(t *testing.T, size, domains int) *testFleet {
	charts, err := statechart.Load()
	require.NoError(t, err)
	f := &testFleet{
		t: t, network: membus.New(), charts: charts, byName: make(map[string]*testInstance),
		carried: make(map[string]int), most: make(map[string]int), downServers: make(map[string]bool),
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for n := range size {
		i := &testInstance{fleet: f, name: fmt.Sprint("i", n), domain: fmt.Sprint("z", n%domains)}
		set := fleet.NewSet(i.domain, nil)
		for s := range 4 * domains {
			id := fmt.Sprint("s", s)
			set.Put(fleet.Registration{ID: id, Service: "models", Address: id, FailureDomain: fmt.Sprint("z", s%domains), Slots: 8})
		}
		i.paths = New(Options{
			Bus: f.network.Join(i.name, i.domain), Fleet: set, Chart: charts.Path, Dial: i.dial, Relay: i.relay, FailureDomain: i.domain, Seed: uint64(n),
		})
		f.instances = append(f.instances, i)
		f.byName[i.name] = i
	}
	for _, i := range f.instances {
		go i.paths.Run(ctx)
	}
	return f
}

// end stops the instances and waits for what they still have in progress.
func (f *testFleet) end() {
	f.stop()
	time.Sleep(contactTime)
}

// dial connects to a server as the links of the instance allow.
func (i *testInstance) dial(ctx context.Context, _, address string) (net.Conn, error) {
	i.fleet.mu.Lock()
	cut, hangs, down := i.cut, i.hangs, i.fleet.downServers[address]
	i.fleet.mu.Unlock()
	switch {
	case cut && hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case cut, down:
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

// relay connects through a peer, as relay.Server does.
func (i *testInstance) relay(ctx context.Context, peer, server string) (net.Conn, error) {
	time.Sleep(5 * time.Millisecond)
	other := i.fleet.byName[peer]
	if !other.paths.IsDirect("models") {
		return nil, relay.ErrUnavailable
	}
	var c net.Conn
	err := other.paths.Direct(ctx, "models", func(ctx context.Context) (err error) {
		c, err = other.dial(ctx, "tcp", server)
		return err
	})
	if err != nil {
		return nil, relay.ErrUnavailable
	}
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	i.fleet.carried[peer]++
	i.fleet.most[peer] = max(i.fleet.most[peer], i.fleet.carried[peer])
	return &carriedConn{Conn: c, end: sync.OnceFunc(func() {
		i.fleet.mu.Lock()
		defer i.fleet.mu.Unlock()
		i.fleet.carried[peer]--
	})}, nil
}

type carriedConn struct {
	net.Conn
	end func()
}

func (c *carriedConn) Close() error {
	c.end()
	return c.Conn.Close()
}

// connect opens a connection to a random server as the platform's transport does, and reports
// whether it was relayed.
func (i *testInstance) connect(ctx context.Context) (c net.Conn, relayed bool, err error) {
	server := i.paths.sample("models")[0]
	if i.paths.IsDirect("models") {
		err = i.paths.Direct(ctx, "models", func(ctx context.Context) (err error) {
			c, err = i.dial(ctx, "tcp", server.Registration.Address)
			return err
		})
		if err == nil {
			return c, false, nil
		}
	}
	c, err = i.paths.Relay(ctx, server)
	return c, true, err
}

// set cuts instances off, or heals all links.
func (f *testFleet) set(isCut func(n int) bool, hangs bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, i := range f.instances {
		i.cut, i.hangs = isCut(n), hangs
	}
}

// result is what the requests of some instances got.
type result struct {
	sent, served, relayed int
	slowest               time.Duration
}

// load sends two requests a second to each instance for a time, each of which holds its
// connection for half a second. It returns the results at instances that are cut off and at
// others.
func (f *testFleet) load(d time.Duration) (cut, others result) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for n, i := range f.instances {
		all.Go(func() {
			time.Sleep(time.Duration(n%100) * 5 * time.Millisecond)
			for began := time.Now(); time.Since(began) < d; time.Sleep(500 * time.Millisecond) {
				i.paths.Sent("models")
				sentAt := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
				c, relayed, err := i.connect(ctx)
				cancel()
				took := time.Since(sentAt)
				if err == nil {
					i.paths.Received("models")
					time.AfterFunc(500*time.Millisecond, func() { _ = c.Close() })
				}
				i.paths.Ended("models")
				f.mu.Lock()
				r := &others
				if i.cut {
					r = &cut
				}
				f.mu.Unlock()
				mu.Lock()
				r.sent++
				r.slowest = max(r.slowest, took)
				if err == nil {
					r.served++
				}
				if relayed && err == nil {
					r.relayed++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return cut, others
}

// TestFleetServesCallersOfCutOffInstances guards against instances without a path to the servers
// that refuse their callers, or that all choose the same relay (RECOVER).
func TestFleetServesCallersOfCutOffInstances(t *testing.T) {
	for _, size := range []int{9, 84, 195, 1200} {
		if size > 195 && (testing.Short() || raceEnabled) {
			continue
		}
		domains := 3
		if size > 195 {
			domains = 19
		}
		for _, c := range []struct {
			name  string
			hangs bool
			isCut func(n int) bool
		}{
			{"one", true, func(n int) bool { return n == 1 }},
			{"a failure domain", false, func(n int) bool { return n%domains == 0 }},
			{"most", true, func(n int) bool { return n%6 != 0 }},
		} {
			t.Run(fmt.Sprintf("%d instances, %s", size, c.name), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					f := newTestFleet(t, size, domains)
					defer f.end()
					f.load(time.Second)
					f.set(c.isCut, c.hangs)
					f.load(contactTime)
					f.mu.Lock()
					clear(f.most)
					f.mu.Unlock()
					cut, others := f.load(2 * time.Second)
					assert.Equal(t, others.sent, others.served, "instances that reach the servers")
					assert.Zero(t, others.relayed)
					failed := cut.sent - cut.served
					assert.LessOrEqual(t, failed, freeFailures+(cut.sent+others.sent)/freeRatio, "failed first attempts at instances that don't")
					assert.Less(t, cut.slowest, time.Second)
					carried, most, relays := 0, 0, 0
					for n, i := range f.instances {
						if c.isCut(n) {
							assert.Zero(t, f.most[i.name], "%s can't carry streams", i.name)
							continue
						}
						relays++
						carried += f.most[i.name]
						most = max(most, f.most[i.name])
					}
					t.Logf("%d of %d served; a relay carries %.1f streams on average, %d at most", cut.served, cut.sent, float64(carried)/float64(relays), most)
					assert.LessOrEqual(t, most, 3*carried/relays+5, "streams of one relay")
					f.set(func(int) bool { return false }, false)
					time.Sleep(time.Second)
					_, healed := f.load(time.Second)
					assert.Equal(t, healed.sent, healed.served)
					assert.Zero(t, healed.relayed, "direct connections return when the links do")
				})
			})
		}
	}
}

// TestFleetWithoutAnyPathRefusesAtOnce guards against requests that are held while no instance
// reaches a server, and against a slow return.
func TestFleetWithoutAnyPathRefusesAtOnce(t *testing.T) {
	for _, hangs := range []bool{false, true} {
		bubble.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 9, 3)
			defer f.end()
			f.set(func(int) bool { return true }, hangs)
			f.load(contactTime)
			cut, _ := f.load(12 * time.Second)
			assert.Zero(t, cut.served)
			assert.Less(t, cut.slowest, 500*time.Millisecond)
			for _, i := range f.instances {
				assert.Equal(t, statechart.PathCutOff, i.paths.State("models"))
				assert.False(t, i.paths.IsRelayed(), "no instance would serve the callers")
			}
			f.set(func(int) bool { return false }, false)
			time.Sleep(2 * time.Second)
			_, healed := f.load(time.Second)
			assert.Equal(t, healed.sent, healed.served)
		})
	}
}

// TestServersThatAreDownAreNoCut guards against an instance that takes the crash of many servers
// for a fault of its links and drops its reports on them.
func TestServersThatAreDownAreNoCut(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3, 3)
		defer f.end()
		for s := range 3 {
			f.downServers[fmt.Sprint("s", s)] = true
		}
		i := f.instances[0]
		for range 20 {
			assert.True(t, i.paths.Check(t.Context(), "models"), "9 of 12 servers accept connections")
		}
		assert.True(t, i.paths.IsDirect("models"))
		f.set(func(n int) bool { return n == 0 }, true)
		assert.False(t, i.paths.Check(t.Context(), "models"), "the instance reaches no server")
		assert.False(t, i.paths.IsDirect("models"))
	})
}

// TestSilentServersAreChecked guards against a cut that hangs open connections: no connect
// fails, and a request without a timeout of its own would wait for its deadline.
func TestSilentServersAreChecked(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3, 3)
		defer f.end()
		f.set(func(n int) bool { return n == 0 }, true)
		cut, sound := f.instances[0].paths, f.instances[1].paths
		time.Sleep(time.Minute)
		assert.True(t, cut.IsDirect("models"), "nothing is in flight")
		cut.Sent("models")
		sound.Sent("models")
		time.Sleep(contactTime / 2)
		assert.False(t, cut.IsDirect("models"))
		assert.True(t, sound.IsDirect("models"), "a second's silence of the servers is no cut")
	})
}
