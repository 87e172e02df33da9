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
	b.limitAttempts(kind, isResumable, 3)
	return b
}

// limitAttempts replaces the configuration by one whose route /chat/ has models of several sizes.
func (b *setup) limitAttempts(kind routing.Kind, isResumable bool, maxAttempts int) {
	b.state.Put(routing.New(routing.Config{
		Version: b.state.Table().Version() + 1, Keys: b.keys,
		Routes: []routing.Route{{
			Name: "chat", Host: "h", Prefix: "/chat/", Kind: kind, Resumable: isResumable, CarriesPrompt: true, Timeout: 10 * time.Second,
			TargetLatency: time.Second, MaxAttempts: maxAttempts, Models: []string{"small", "mid", "large"},
			Targets: []routing.Target{{Service: "models", Weight: 1}},
		}},
	}))
}

// trustSmallModel makes the small model sufficient, so that it is asked where it is the only one too.
func (b *setup) trustSmallModel() {
	for range 1000 {
		b.d.sufficiency.Observe("chat", 90)
	}
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
			b.trustSmallModel()
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

// TestOnlyModelIsLargeEnough guards against poor answers of the smallest model where no larger one may replace them, and
// against the cost of the largest where one may.
func TestOnlyModelIsLargeEnough(t *testing.T) {
	for name, c := range map[string]struct {
		kind                  routing.Kind
		isResumable, isSolved bool
		maxAttempts           int
		model                 string
	}{
		"may run once":                     {routing.Streaming, false, false, 3, "large"},
		"call that may run once":           {routing.NonIdempotent, false, false, 3, "large"},
		"may run once, small is enough":    {routing.Streaming, false, true, 3, "small"},
		"one attempt":                      {routing.Streaming, true, false, 1, "large"},
		"may run again":                    {routing.Streaming, true, false, 3, "small"},
		"idempotent":                       {routing.Idempotent, false, false, 3, "small"},
		"idempotent, but only one attempt": {routing.Idempotent, false, false, 1, "large"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newSizedRoute(c.kind, c.isResumable, streams(90, 1, 2, nil))
			b.limitAttempts(c.kind, c.isResumable, c.maxAttempts)
			if c.isSolved {
				b.trustSmallModel()
			}
			b.serve("/chat/")
			require.Len(t, b.script.attempts, 1)
			assert.Equal(t, c.model, b.script.attempts[0].Model)
		})
	}
}

// TestCompleteAnswerOfLowConfidenceIsReplaced guards against idempotent calls that keep the poor answer of the smallest
// model because it is no stream.
func TestCompleteAnswerOfLowConfidenceIsReplaced(t *testing.T) {
	poor := func(context.Context, *Attempt) (Answer, error) {
		return &fakeAnswer{head: Head{Status: 200, Confidence: 10}, body: "poor"}, nil
	}
	b := newSizedRoute(routing.Idempotent, false, poor, answers(200, "good"))
	assert.Equal(t, "good", b.serve("/chat/").text)
	require.Len(t, b.script.attempts, 2)
	assert.Equal(t, "large", b.script.attempts[1].Model)
}
