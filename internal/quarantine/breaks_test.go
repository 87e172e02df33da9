package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/peers/membus"
)

// breaksFleet joins a few instances.
func breaksFleet(t *testing.T, n int) []*Breaks {
	network := membus.New()
	var list []*Breaks
	for i := range n {
		b := NewBreaks(network.Join(fmt.Sprint("i", i), "d"), nil)
		list = append(list, b)
		go b.Run(t.Context())
	}
	return list
}

func TestContentThatBreaksServerAfterServerIsRefusedEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := breaksFleet(t, 7)
		ran := 0
		for n := range 60 {
			at := fleet[n%len(fleet)]
			if at.Refused(culprit) == 0 {
				began := time.Now()
				time.Sleep(20 * time.Millisecond)
				at.Broke(culprit, fmt.Sprint("s", ran), began)
				ran++
			}
			time.Sleep(1500 * time.Millisecond)
		}
		// In a minute and a half the refusal lapses once after 30 s.
		assert.Equal(t, breakLimit+1, ran)
		for _, b := range fleet {
			assert.Positive(t, b.Refused(culprit))
			assert.Zero(t, b.Refused(innocent))
		}
	})
}

func TestServersThatBreakTogetherCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := breaksFleet(t, 1)[0]
		began := time.Now()
		time.Sleep(time.Second)
		for _, server := range servers {
			b.Broke(innocent, server, began)
		}
		assert.Zero(t, b.Refused(innocent), "a lost failure domain takes all that is in flight there")
	})
}

func TestWholeAnswerClearsAContentEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := breaksFleet(t, 3)
		for i, b := range fleet {
			b.Broke(innocent, servers[i], time.Now())
			time.Sleep(2 * tellEvery)
		}
		assert.Positive(t, fleet[0].Refused(innocent))
		fleet[1].Answered(innocent)
		time.Sleep(2 * tellEvery)
		for _, b := range fleet {
			assert.Zero(t, b.Refused(innocent))
			assert.True(t, b.Empty())
		}
	})
}

func TestNothingIsToldOfAContentThatIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := breaksFleet(t, 2)
		fleet[0].Broke(innocent, "s1", time.Now())
		time.Sleep(100 * time.Millisecond)
		fleet[0].Answered(innocent)
		time.Sleep(3 * tellEvery)
		assert.True(t, fleet[1].Empty())
	})
}

func TestOneServerThatBreaksOftenCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := breaksFleet(t, 1)[0]
		for range 10 {
			b.Broke(innocent, "s1", time.Now())
			time.Sleep(time.Second)
		}
		assert.Zero(t, b.Refused(innocent))
	})
}
