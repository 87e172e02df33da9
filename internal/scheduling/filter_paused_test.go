package scheduling

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPausedServerGetsNothingUntilItsPauseEnds covers servers that shed load: the one
// with the least load is the one that refuses everything.
func TestPausedServerGetsNothingUntilItsPauseEnds(t *testing.T) {
	servers := workServers(3, 4)
	servers[1].Begin(1)
	servers[2].Begin(1)
	servers[2].Begin(1)
	now := time.Now()
	assert.Equal(t, "s0", pickWork(t, servers, Request{Now: now}).ID)
	require.True(t, servers[0].Pause(now.Add(2*time.Second)))
	assert.False(t, servers[0].Pause(now.Add(time.Second)), "a shorter pause changes nothing")
	assert.Equal(t, "s1", pickWork(t, servers, Request{Now: now}).ID)
	assert.Equal(t, "s1", pickWork(t, servers, Request{Now: now.Add(2*time.Second - 1)}).ID)
	assert.Equal(t, "s0", pickWork(t, servers, Request{Now: now.Add(2 * time.Second)}).ID)

	preferred := pickWork(t, servers, Request{Now: now, PrefixHash: 77, SharedWork: time.Second})
	preferred.Pause(now.Add(time.Second))
	assert.NotEqual(t, preferred.ID, pickWork(t, servers, Request{Now: now, PrefixHash: 77, SharedWork: time.Second}).ID,
		"prefix affinity does not override a pause")

	for _, server := range servers {
		server.Pause(now.Add(time.Second))
	}
	_, err := Fleet.PickFrom(servers, Request{Now: now}, rand.New(rand.NewPCG(1, 2)))
	var none *NoServerError
	require.ErrorAs(t, err, &none)
	assert.Equal(t, RejectedPaused, none.Candidates[0].Reason)
	assert.False(t, none.Candidates[0].Reason.Eligible())
}
