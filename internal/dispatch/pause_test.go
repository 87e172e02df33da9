package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/retry"
)

// pauseAll makes all servers of a service ask for a pause.
func (b *setup) pauseAll(service string, d time.Duration) {
	for _, server := range b.d.Fleet.Snapshot().Servers(service) {
		b.d.Fleet.Pause(server, d)
	}
}

// pauses refuses a request and asks for a pause.
func (b *setup) pauses(d time.Duration) step {
	return func(_ context.Context, a *Attempt) (Answer, error) {
		b.d.Fleet.Pause(a.Server, d)
		return nil, NewSendError(retry.OutcomeNoCapacity, errTest)
	}
}

func TestPausedServerGetsNoFurtherAttempt(t *testing.T) {
	b := newSetup()
	b.script.steps = []step{b.pauses(time.Minute), answers(200, "ok")}
	assert.Equal(t, "ok", b.serve("/read/").text)
	paused := b.script.attempts[0].Server.ID
	for range 40 {
		b.script.steps = append(b.script.steps, answers(200, "ok"))
		b.serve("/read/")
	}
	for _, a := range b.script.attempts[1:] {
		assert.NotEqual(t, paused, a.Server.ID)
	}
}

// TestEjectedServersAreUsedBeforePausedOnes: a pause is never overridden for lack of
// other servers.
func TestEjectedServersAreUsedBeforePausedOnes(t *testing.T) {
	b := newSetup(answers(200, "ok"))
	servers := b.d.Fleet.Snapshot().Servers("web")
	for i, server := range servers {
		if i == 0 {
			server.RecordUnresponsive(time.Now())
			continue
		}
		b.d.Fleet.Pause(server, time.Minute)
	}
	assert.Equal(t, "ok", b.serve("/read/").text)
	assert.Equal(t, servers[0].ID, b.script.attempts[0].Server.ID)
}

func TestRequestThatCannotWaitForThePauseIsRefusedAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newSetup()
		b.pauseAll("web", 3*time.Second)
		began := time.Now()
		c := b.serve("/read/")
		assert.Zero(t, time.Since(began))
		require.NotNil(t, c.refusal)
		assert.Equal(t, ServersPaused, c.refusal.Reason)
		assert.Equal(t, apierror.NotRun, c.refusal.Execution)
		assert.GreaterOrEqual(t, c.refusal.RetryAfter, 3*time.Second, "before that it would be refused again")
		assert.LessOrEqual(t, c.refusal.RetryAfter, 3*time.Second+returnSpread)
		assert.Empty(t, b.script.attempts)
	})
}

// TestRequestsWaitForThePauseInOrder covers servers that shed a burst: the requests that
// can be served after the pause keep their order and do not return all at once.
func TestRequestsWaitForThePauseInOrder(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		const pause = 600 * time.Millisecond
		b := newSetup()
		var mu sync.Mutex
		var order []string
		var sentAt []time.Duration
		began := time.Now()
		for range 30 {
			b.script.steps = append(b.script.steps, func(_ context.Context, a *Attempt) (Answer, error) {
				mu.Lock()
				defer mu.Unlock()
				order, sentAt = append(order, a.Request.ID), append(sentAt, time.Since(began))
				return answers(200, "ok")(context.Background(), a)
			})
		}
		b.pauseAll("web", pause)
		var want []string
		var group sync.WaitGroup
		for i := range 20 {
			id := string(rune('a' + i))
			want = append(want, id)
			group.Go(func() {
				c := &caller{}
				b.d.Serve(t.Context(), &Request{ID: id, Host: "h", Path: "/read/", Key: "key", Arrived: time.Now()}, c)
				assert.Equal(t, "ok", c.text)
			})
			time.Sleep(time.Millisecond)
		}
		group.Wait()
		assert.Equal(t, want, order)
		assert.GreaterOrEqual(t, sentAt[0], pause)
		for i := 1; i < len(sentAt); i++ {
			assert.GreaterOrEqual(t, sentAt[i]-sentAt[i-1], pauseEndSpacing)
		}
		assert.Less(t, sentAt[19], pause+pauseCheckInterval+20*pauseEndSpacing)
	})
}

// TestWaitingRequestsAreRefusedWhenThePauseIsExtended: no request is held that can no
// longer be served in time.
func TestWaitingRequestsAreRefusedWhenThePauseIsExtended(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newSetup()
		b.pauseAll("web", 500*time.Millisecond)
		began := time.Now()
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() {
				c := b.serve("/read/")
				assert.Equal(t, ServersPaused, c.refusal.Reason)
				assert.Less(t, time.Since(began), 400*time.Millisecond)
			})
		}
		time.Sleep(200 * time.Millisecond)
		b.pauseAll("web", 5*time.Second)
		group.Wait()
		assert.Zero(t, b.d.queue("web").Len())
	})
}

func TestCallerThatLeavesWhileWaitingFreesItsPlace(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newSetup(answers(200, "ok"))
		b.pauseAll("web", 500*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		gone := &caller{}
		go b.serveTo(ctx, "/read/", gone)
		time.Sleep(10 * time.Millisecond)
		next := &caller{}
		go b.serveTo(t.Context(), "/read/", next)
		time.Sleep(100 * time.Millisecond)
		cancel()
		time.Sleep(600 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, CallerGone, gone.refusal.Reason)
		assert.Equal(t, "ok", next.text)
	})
}

// TestLeavingServerGetsNothingFromAnyPath covers retries and resumed streams after an
// announcement on the first answer.
func TestLeavingServerGetsNothingFromAnyPath(t *testing.T) {
	b := newSetup()
	leaves := func(next step) step {
		return func(ctx context.Context, a *Attempt) (Answer, error) {
			b.d.Fleet.MarkLeaving(a.Server.ID, a.Server.Registration.Started)
			return next(ctx, a)
		}
	}
	disconnected := NewSendError(retry.OutcomeDisconnected, errTest)
	b.script.steps = []step{leaves(streams(90, 1, 3, disconnected)), streams(90, 4, 6, nil)}
	assert.Equal(t, "1 2 3 4 5 6 ", b.serve("/chat/").text)
	leaving := b.script.attempts[0].Server.ID
	assert.NotEqual(t, leaving, b.script.attempts[1].Server.ID)
	for range 40 {
		b.script.steps = append(b.script.steps, streams(90, 1, 3, nil))
		b.serve("/chat/")
	}
	for _, a := range b.script.attempts[1:] {
		assert.NotEqual(t, leaving, a.Server.ID)
	}
	left, _ := b.d.Fleet.Snapshot().Server(leaving)
	for _, server := range b.d.Fleet.Snapshot().Servers("models") {
		if server.ID != left.ID {
			b.d.Fleet.Put(fleet.Registration{ID: server.ID, Service: "models", Draining: true})
		}
	}
	assert.Equal(t, NoServer, b.serve("/chat/").refusal.Reason, "also if no other server is left")
}
