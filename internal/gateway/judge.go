package gateway

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/cascade"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/tracing"
)

// sampleTimeout bounds a background rating, which no caller waits for.
const sampleTimeout = 10 * time.Second

// acceptable rates an answer and reports whether it meets AcceptableScore. An
// answer that could not be rated is not acceptable, so that a more expensive
// version answers if the quality is unknown.
func (c *chat) acceptable(ctx context.Context, step cascade.Step, a *answer) bool {
	score, err := c.rate(ctx, a.version, textOf(a.choices), true)
	if err != nil {
		c.gateway.Log.Log(events.RatingUnavailable, events.Fields{RequestID: c.id, Version: a.version.String(), Err: err})
		return false
	}
	a.placement.record.Score = &score
	return score >= AcceptableScore
}

// rate requests a rating and records it as evidence. It returns the score, from
// 0 to 1. judged is set if the caller waits for the rating.
func (c *chat) rate(ctx context.Context, ref settings.VersionRef, text string, judged bool) (float64, error) {
	ctx, span := startSpan(ctx, c.request, tracing.HopRating)
	defer span.End()
	if !c.gateway.Planner.Budget.Take(time.Now()) {
		return 0, errRatingQuotaUsed
	}
	started := time.Now()
	score, err := c.gateway.Rater.Rate(ctx, Rating{Task: c.task, Prompt: c.req.prompt, Answer: text, Version: ref})
	if err != nil {
		c.gateway.Planner.ObserveRatingFailure(time.Now())
		return 0, err
	}
	acceptable := score >= AcceptableScore
	c.gateway.Planner.ObserveRating(time.Now(), cascade.Outcome{
		Key:        cascade.Key{Account: c.view.ID, Task: c.task, Version: ref},
		Target:     c.target,
		Acceptable: acceptable,
		Judged:     judged,
		RatingTime: time.Since(started),
	})
	c.gateway.Versions.Observe(c.view.ID, ref, acceptable)
	return score, nil
}

// errRatingQuotaUsed is returned if this instance's quota of ratings is used up.
var errRatingQuotaUsed = errors.New("rating quota of this instance is used up")

// sample rates an answer in the background, as evidence, if the plan's step samples
// or the version must be rated. The request does not wait for the rating, but the
// shutdown does.
func (c *chat) sample(ctx context.Context, step cascade.Step, ref settings.VersionRef, choices []json.RawMessage) {
	if !step.Sample && !c.gateway.Versions.MustRate(c.view.ID, ref) {
		return
	}
	text := textOf(choices)
	c.gateway.inFlight.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sampleTimeout)
		defer cancel()
		if _, err := c.rate(ctx, ref, text, false); err != nil {
			c.gateway.Log.Log(events.RatingUnavailable, events.Fields{RequestID: c.id, Version: ref.String(), Err: err})
		}
	})
}

// choiceText is the part of a choice that holds its text, complete (message) or
// streamed (delta).
type choiceText struct {
	Message struct {
		Content string `json:"content"`
	} `json:"message"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
}

// textOf concatenates the texts of choices, or of the chunks of one choice.
func textOf(choices []json.RawMessage) string {
	var b strings.Builder
	for _, raw := range choices {
		var choice choiceText
		if json.Unmarshal(raw, &choice) == nil {
			b.WriteString(choice.Message.Content)
			b.WriteString(choice.Delta.Content)
		}
	}
	return b.String()
}
