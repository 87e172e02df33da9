package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/modeltier"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/poison"
	"github.com/basilrail/basilrail/internal/refusal"
	"github.com/basilrail/basilrail/internal/retry"
)

// withPoison gives the dispatcher a tracker that refuses deadlyPart once the records are
// applied.
func (b *setup) withPoison() (refuse func()) {
	records := &simRecords{began: time.Now()}
	b.d.Poison = poison.New(poison.Options{Bus: membus.New().Join("i", "here"), FleetSize: func() int { return 1 }, Records: records, Seed: 1})
	return func() {
		now, _ := records.Now()
		b.d.Poison.ApplyRecords([]refusal.Record{{Key: poison.FormatParts([]poison.Part{deadlyPart}), From: now, NextTrial: now + time.Minute, Expires: now + time.Hour}}, false)
	}
}

func (b *setup) servePrompt(c *caller, parts ...uint64) {
	req := &Request{ID: "id", Host: "h", Path: "/chat/", Key: "key", Arrived: time.Now(), AnyModel: true, Prompt: Prompt{InputTokens: 9}}
	for _, id := range parts {
		req.Prompt.Parts = append(req.Prompt.Parts, Part{ID: id})
	}
	b.d.Serve(context.Background(), req, c)
}

// TestKnownDeadlyPartIsRefusedAtOnce guards against requests that are known to crash servers
// and are held, sent, or refused as if they had run. A part of the request's own is none.
func TestKnownDeadlyPartIsRefusedAtOnce(t *testing.T) {
	b := newSetup(streams(90, 1, 2, nil), streams(90, 1, 2, nil))
	b.withPoison()()
	began, c := time.Now(), &caller{}
	b.servePrompt(c, 1, deadlyPart, 3)
	require.NotNil(t, c.refusal)
	assert.Equal(t, Quarantined, c.refusal.Reason)
	assert.Equal(t, apierror.NotRun, c.refusal.Execution)
	assert.InDelta(t, time.Minute, c.refusal.RetryAfter, float64(time.Second))
	assert.Less(t, time.Since(began), 500*time.Millisecond)
	assert.Empty(t, b.script.attempts)
	for _, parts := range [][]uint64{{1, 2, 3}, {1, deadlyPart}} {
		c = &caller{}
		b.servePrompt(c, parts...)
		assert.True(t, c.ended, "%x", parts)
	}
}

// TestDeadlyPartFoundWhileTheServerWaits guards against a request that crashes its server
// although its part was found to be deadly before the server began, and against a refusal
// that says it did not run.
func TestDeadlyPartFoundWhileTheServerWaits(t *testing.T) {
	var refuse func()
	b := newSetup(func(ctx context.Context, _ *Attempt) (Answer, error) {
		refuse()
		select {
		case <-ctx.Done():
			return nil, NewSendError(retry.OutcomeCallerGone, ctx.Err())
		case <-time.After(5 * time.Second):
			return nil, NewSendError(retry.OutcomeDisconnected, errTest)
		}
	}, streams(90, 1, 2, nil))
	refuse = b.withPoison()
	c := &caller{}
	b.servePrompt(c, 1, deadlyPart, 3)
	require.NotNil(t, c.refusal)
	assert.Equal(t, Quarantined, c.refusal.Reason)
	assert.Equal(t, apierror.MayHaveRun, c.refusal.Execution)
	assert.Len(t, b.script.attempts, 1)
}

// TestEscalationProvesNothing guards against a deadly part that counts as sound because the
// first model's answer was dropped before its server crashed.
func TestEscalationProvesNothing(t *testing.T) {
	disconnected := NewSendError(retry.OutcomeDisconnected, errTest)
	for name, last := range map[string]step{"refused": fails(retry.OutcomeDisconnected), "allowed": streams(90, 2, 2, nil)} {
		t.Run(name, func(t *testing.T) {
			b := newSetup(streams(10, 1, 2, nil), streams(modeltier.ConfidenceUnknown, 1, 1, disconnected), last, streams(90, 1, 2, nil))
			records := &simRecords{began: time.Now()}
			from, _ := records.Now()
			b.d.Poison = poison.New(poison.Options{Bus: membus.New().Join("i", "here"), FleetSize: func() int { return 1 }, Records: records, Seed: 1})
			b.servePrompt(&caller{}, 1, deadlyPart, 3)
			b.d.Poison.ApplyRecords([]refusal.Record{{Key: poison.FormatParts([]poison.Part{deadlyPart}), From: from, NextTrial: from + time.Minute, Expires: from + time.Hour}}, false)
			c := &caller{}
			b.servePrompt(c, 1, deadlyPart, 3)
			assert.Equal(t, name == "refused", c.refusal != nil, "a complete answer after the first crash rejects the record")
		})
	}
}

// TestTrialRefusedByFullServersIsGivenBack guards against a sound content that stays refused because its trial found no room.
func TestTrialRefusedByFullServersIsGivenBack(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		lost, full := fails(retry.OutcomeDisconnected), fails(retry.OutcomeNoCapacity)
		b := newSetup(lost, lost, lost, full, full, full, answers(200, "served"))
		for range 3 {
			b.serve("/book/")
			time.Sleep(time.Second)
		}
		assert.Equal(t, Quarantined, b.serve("/book/").refusal.Reason)
		b.passUntilConfirmed(30 * time.Second)
		assert.Equal(t, Overloaded, b.serve("/book/").refusal.Reason)
		assert.Equal(t, Quarantined, b.serve("/book/").refusal.Reason)
		b.passUntilConfirmed(10 * time.Second)
		assert.Equal(t, "served", b.serve("/book/").text)
		assert.True(t, b.d.Disconnects.Empty())
	})
}

// passUntilConfirmed lets time pass; the configuration stays confirmed.
func (b *setup) passUntilConfirmed(d time.Duration) {
	time.Sleep(d)
	b.state.Confirm(b.now)
}

// TestEscalationDoesNotAcquitTheContent guards against a request that crashes servers and is never refused, because the small
// model's head, which comes before the crash, counted as an answer (BUDGET).
func TestEscalationDoesNotAcquitTheContent(t *testing.T) {
	lost := fails(retry.OutcomeDisconnected)
	b := newSetup(unconfident(), lost, lost, unconfident(), lost, answers(200, "must not run"))
	for range 2 {
		b.serve("/chat/")
	}
	require.Len(t, b.script.attempts, 5)
	c := b.serve("/chat/")
	require.NotNil(t, c.refusal)
	assert.Equal(t, Quarantined, c.refusal.Reason)
	assert.Len(t, b.script.attempts, 5)
}
