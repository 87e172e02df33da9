package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/tablestore"
)

type fakeList struct {
	mu      sync.Mutex
	down    bool
	members map[string]tablestore.Member
}

func (f *fakeList) List(context.Context) ([]tablestore.Member, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, tablestore.ErrUnavailable
	}
	var list []tablestore.Member
	for _, m := range f.members {
		list = append(list, m)
	}
	return list, nil
}

func (f *fakeList) Register(_ context.Context, m tablestore.Member) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[m.ID] = m
	return nil
}

func (f *fakeList) Deregister(_ context.Context, id string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.members, id)
	return nil
}

func TestLastViewIsKeptDuringOutage(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		list := &fakeList{members: map[string]tablestore.Member{"s1": {ID: "s1", Kind: tablestore.MemberServer}}}
		self := tablestore.Member{ID: "e1", Kind: tablestore.MemberEntry}
		w := New(list, self, rand.New(rand.NewPCG(1, 2)), nil)
		ctx, cancel := context.WithCancel(t.Context())
		go w.Run(ctx)
		time.Sleep(3 * time.Second)
		require.Len(t, w.View().Instances, 1)
		require.Len(t, w.View().Servers, 1)

		list.mu.Lock()
		list.down = true
		list.mu.Unlock()
		time.Sleep(time.Minute)
		require.Len(t, w.View().Servers, 1)
		require.GreaterOrEqual(t, time.Since(w.View().ReadAt), 58*time.Second)

		require.NoError(t, w.SetDraining(ctx))
		require.True(t, list.members["e1"].Draining)
		cancel()
		synctest.Wait()
	})
}

func TestPollIntervalBoundsFleetPollRate(t *testing.T) {
	for _, instances := range []int{1, 9, 200, 1200} {
		shortest := pollInterval(instances, 0)
		require.LessOrEqual(t, float64(instances)/shortest.Seconds(), fleetPollsPerSecond*1.26)
		require.GreaterOrEqual(t, shortest, 800*time.Millisecond)
	}
}
