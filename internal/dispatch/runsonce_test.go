package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
)

// newSizedRoute returns a setup whose route /chat/ is of a kind and has models of several sizes.
func newSizedRoute(kind routing.Kind, isResumable bool, steps ...step) *setup {
	b := newSetup(steps...)
	b.state.Put(routing.New(routing.Config{
		Version: 2, Keys: b.keys,
		Routes: []routing.Route{{
			Host: "h", Prefix: "/chat/", Kind: kind, Resumable: isResumable, CarriesPrompt: true, Timeout: 10 * time.Second,
			TargetLatency: time.Second, MaxAttempts: 3, Models: []string{"small", "mid", "large"},
			Targets: []routing.Target{{Service: "models", Weight: 1}},
		}},
	}))
	return b
}

// unconfident answers any model with an event and a low confidence.
func unconfident() step { return streams(10, 1, 2, nil) }

// TestAnswerOfARouteThatRunsOnceIsNotEscalated guards against requests that may run once at most and are run again by a
// larger model because the answer of a smaller one had a low confidence (TWICE).
func TestAnswerOfARouteThatRunsOnceIsNotEscalated(t *testing.T) {
	for name, c := range map[string]struct {
		kind        routing.Kind
		isResumable bool
		session     string
		attempts    int
	}{
		"stream that can't be resumed":     {routing.Streaming, false, "", 1},
		"the same in a session":            {routing.Streaming, false, "s", 1},
		"call that is not idempotent":      {routing.NonIdempotent, false, "", 1},
		"call marked resumable":            {routing.NonIdempotent, true, "", 1},
		"stream that may be resumed":       {routing.Streaming, true, "", 2},
		"resumable stream in a session":    {routing.Streaming, true, "s", 2},
		"idempotent call with a stream":    {routing.Idempotent, false, "", 2},
		"idempotent stream in the session": {routing.Idempotent, false, "s", 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newSizedRoute(c.kind, c.isResumable, unconfident(), unconfident())
			answered := &caller{}
			b.d.Serve(context.Background(), &Request{
				ID: "id", Host: "h", Path: "/chat/", Key: "key", Arrived: time.Now(), AnyModel: true, Session: c.session,
			}, answered)
			assert.Len(t, b.script.attempts, c.attempts)
			assert.Equal(t, "1 2 ", answered.text, "the answer is delivered all the same")
			assert.True(t, answered.ended)
		})
	}
}

// TestRequestThatMayHaveRunIsNotPlacedAgain guards against a way to one more attempt that doesn't ask whether the request
// may run twice (TWICE): the question is asked where attempts are placed.
func TestRequestThatMayHaveRunIsNotPlacedAgain(t *testing.T) {
	for _, isResumable := range []bool{false, true} {
		for _, state := range []struct {
			execution apierror.ExecutionStatus
			isRunning bool
		}{{apierror.NotRun, true}, {apierror.MayHaveRun, false}, {apierror.DidRun, false}} {
			b := newSizedRoute(routing.Streaming, isResumable)
			x := &exchange{
				d: b.d, req: &Request{ID: "id", Host: "h", Path: "/chat/", Key: "key", Arrived: time.Now()}, out: &caller{},
				execution: apierror.NotRun,
			}
			require.Nil(t, x.prepare())
			placed, refusal := x.place()
			require.Nil(t, refusal)
			placed.slot.End(true)
			x.execution, x.isRunning = state.execution, state.isRunning
			for way, place := range map[string]func() (*placement, *Refusal){
				"place":       x.place,
				"placeInTurn": func() (*placement, *Refusal) { return x.placeInTurn(context.Background()) },
				"healthyOnly": func() (*placement, *Refusal) { return x.placeWith((*exchange).healthyOnly) },
				"askedAgain":  func() (*placement, *Refusal) { return x.placeWith((*exchange).askedAgain) },
			} {
				_, refusal := place()
				assert.Equal(t, isResumable, refusal == nil, "%s, %+v", way, state)
			}
		}
	}
}

// TestRefusedRequestThatRunsOnceIsSentElsewhere guards against requests that did not run and are refused for fear that
// they run twice.
func TestRefusedRequestThatRunsOnceIsSentElsewhere(t *testing.T) {
	for _, outcome := range []retry.Outcome{retry.OutcomeConnectFailed, retry.OutcomeNotSent, retry.OutcomeNoCapacity, retry.OutcomeDraining, retry.OutcomeNotLoaded} {
		b := newSizedRoute(routing.Streaming, false, fails(outcome), streams(90, 1, 2, nil))
		c := b.serve("/chat/")
		assert.Equal(t, "1 2 ", c.text, outcome.String())
		assert.Len(t, b.script.attempts, 2)
	}
}
