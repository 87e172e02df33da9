package configsync

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/basilrail/basilrail/internal/peers"
)

// statusConcurrency is the maximum number of peers queried for their status at once.
const statusConcurrency = 32

// InstanceStatus is the state of the settings on one instance.
type InstanceStatus struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain,omitempty"`
	// Reachable is false if the instance did not reply. Then only ID, FailureDomain and
	// Lagging are meaningful.
	Reachable bool   `json:"reachable"`
	Revision  uint64 `json:"revision"`
	// Lagging is whether another instance has a later revision in effect, or this
	// one is not reachable.
	Lagging bool `json:"lagging"`
	// Current is whether the instance's settings are confirmed to be current.
	Current bool `json:"current"`
	// AgeMillis is the time since the settings were last confirmed to be current;
	// negative for unknown.
	AgeMillis int64 `json:"age_ms"`
	// StoreReached is whether the instance's last read of the table service succeeded.
	StoreReached bool `json:"store_reached"`
}

// Status queries every listed instance. Instances that lag or don't reply come
// first in the result.
func (s *Syncer) Status(ctx context.Context) []InstanceStatus {
	listed := s.opts.Bus.Peers()
	all := []InstanceStatus{s.ownStatus()}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(statusConcurrency)
	for _, peer := range listed {
		group.Go(func() error {
			status := s.statusOf(ctx, peer)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, status)
			return nil
		})
	}
	_ = group.Wait()
	markLagging(all)
	return all
}

func (s *Syncer) ownStatus() InstanceStatus {
	status := statusFrom(s.opts.Bus.Self(), s.reply(fetchRequest{Since: math.MaxUint64}))
	status.FailureDomain = s.opts.FailureDomain
	status.Current = s.unconfirmedReason() == ""
	return status
}

func (s *Syncer) statusOf(ctx context.Context, peer peers.Peer) InstanceStatus {
	reply, err := s.fetch(ctx, peer.ID, fetchRequest{Since: math.MaxUint64})
	if err != nil {
		return InstanceStatus{ID: peer.ID, FailureDomain: peer.FailureDomain, AgeMillis: -1}
	}
	status := statusFrom(peer.ID, reply)
	status.FailureDomain = peer.FailureDomain
	return status
}

func statusFrom(id string, reply fetchReply) InstanceStatus {
	return InstanceStatus{
		ID:           id,
		Reachable:    true,
		Revision:     reply.Revision,
		Current:      reply.Loaded && reply.ConfirmedAgeMillis >= 0 && reply.ConfirmedAgeMillis <= MaxConfirmationAge.Milliseconds(),
		AgeMillis:    reply.ConfirmedAgeMillis,
		StoreReached: reply.Loaded && !reply.StoreDown,
	}
}

// markLagging marks the instances behind the latest revision, and sorts them
// first.
func markLagging(all []InstanceStatus) {
	var latest uint64
	for _, status := range all {
		latest = max(latest, status.Revision)
	}
	for i := range all {
		all[i].Lagging = !all[i].Reachable || all[i].Revision < latest
	}
	slices.SortFunc(all, func(a, b InstanceStatus) int {
		if a.Lagging != b.Lagging {
			if a.Lagging {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
}

// Age returns the time since the settings were last confirmed to be current.
func (s *Syncer) Age() time.Duration { return s.age() }
