package dispatch

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/fleet"
)

// onTrial selects the release "new", which is judged against "old", and records what is observed.
type onTrial struct {
	noReleases
	observed *[]Observation
}

func (onTrial) Choose(string, string) string      { return "new" }
func (onTrial) Packs(_, release string) bool      { return release == "new" }
func (o onTrial) Observe(observation Observation) { *o.observed = append(*o.observed, observation) }

func (onTrial) Alternative(_, release string) string {
	if release == "new" {
		return "old"
	}
	return ""
}

// newTrial returns a setup in which both services have two servers of the old release and three of the new one.
func newTrial(steps ...step) (*setup, *[]Observation) {
	b := newSetup(steps...)
	var observed []Observation
	b.d.Releases = onTrial{observed: &observed}
	for id, release := range map[string]string{"a": "old", "b": "old", "c": "new", "d": "new", "e": "new"} {
		for _, service := range []string{"models", "web"} {
			b.d.Fleet.Put(fleet.Registration{ID: service + id, Service: service, Address: id + ":1", FailureDomain: "here", Slots: 4, Release: release})
		}
	}
	return b, &observed
}

// TestFailureOfARequestIsNotOneOfTheReleaseOnTrial guards against releases that are completed, or stopped,
// because requests that fail at any release hide, or look like, the failures of the new one (EXPOSURE).
func TestFailureOfARequestIsNotOneOfTheReleaseOnTrial(t *testing.T) {
	b, observed := newTrial(answers(500, "first"), answers(500, "second"))
	assert.Equal(t, 500, b.serve("/read/").status)
	assert.Empty(t, *observed, "the request fails at both releases")
	assert.Equal(t, "new", releaseOf(b, 0))
	assert.Equal(t, "old", releaseOf(b, 1))

	b, observed = newTrial(answers(500, "first"), answers(200, "second"))
	assert.Equal(t, "second", b.serve("/read/").text)
	assert.Len(t, *observed, 1)
	assert.True(t, (*observed)[0].Failed)
	assert.Equal(t, "new", (*observed)[0].Release)

	b, observed = newTrial(answers(500, "only"))
	b.d.Budgets = newBudgets(0)
	assert.Equal(t, 500, b.serve("/read/").status)
	assert.Len(t, *observed, 1, "nothing confirms or refutes the failure")

	b, observed = newTrial(answers(500, "first"), answers(500, "second"))
	b.d.Fleet.Remove("weba")
	b.d.Fleet.Remove("webb")
	assert.Equal(t, 500, b.serve("/read/").status)
	assert.Len(t, *observed, 1, "only the release on trial has servers")
}

func releaseOf(b *setup, attempt int) string {
	server, _ := b.d.Fleet.Snapshot().Server(b.script.attempts[attempt].Server.ID)
	return server.Registration.Release
}

// TestRequestsOfAReleaseOnTrialArePacked guards against releases that are bad only under load and are
// completed, because the load is too low while they are judged (EXPOSURE).
func TestRequestsOfAReleaseOnTrialArePacked(t *testing.T) {
	var steps []step
	servers := make(map[string]int)
	var b *setup
	// nested sends the next request while the one before is at its server.
	nested := func(ctx context.Context, a *Attempt) (Answer, error) {
		servers[a.Server.ID]++
		if len(servers) < 2 {
			b.serve("/read/")
		}
		return answers(200, "ok")(ctx, a)
	}
	for range 8 {
		steps = append(steps, nested)
	}
	b, _ = newTrial(steps...)
	b.serve("/read/")
	assert.Len(t, b.script.attempts, 3)
	assert.Equal(t, b.script.attempts[0].Server.ID, b.script.attempts[1].Server.ID, "half of the slots of one server are used first")
	assert.NotEqual(t, b.script.attempts[0].Server.ID, b.script.attempts[2].Server.ID)
}
