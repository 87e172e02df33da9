package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/cascade"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/wait"
)

const (
	// ratingSyncInterval is the interval between rating messages to the peers.
	ratingSyncInterval = 5 * time.Second
	// maxSharedKeys limits the evidence in one message to about 3 kB.
	maxSharedKeys = 48
)

// ratingSync exchanges the evidence from ratings with the peers and sets this
// instance's share of the rating service's capacity.
type ratingSync struct {
	bus     peers.Bus
	planner *cascade.Planner
	// fleetRate is the rating service's capacity for the whole fleet, in ratings
	// per second.
	fleetRate int
}

func newRatingSync(bus peers.Bus, planner *cascade.Planner, fleetRate int) *ratingSync {
	r := &ratingSync{bus: bus, planner: planner, fleetRate: fleetRate}
	bus.Handle(peers.KindRatings, r.handleRatings)
	return r
}

func (r *ratingSync) handleRatings(_ context.Context, msg peers.Message) (any, error) {
	var evidence cascade.Evidence
	if err := cbor.Unmarshal(msg.Body, &evidence); err != nil {
		return nil, errors.Wrap(err, "decode ratings")
	}
	r.planner.Learner.Merge(time.Now(), msg.From, evidence)
	return nil, nil
}

// Run broadcasts evidence and updates this instance's share of the rating service's
// capacity until the context ends.
func (r *ratingSync) Run(ctx context.Context) { wait.Every(ctx, ratingSyncInterval, r.tick) }

func (r *ratingSync) tick() {
	now := time.Now()
	instances := len(r.bus.Peers()) + 1
	r.planner.Budget.SetRate(now, float64(r.fleetRate)/float64(instances))
	evidence := r.planner.Learner.TakeUnsent(now, maxSharedKeys)
	if len(evidence.Items) > 0 {
		r.bus.Broadcast(peers.KindRatings, evidence)
	}
}
