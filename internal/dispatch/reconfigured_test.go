package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bootclock"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
)

// TestRequestInFlightOutlastsAChangeOfItsRoute guards against streams that are cut, and answers
// that are discarded, because a configuration that took effect meanwhile moves or drops their
// route (LOST). A key that it revokes ends them.
func TestRequestInFlightOutlastsAChangeOfItsRoute(t *testing.T) {
	lost := NewSendError(retry.OutcomeDisconnected, errTest)
	moved := routing.Route{Host: "h", Prefix: "/chat/", Kind: routing.Streaming, Targets: []routing.Target{{Service: "web", Weight: 1}}}
	holder := map[string]*routing.Account{"key": {Name: "alice"}}
	for name, c := range map[string]struct {
		config routing.Config
		first  step
		second step
		want   string
	}{
		"resumed, route moved":        {routing.Config{Routes: []routing.Route{moved}, Keys: holder}, streams(90, 1, 3, lost), streams(90, 4, 6, nil), "1 2 3 4 5 6 "},
		"resumed, route dropped":      {routing.Config{Keys: holder}, streams(90, 1, 3, lost), streams(90, 4, 6, nil), "1 2 3 4 5 6 "},
		"escalated, route moved":      {routing.Config{Routes: []routing.Route{moved}, Keys: holder}, streams(20, 1, 3, nil), streams(90, 1, 3, nil), "1 2 3 "},
		"resumed, key revoked":        {routing.Config{Routes: []routing.Route{moved}, Keys: map[string]*routing.Account{}}, streams(90, 1, 3, lost), nil, "1 2 3 "},
		"resumed, key moved":          {routing.Config{Keys: map[string]*routing.Account{"key": {Name: "bob"}}}, streams(90, 1, 3, lost), nil, "1 2 3 "},
		"not sent yet, route moved":   {routing.Config{Routes: []routing.Route{moved}, Keys: holder}, fails(retry.OutcomeConnectFailed), nil, ""},
		"refused by the first, moved": {routing.Config{Routes: []routing.Route{moved}, Keys: holder}, fails(retry.OutcomeNoCapacity), streams(90, 1, 3, nil), "1 2 3 "},
	} {
		t.Run(name, func(t *testing.T) {
			var b *setup
			b = newSetup(func(ctx context.Context, a *Attempt) (Answer, error) {
				c.config.Version = 2
				b.state.Put(routing.New(c.config))
				return c.first(ctx, a)
			})
			if c.second != nil {
				b.script.steps = append(b.script.steps, c.second)
			}
			caller := b.serve("/chat/")
			assert.Equal(t, c.want, caller.text)
			assert.Equal(t, c.second != nil, caller.ended)
			require.Len(t, b.script.attempts, len(b.script.steps))
		})
	}
}

// TestStreamIsResumedWhileTheStoreIsSilent guards against streams that are cut because the keys,
// which were confirmed when their request arrived, can't be confirmed again at the next attempt.
func TestStreamIsResumedWhileTheStoreIsSilent(t *testing.T) {
	var b *setup
	b = newSetup(func(ctx context.Context, a *Attempt) (Answer, error) {
		b.now += bootclock.Time(5 * time.Second)
		return streams(90, 1, 3, NewSendError(retry.OutcomeDisconnected, errTest))(ctx, a)
	}, streams(90, 4, 6, nil))
	caller := b.serve("/chat/")
	assert.Equal(t, "1 2 3 4 5 6 ", caller.text)
	assert.True(t, caller.ended)
	assert.Equal(t, NotConfirmed, b.serve("/chat/").refusal.Reason, "a new request")
}

// TestStreamIsResumedAfterItsServerLeftTheFleet guards against streams that are cut although a
// server could go on with them, because the server that was lost is no longer registered.
func TestStreamIsResumedAfterItsServerLeftTheFleet(t *testing.T) {
	var b *setup
	b = newSetup(func(ctx context.Context, a *Attempt) (Answer, error) {
		kept := ""
		for _, server := range b.d.Fleet.Snapshot().Servers("models") {
			if kept == "" && server.ID != a.Server.ID {
				kept = server.ID
				continue
			}
			b.d.Fleet.Remove(server.ID)
		}
		return streams(90, 1, 3, NewSendError(retry.OutcomeDisconnected, errTest))(ctx, a)
	}, streams(90, 4, 6, nil))
	caller := b.serve("/chat/")
	assert.Equal(t, "1 2 3 4 5 6 ", caller.text)
	assert.True(t, caller.ended)
	assert.Len(t, b.script.attempts, 2)
}
