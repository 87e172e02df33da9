package upgrade

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/storefeed"
)

// TestOrderBackToTheSettledReleaseKeepsRequestsThere guards against an order back to the running release that moves
// nearly all requests to the bad one which was on trial, and ends its judgement (EXPOSURE).
func TestOrderBackToTheSettledReleaseKeepsRequestsThere(t *testing.T) {
	for name, what := range map[string]simService{"plain service": plainService, "model service": modelService} {
		for _, after := range []time.Duration{0, time.Second, 3 * time.Second, 8 * time.Second} {
			for _, restart := range []bool{false, true} {
				t.Run(name+" after "+after.String()+map[bool]string{true: ", an instance restarts"}[restart], func(t *testing.T) {
					bubble.Test(t, func(t *testing.T) {
						// It is bad, but not so bad that it is found at once.
						worse := defect{isBad: func(rng *rand.Rand, _ string, _ time.Duration, _ float64) bool { return rng.Float64() < 0.15 }}
						what.duration = 24 * time.Second
						s := &simulation{simService: what, fleet: startFleet(t, what.instances), defect: &worse, rng: rand.New(rand.NewPCG(1, 1)), started: time.Now()}
						next := s.play(4*time.Second, 0)
						s.began = time.Now()
						for i, c := range s.fleet.controllers {
							s.fleet.sets[i].Put(registrations(newRelease)...)
							c.Start(Upgrade{Service: service, To: newRelease, Duration: s.duration, Revision: storefeed.Position{Revision: 7}}, false)
						}
						next = s.play(after, next)
						back := Upgrade{Service: service, To: oldRelease, Duration: s.duration, Revision: storefeed.Position{Revision: 9}}
						for _, c := range s.fleet.controllers {
							c.Start(back, false)
						}
						if restart {
							next = s.play(time.Second, next)
							c := s.fleet.join(t, "restarted")
							s.fleet.sets[len(s.fleet.sets)-1].Put(registrations(newRelease)...)
							c.Start(back, false)
						}
						s.play(s.duration+4*time.Second, next)
						s.fleet.stop()
						s.underWay.Wait()
						s.checkShare(t)
						assert.Equal(t, statechart.UpgradeCompleted, s.fleet.records.current().State)
						if !what.hasSessions && !restart && len(s.sent) > 0 {
							assert.Less(t, slices.Max(s.sent), after+time.Second, "requests without a session return at once")
						}
					})
				})
			}
		}
	}
}
