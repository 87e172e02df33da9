package dispatch

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
)

// The seeds of TestBrittleServersStandInRandomFleets. BASILRAIL_BRITTLE_SEEDS and BASILRAIL_BRITTLE_FIRST
// change their number and the first one.
const (
	defaultBrittleSeeds = 6
	defaultBrittleFirst = 1
)

// brittleSeeds returns the first seed and the number of seeds.
func brittleSeeds(t *testing.T) (first, n uint64) {
	number := func(name string, otherwise uint64) uint64 {
		text := os.Getenv(name)
		if text == "" {
			return otherwise
		}
		v, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		return v
	}
	return number("BASILRAIL_BRITTLE_FIRST", defaultBrittleFirst), number("BASILRAIL_BRITTLE_SEEDS", defaultBrittleSeeds)
}

// randomPlainCase draws a fleet, its load and a fault.
func randomPlainCase(seed uint64) plainCase {
	const maxPerSecond = 2500
	rng := rand.New(rand.NewPCG(seed, 23))
	fleets := []plainCase{
		{instances: 9, servers: 1, slots: 6, domains: 3},
		{instances: 9, servers: 3, slots: 6, domains: 3},
		{instances: 9, servers: 18, slots: 32, domains: 3},
		{instances: 68, servers: 4, slots: 6, domains: 4},
		{instances: 68, servers: 112, slots: 12, domains: 4},
		{instances: 84, servers: 12, slots: 16, domains: 12},
		{instances: 195, servers: 117, slots: 12, domains: 13},
	}
	works := [][]time.Duration{
		{5 * time.Millisecond},
		{15 * time.Millisecond},
		{200 * time.Millisecond},
		{2 * time.Second},
		{5 * time.Millisecond, 200 * time.Millisecond},
		{15 * time.Millisecond, 2 * time.Second},
	}
	n := len(fleets)
	if largestBrittleFleet == 9 {
		n = 3
	}
	c := fleets[rng.IntN(n)]
	c.works = works[rng.IntN(len(works))]
	c.rejections = []float64{1, 2, 4, 20}[rng.IntN(4)]
	c.perSecond = min(maxPerSecond, c.capacity()*(0.2+2.8*rng.Float64()))
	c.fault = plainFaults[rng.IntN(len(plainFaults))]
	if rng.IntN(2) == 0 {
		c.latency = time.Duration(1+rng.IntN(3)) * time.Millisecond
	}
	if rng.IntN(2) == 0 {
		c.leaving, c.leaveAfter = 0.4*rng.Float64(), c.works[0]/2
	}
	return c
}

// lossShare returns the share of random arrivals that finds all slots occupied although each looks at
// all of them (Erlang's loss formula): nothing waits for a slot.
func (c *plainCase) lossShare() float64 {
	offered, share := c.perSecond/c.capacity()*float64(c.servers*c.slots), 1.0
	for n := 1; n <= c.servers*c.slots; n++ {
		share = offered * share / (float64(n) + offered*share)
	}
	return share
}

// TestBrittleServersStandInRandomFleets guards against brittle servers that fall over in fleets and
// under faults that no other test plays (LIMIT).
func TestBrittleServersStandInRandomFleets(t *testing.T) {
	first, n := brittleSeeds(t)
	for seed := first; seed < first+n; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				c := randomPlainCase(seed)
				t.Log(c.String())
				result := c.play(seed)
				c.checkFalls(t, result)
				if c.fault.name == noFault.name && c.latency == 0 && c.leaving == 0 {
					possible := float64(result.total) * (1 - c.lossShare())
					assert.GreaterOrEqual(t, float64(result.served), beganShare*possible)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
