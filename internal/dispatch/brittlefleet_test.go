package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
)

// The users' rule for brittle servers (LIMIT): in one time in which the servers of a service
// are brittle they may fall over fallsFree times, and once for each fallsPer servers.
const (
	fallsFree = 2
	fallsPer  = 10
)

// enter takes a place at a server, and reports false if the server turns the request away.
// From contactTime after they announced that they are brittle, servers let none wait.
func (f *simFleet) enter(s *simServer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	queue := f.queue
	isFragile := f.brittle > 0 && !f.brittleSince.IsZero() && time.Since(f.brittleSince) >= contactTime
	if isFragile {
		queue = 0
	}
	if f.slots == 0 || s.active < f.slots+queue {
		s.active++
		return true
	}
	now := time.Now()
	s.rejections = append(slices.DeleteFunc(s.rejections, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	if isFragile && float64(len(s.rejections)) > f.brittle {
		s.rejections = nil
		f.falls = append(f.falls, now)
		go f.crash(s.id, 0)
	}
	return false
}

// leave frees a place at a server.
func (f *simFleet) leave(s *simServer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.active--
}

// delayed returns a delay of a server, prolonged by the time in which no server sends anything.
func (f *simFleet) delayed(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return d + max(0, time.Until(f.silentUntil))
}

// noteBrittle passes on that the answer of a server announces that it is brittle.
func (t *simTransport) noteBrittle(a *Attempt) {
	t.fleet.mu.Lock()
	isBrittle := !t.fleet.brittleSince.IsZero()
	t.fleet.mu.Unlock()
	if isBrittle {
		t.brittle.Announced(a.Server, t.fleet.brittle)
	}
}

// TestOverloadedFleetDoesNotToppleBrittleServers guards against brittle servers that fall over
// because the instances together send more than they have room for (LIMIT).
func TestOverloadedFleetDoesNotToppleBrittleServers(t *testing.T) {
	for name, fault := range map[string]func(f *simFleet){
		"no fault": func(*simFleet) {},
		"all servers fall silent": func(f *simFleet) {
			for range 3 {
				time.Sleep(3 * time.Second)
				f.mu.Lock()
				f.silentUntil = time.Now().Add(time.Second)
				f.mu.Unlock()
			}
		},
		"servers crash": func(f *simFleet) {
			time.Sleep(4 * time.Second)
			f.crashSome(0.3)
		},
		"instances restart": func(f *simFleet) {
			time.Sleep(5 * time.Second)
			f.restart()
		},
		"instances restart in turn": func(f *simFleet) {
			for n := range f.size {
				time.Sleep(12 * time.Second / time.Duration(f.size))
				f.restartOne(n)
			}
		},
		"instances cut off from each other": func(f *simFleet) {
			for i := range f.size {
				f.network.SetPartitioned(simName(i), true)
			}
		},
	} {
		for _, c := range []struct {
			instances, servers, slots, domains int
			// perSecond is the load; a server runs a request for two seconds.
			perSecond float64
		}{
			{instances: 9, servers: 18, slots: 16, domains: 3, perSecond: 400},
			{instances: 9, servers: 3, slots: 6, domains: 3, perSecond: 60},
			{instances: 24, servers: 30, slots: 8, domains: 3, perSecond: 400},
			{instances: 84, servers: 60, slots: 16, domains: 12, perSecond: 1500},
		} {
			if c.instances > largestBrittleFleet {
				continue
			}
			for seed := range max(faultSeeds()/defaultFaultSeeds, 1) {
				t.Run(fmt.Sprintf("%s, %d instances, %d servers, seed %d", name, c.instances, c.servers, seed), func(t *testing.T) {
					bubble.Test(t, func(t *testing.T) {
						f := newSimFleetOf(simFleetOptions{instances: c.instances, servers: c.servers, slots: c.slots, domains: c.domains, seed: seed})
						defer f.close()
						f.queue, f.brittle = c.slots, 4
						f.load(2*time.Second, c.perSecond/8, 0)
						f.mu.Lock()
						f.brittleSince = time.Now()
						f.mu.Unlock()
						go fault(f)
						f.load(14*time.Second, c.perSecond, 0)
						f.mu.Lock()
						falls, served := len(f.falls), 0
						for _, o := range f.sound {
							if o.began {
								served++
							}
						}
						sent := len(f.sound)
						f.mu.Unlock()
						t.Logf("%d falls, %d of %d requests began", falls, served, sent)
						assert.LessOrEqual(t, falls, fallsFree+c.servers/fallsPer)
						require.Positive(t, served)
						time.Sleep(time.Minute)
					})
				})
			}
		}
	}
}
