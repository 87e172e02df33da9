package scheduling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/settings"
)

func workServers(n, capacity int) []*datastore.Server {
	var list []*datastore.Server
	for i := range n {
		list = append(list, datastore.NewServer(fmt.Sprint("s", i), settings.Server{Capacity: capacity}))
	}
	return list
}

func pickWork(t *testing.T, servers []*datastore.Server, req Request) *datastore.Server {
	d, err := Fleet.PickFrom(servers, req, rand.New(rand.NewPCG(1, 2)))
	require.NoError(t, err)
	return d.Server
}

func TestShortRequestAvoidsServerWithLongPrefill(t *testing.T) {
	servers := workServers(2, 32)
	servers[0].Begin(1)
	servers[0].AddPrefill(900 * time.Millisecond)
	for range 20 {
		servers[1].Begin(1)
	}
	assert.Equal(t, "s1", pickWork(t, servers, Request{}).ID, "20 running requests delay a request less than one prefill of 0.9 s")
}

func TestServerWithoutFreeSlotsIsPickedLast(t *testing.T) {
	servers := workServers(2, 4)
	for range 4 {
		servers[0].Begin(1)
	}
	servers[1].AddPrefill(200 * time.Millisecond)
	assert.Equal(t, "s1", pickWork(t, servers, Request{}).ID)
	servers[1].SetOthersLoad(datastore.Load{Requests: 8})
	assert.Equal(t, "s0", pickWork(t, servers, Request{}).ID, "requests of other instances count too")
}

func TestSharedPromptsGoToOneServerUntilItIsLoaded(t *testing.T) {
	servers := workServers(8, 32)
	req := Request{PrefixHash: 77, SharedWork: 100 * time.Millisecond}
	preferred := pickWork(t, servers, req)
	for range 5 {
		assert.Equal(t, preferred.ID, pickWork(t, servers, req).ID)
	}
	preferred.AddPrefill(affinityWeight * req.SharedWork)
	preferred.Begin(1)
	assert.NotEqual(t, preferred.ID, pickWork(t, servers, req).ID)
}

func TestEqualServersGetEqualLoad(t *testing.T) {
	servers := workServers(4, 8)
	rng := rand.New(rand.NewPCG(3, 4))
	counts := make(map[string]int)
	for range 400 {
		d, err := Fleet.PickFrom(servers, Request{}, rng)
		require.NoError(t, err)
		counts[d.Server.ID]++
	}
	for id, n := range counts {
		assert.InDelta(t, 100, n, 40, id)
	}
}
