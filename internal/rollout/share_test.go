package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/peers"
	"github.com/basilrail/basilrail/internal/peers/membus"
)

// An instance with many trials keeps to its rows a second and tells of the one
// that turned bad first.
func TestSharingIsBoundedAndUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const trials, seconds = 100, 60
		rows, first := 0, ""
		network := membus.New()
		network.Join("listener", "a").Handle(peers.KindEvidence, func(_ context.Context, msg peers.Message) (any, error) {
			body, err := decodeEvidence(msg.Body)
			rows += len(body.Rows)
			if first == "" {
				first = body.Rows[0].Trial.Team
			}
			return nil, err
		})
		c := New(Options{Bus: network.Join("entry-0", "a"), Rand: rand.New(rand.NewPCG(1, 1))})
		for i := range seconds {
			for n := range trials {
				c.own[Trial{Team: fmt.Sprint("team-", n), Ref: ref("1")}] = Counts{Good: uint64(i + 1)}
			}
			c.own[Trial{Team: "turned-bad", Ref: ref("1")}] = Counts{Bad: uint64(i + 1)}
			c.share()
			time.Sleep(time.Second)
		}
		require.Equal(t, "turned-bad", first)
		require.LessOrEqual(t, rows, seconds*int(ownRowsPerSecond)+rowBurst)
		require.Greater(t, rows, seconds*rowBurst/2)
	})
}
