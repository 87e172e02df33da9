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
	// learningInterval is the time between two messages with ratings.
	learningInterval = 5 * time.Second
	// maxSharedKeys bounds the ratings in one message to about 3 kB.
	maxSharedKeys = 48
)

// learning shares what ratings teach about cascades, and this instance's part
// of the rating service, with the peers.
type learning struct {
	bus     peers.Bus
	planner *cascade.Planner
	// ratings is what the service gives the whole fleet, a second.
	ratings int
}

func newLearning(bus peers.Bus, planner *cascade.Planner, ratings int) *learning {
	l := &learning{bus: bus, planner: planner, ratings: ratings}
	bus.Handle(peers.KindRatings, l.hear)
	return l
}

func (l *learning) hear(_ context.Context, msg peers.Message) (any, error) {
	var evidence cascade.Evidence
	if err := cbor.Unmarshal(msg.Body, &evidence); err != nil {
		return nil, errors.Wrap(err, "decode ratings")
	}
	l.planner.Learner.Merge(time.Now(), msg.From, evidence)
	return nil, nil
}

// Run shares until the context ends.
func (l *learning) Run(ctx context.Context) { wait.Every(ctx, learningInterval, l.tick) }

func (l *learning) tick() {
	now := time.Now()
	instances := len(l.bus.Peers()) + 1
	l.planner.Budget.SetRate(now, float64(l.ratings)/float64(instances))
	evidence := l.planner.Learner.Take(now, maxSharedKeys)
	if len(evidence.Items) > 0 {
		l.bus.Broadcast(peers.KindRatings, evidence)
	}
}
