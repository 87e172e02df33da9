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

// sampleTimeout bounds a rating that no caller waits for.
const sampleTimeout = 10 * time.Second

// acceptable rates an answer. Without a rating the answer is not acceptable: a
// dearer version is asked where the quality is not known.
func (c *chat) acceptable(ctx context.Context, step cascade.Step, a *answer) bool {
	score, err := c.rate(ctx, a.version, textOf(a.choices), true)
	if err != nil {
		c.gateway.Log.Log(events.RatingUnavailable, events.Fields{RequestID: c.id, Version: a.version.String(), Err: err})
		return false
	}
	a.placement.record.Score = &score
	return score >= AcceptableScore
}

// rate asks the rating service and learns from its answer. Judged tells that
// the caller waits for the rating.
func (c *chat) rate(ctx context.Context, ref settings.VersionRef, text string, judged bool) (float64, error) {
	ctx, span := startSpan(ctx, c.request, tracing.HopRating)
	defer span.End()
	if !c.gateway.Planner.Budget.Take(time.Now()) {
		return 0, errNoRatingLeft
	}
	started := time.Now()
	score, err := c.gateway.Rater.Rate(ctx, Rating{Task: c.task, Prompt: c.req.prompt, Answer: text, Version: ref})
	if err != nil {
		c.gateway.Planner.RatingFailed(time.Now())
		return 0, err
	}
	acceptable := score >= AcceptableScore
	c.gateway.Planner.Rated(time.Now(), cascade.Outcome{
		Key:        cascade.Key{Account: c.view.ID, Task: c.task, Version: ref},
		Target:     c.target,
		Acceptable: acceptable,
		Judged:     judged,
		Took:       time.Since(started),
	})
	c.gateway.Versions.Observe(c.view.ID, ref, acceptable)
	return score, nil
}

// errNoRatingLeft tells that this instance's share of the ratings is used up.
var errNoRatingLeft = errors.New("no rating left in this instance's share")

// sample rates an answer that the caller already has, to learn from it. The
// request does not wait for it; the shutdown does.
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

// choiceText is the part of a choice that holds its text, whole or streamed.
type choiceText struct {
	Message struct {
		Content string `json:"content"`
	} `json:"message"`
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
}

// textOf joins the texts of choices or of the chunks of one.
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
