package loadreport

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/datastore"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/peers/membus"
)

func TestInstancesExchangeTheirLoad(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		network := membus.New()
		var sets []*fleet.Set
		for i := range 3 {
			set := fleet.NewSet("d", nil)
			set.Put(fleet.Registration{ID: "s", Service: "m", Address: "s:1", Slots: 4})
			sets = append(sets, set)
			go New(network.Join(fmt.Sprint("i", i), "d"), set).Run(ctx)
		}
		server := func(i int) *fleet.Server {
			s, _ := sets[i].Snapshot().Server("s")
			return s
		}
		server(0).Begin(1)
		server(0).AddPrefill(300 * time.Millisecond)
		server(1).Begin(1)
		time.Sleep(250 * time.Millisecond)
		want := datastore.Load{Requests: 2, Prefill: 300 * time.Millisecond}
		for i := range sets {
			assert.Equal(t, want, server(i).TotalLoad(), "instance %d", i)
		}
		server(0).End(1)
		server(0).AddPrefill(-300 * time.Millisecond)
		network.SetPartitioned("i1", true)
		time.Sleep(3 * time.Second)
		assert.Zero(t, server(2).TotalLoad(), "the load of a disconnected peer expires")
		cancel()
		synctest.Wait()
	})
}
