package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/peers/membus"
)

// An instance with many keys stays within its rate limit and sends the key that turned
// bad first.
func TestEvidenceIsRateLimitedAndBadAnswersAreSentFirst(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const keys, seconds = 100, 60
		rows, first := 0, ""
		network := membus.New()
		network.Join("listener", "a").Handle(peers.KindEvidence, func(_ context.Context, msg peers.Message) (any, error) {
			body, err := decodeEvidence(msg.Body)
			rows += len(body.Rows)
			if first == "" {
				first = body.Rows[0].EvidenceKey.Team
			}
			return nil, err
		})
		c := New(Options{Bus: network.Join("entry-0", "a"), Rand: rand.New(rand.NewPCG(1, 1))})
		for i := range seconds {
			for n := range keys {
				c.own[EvidenceKey{Team: fmt.Sprint("team-", n), Ref: ref("1")}] = Counts{Good: uint64(i + 1)}
			}
			c.own[EvidenceKey{Team: "turned-bad", Ref: ref("1")}] = Counts{Bad: uint64(i + 1)}
			c.sendEvidence()
			time.Sleep(time.Second)
		}
		require.Equal(t, "turned-bad", first)
		require.LessOrEqual(t, rows, seconds*int(ownRowsPerSecond)+rowBurst)
		require.Greater(t, rows, seconds*rowBurst/2)
	})
}
