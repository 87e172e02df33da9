package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/bootclock"
	"github.com/basilrail/basilrail/internal/brittle"
	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/metrics"
	"github.com/basilrail/basilrail/internal/modeltier"
	"github.com/basilrail/basilrail/internal/peers/membus"
	"github.com/basilrail/basilrail/internal/quarantine"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
)

var errTest = errors.New("test")

// script is a Transport that answers the attempts with its steps, in order.
type script struct {
	mu       sync.Mutex
	steps    []func(ctx context.Context, a *Attempt) (Answer, error)
	attempts []*Attempt
}

func (s *script) Send(ctx context.Context, a *Attempt) (Answer, error) {
	s.mu.Lock()
	n := len(s.attempts)
	s.attempts = append(s.attempts, a)
	s.mu.Unlock()
	if n >= len(s.steps) {
		return nil, NewSendError(retry.OutcomeConnectFailed, errTest)
	}
	return s.steps[n](ctx, a)
}

// fakeAnswer is an in-memory answer; err ends its body or stream.
type fakeAnswer struct {
	head   Head
	body   string
	events []Event
	err    error
}

func (f *fakeAnswer) Head() Head { return f.head }
func (f *fakeAnswer) Close()     {}

func (f *fakeAnswer) Keep() (release func()) { return func() {} }

func (f *fakeAnswer) Body() ([]byte, error) { return []byte(f.body), f.err }

func (f *fakeAnswer) Next() (Event, error) {
	if len(f.events) == 0 {
		if f.err != nil {
			return Event{}, f.err
		}
		return Event{}, io.EOF
	}
	e := f.events[0]
	f.events = f.events[1:]
	return e, nil
}

type step = func(context.Context, *Attempt) (Answer, error)

func fails(outcome retry.Outcome) step {
	return func(context.Context, *Attempt) (Answer, error) { return nil, NewSendError(outcome, errTest) }
}

func answers(status int, body string) step {
	return func(context.Context, *Attempt) (Answer, error) {
		return &fakeAnswer{head: Head{Status: status, Confidence: modeltier.ConfidenceUnknown}, body: body}, nil
	}
}

// streams answers with the events from one id to another, and then ends the stream
// or fails with err.
func streams(confidence, from, to int, err error) step {
	return func(context.Context, *Attempt) (Answer, error) {
		a := &fakeAnswer{head: Head{Status: http.StatusOK, Stream: true, Confidence: confidence}, err: err}
		for i := from; i <= to; i++ {
			a.events = append(a.events, Event{ID: strconv.Itoa(i), Raw: []byte(strconv.Itoa(i) + " ")})
		}
		return a, nil
	}
}

// caller is a Responder that records what the caller receives.
type caller struct {
	status       int
	text         string
	ended        bool
	aborted      bool
	refusal      *Refusal
	disconnected bool
}

func (c *caller) Deliver(head Head, body []byte) error {
	c.status, c.text, c.ended = head.Status, string(body), true
	return nil
}

func (c *caller) Begin(head Head) error { c.status = head.Status; return nil }

func (c *caller) Event(e Event) error {
	if c.disconnected {
		return errTest
	}
	c.text += string(e.Raw)
	return nil
}

func (c *caller) End() error       { c.ended = true; return nil }
func (c *caller) Abort()           { c.aborted = true }
func (c *caller) Refuse(r Refusal) { c.refusal = &r }

type noReleases struct{}

func (noReleases) Choose(string, string) string      { return "" }
func (noReleases) IsWithdrawn(string, string) bool   { return false }
func (noReleases) Alternative(string, string) string { return "" }
func (noReleases) Packs(string, string) bool         { return false }
func (noReleases) Observe(Observation)               {}

// noLimits has no limits.
type noLimits struct{}

func (noLimits) MaySend(string) bool                          { return true }
func (noLimits) Next(string) time.Duration                    { return 0 }
func (noLimits) Take(string, time.Time) (*brittle.Slot, bool) { return nil, true }
func (noLimits) Rejected(*fleet.Server)                       {}

// newBudgets returns budgets that allow so many retries a service.
func newBudgets(retries int) *retry.Budgets {
	b := retry.NewBudgets(retry.Limit{Ratio: 0.5, Slack: float64(10 * retries), Window: 10 * time.Second}, func() int { return 8 })
	for _, service := range []string{"web", "models"} {
		for range 4 * retries {
			b.Request(service)
		}
	}
	return b
}

type setup struct {
	state  *routing.State
	script *script
	d      *Dispatcher
	now    bootclock.Time
	keys   map[string]*routing.Account
	// services are those of the configuration.
	services []routing.Service
}

func newSetup(steps ...step) *setup {
	b := &setup{now: bootclock.Time(time.Hour), script: &script{steps: steps}}
	b.keys = map[string]*routing.Account{"key": {Name: "alice"}}
	b.state = routing.NewState(func() bootclock.Time { return b.now }, 4*time.Second)
	b.putTable(1)
	b.state.Confirm(b.now)
	set := fleet.NewSet("here", nil)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		for _, service := range []string{"models", "web"} {
			set.Put(fleet.Registration{ID: service + id, Service: service, Address: id + ":1", FailureDomain: "here", Slots: 4})
		}
	}
	b.d = New(Options{
		Routing: b.state, Fleet: set, Transport: b.script, Releases: noReleases{},
		Disconnects: quarantine.NewDisconnectTracker(quarantine.DisconnectOptions{Bus: membus.New().Join("i", "here")}),
		Limits:      noLimits{}, Budgets: newBudgets(100), FailureDomain: "here", Seed: 1, Metrics: metrics.New(metrics.Sources{}),
	})
	return b
}

func (b *setup) putTable(version uint64) {
	to := func(service string) []routing.Target { return []routing.Target{{Service: service, Weight: 1}} }
	b.state.Put(routing.New(routing.Config{
		Version: version,
		Keys:    b.keys, Services: b.services,
		Routes: []routing.Route{
			{Host: "h", Prefix: "/read/", Kind: routing.Idempotent, Timeout: time.Second, TargetLatency: 100 * time.Millisecond, MaxAttempts: 2, Targets: to("web")},
			{Host: "h", Prefix: "/book/", Kind: routing.NonIdempotent, Timeout: time.Second, MaxAttempts: 3, Targets: to("web")},
			{
				Host: "h", Prefix: "/chat/", Kind: routing.Streaming, Resumable: true, CarriesPrompt: true, Timeout: 10 * time.Second,
				TargetLatency: time.Second, MaxEventGap: time.Second, MaxAttempts: 3, Models: []string{"small", "mid", "large"}, Targets: to("models"),
			},
			{Host: "h", Prefix: "/once/", Kind: routing.Streaming, Timeout: 10 * time.Second, MaxAttempts: 3, Targets: to("models")},
		},
	}))
}

func (b *setup) serve(path string) *caller {
	c := &caller{}
	b.serveTo(context.Background(), path, c)
	return c
}

func (b *setup) serveTo(ctx context.Context, path string, c *caller) {
	b.d.Serve(ctx, &Request{ID: "id", Host: "h", Path: path, Key: "key", Arrived: time.Now(), AnyModel: true}, c)
}

func TestNonIdempotentCallIsNotRetriedIfItMayHaveRun(t *testing.T) {
	for _, outcome := range []retry.Outcome{retry.OutcomeDisconnected, retry.OutcomeTimeout} {
		b := newSetup(fails(outcome), answers(200, "twice"))
		c := b.serve("/book/")
		assert.Len(t, b.script.attempts, 1)
		require.NotNil(t, c.refusal)
		assert.Equal(t, apierror.MayHaveRun, c.refusal.Execution)
	}
}

func TestNonIdempotentCallIsRetriedIfItDidNotRun(t *testing.T) {
	for _, outcome := range []retry.Outcome{retry.OutcomeConnectFailed, retry.OutcomeNotSent, retry.OutcomeNoCapacity, retry.OutcomeDraining} {
		b := newSetup(fails(outcome), answers(200, "ok"))
		assert.Equal(t, "ok", b.serve("/book/").text, outcome.String())
		assert.NotEqual(t, b.script.attempts[0].Server.ID, b.script.attempts[1].Server.ID)
	}
}

func TestRefusalReportsNotRunOnlyIfNothingRan(t *testing.T) {
	b := newSetup(fails(retry.OutcomeNoCapacity), fails(retry.OutcomeNoCapacity), fails(retry.OutcomeNoCapacity))
	c := b.serve("/book/")
	require.NotNil(t, c.refusal)
	assert.Equal(t, apierror.NotRun, c.refusal.Execution)
	assert.Positive(t, c.refusal.RetryAfter)
	assert.Len(t, b.script.attempts, 3, "max_attempts servers")

	b = newSetup(fails(retry.OutcomeDisconnected), fails(retry.OutcomeNoCapacity))
	c = b.serve("/read/")
	require.NotNil(t, c.refusal)
	assert.Equal(t, apierror.MayHaveRun, c.refusal.Execution, "the first attempt may have run")
}

func TestServerFailureIsDeliveredIfNoOtherServerAnswers(t *testing.T) {
	b := newSetup(answers(500, "first"), answers(200, "second"))
	assert.Equal(t, "second", b.serve("/read/").text)
	b = newSetup(answers(500, "first"), fails(retry.OutcomeDisconnected))
	c := b.serve("/read/")
	assert.Equal(t, 500, c.status)
	assert.Equal(t, "first", c.text)
	b = newSetup(answers(500, "booked?"), answers(200, "again"))
	assert.Equal(t, "booked?", b.serve("/book/").text, "a non-idempotent call is not repeated")
}

func TestStreamResumesOnAnotherServer(t *testing.T) {
	disconnected := NewSendError(retry.OutcomeDisconnected, errTest)
	b := newSetup(streams(90, 1, 3, disconnected), streams(90, 4, 6, nil))
	c := b.serve("/chat/")
	assert.Equal(t, "1 2 3 4 5 6 ", c.text)
	assert.True(t, c.ended)
	assert.Equal(t, "3", b.script.attempts[1].ResumeAfter)
	assert.Equal(t, b.script.attempts[0].Model, b.script.attempts[1].Model, "the same model resumes the stream")
}

func TestNonResumableStreamIsAborted(t *testing.T) {
	b := newSetup(streams(modeltier.ConfidenceUnknown, 1, 2, NewSendError(retry.OutcomeDisconnected, errTest)), streams(90, 3, 4, nil))
	c := b.serve("/once/")
	assert.Equal(t, "1 2 ", c.text)
	assert.True(t, c.aborted)
	assert.False(t, c.ended)
	assert.Len(t, b.script.attempts, 1)
}

func TestLowConfidenceAnswerEscalatesToLargestModel(t *testing.T) {
	b := newSetup(streams(20, 1, 2, nil), streams(30, 1, 2, nil))
	c := b.serve("/chat/")
	assert.Equal(t, "1 2 ", c.text, "only the larger model's answer is delivered")
	assert.Equal(t, "small", b.script.attempts[0].Model)
	assert.Equal(t, "large", b.script.attempts[1].Model)
	b = newSetup(streams(80, 1, 2, nil))
	b.serve("/chat/")
	assert.Len(t, b.script.attempts, 1)
}

func TestKeyRevokedBetweenAttemptsPreventsRetry(t *testing.T) {
	var b *setup
	b = newSetup(func(context.Context, *Attempt) (Answer, error) {
		b.keys = map[string]*routing.Account{"other": {Name: "bob"}}
		b.putTable(2)
		return nil, NewSendError(retry.OutcomeDisconnected, errTest)
	}, answers(200, "must not run"))
	c := b.serve("/read/")
	require.NotNil(t, c.refusal)
	assert.Len(t, b.script.attempts, 1)
}

func TestUnconfirmedConfigurationRefusesKeys(t *testing.T) {
	b := newSetup(answers(200, "ok"))
	b.now += bootclock.Time(5 * time.Second)
	c := b.serve("/read/")
	require.NotNil(t, c.refusal)
	assert.Equal(t, NotConfirmed, c.refusal.Reason)
	assert.Equal(t, apierror.NotRun, c.refusal.Execution)
	assert.Empty(t, b.script.attempts)
}

func TestRouteTimeoutEndsTheRequest(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		b := newSetup(func(ctx context.Context, _ *Attempt) (Answer, error) {
			<-ctx.Done()
			return nil, NewSendError(retry.OutcomeTimeout, ctx.Err())
		})
		started := time.Now()
		c := b.serve("/book/")
		assert.Equal(t, time.Second, time.Since(started))
		require.NotNil(t, c.refusal)
		assert.Equal(t, TimedOut, c.refusal.Reason)
		assert.Equal(t, apierror.MayHaveRun, c.refusal.Execution)
	})
}

func TestCallerDisconnectEndsAttempts(t *testing.T) {
	b := newSetup(streams(90, 1, 3, nil), streams(90, 1, 3, nil))
	c := &caller{disconnected: true}
	b.serveTo(context.Background(), "/chat/", c)
	assert.Len(t, b.script.attempts, 1)

	ctx, cancel := context.WithCancel(context.Background())
	b = newSetup(func(context.Context, *Attempt) (Answer, error) {
		cancel()
		return nil, NewSendError(retry.OutcomeCallerGone, errTest)
	}, answers(200, "late"))
	b.serveTo(ctx, "/read/", &caller{})
	assert.Len(t, b.script.attempts, 1)
}

func TestRetryBudgetLimitsAttempts(t *testing.T) {
	b := newSetup()
	b.d.Budgets = newBudgets(1)
	b.script.steps = []step{fails(retry.OutcomeDisconnected), fails(retry.OutcomeDisconnected), fails(retry.OutcomeDisconnected), fails(retry.OutcomeDisconnected)}
	b.serve("/read/")
	b.serve("/read/")
	assert.Len(t, b.script.attempts, 3, "the budget allowed one retry")
}

func TestUnknownRouteAndKey(t *testing.T) {
	b := newSetup()
	assert.Equal(t, NoRoute, b.serve("/nothing").refusal.Reason)
	c := &caller{}
	b.d.Serve(context.Background(), &Request{Host: "h", Path: "/read/", Key: "stolen", Arrived: time.Now()}, c)
	assert.Equal(t, BadKey, c.refusal.Reason)
}

func TestContentIsRefusedAfterThreeDisconnects(t *testing.T) {
	disconnected := fails(retry.OutcomeDisconnected)
	b := newSetup(disconnected, disconnected, disconnected, answers(200, "must not run"))
	for range 2 {
		b.serve("/read/")
	}
	c := b.serve("/read/")
	require.NotNil(t, c.refusal)
	assert.Equal(t, Quarantined, c.refusal.Reason)
	assert.Equal(t, apierror.NotRun, c.refusal.Execution)
	assert.Len(t, b.script.attempts, 3)
}

func TestAnsweredContentIsNotTracked(t *testing.T) {
	disconnected := fails(retry.OutcomeDisconnected)
	b := newSetup(disconnected, answers(200, "ok"), disconnected, answers(500, "ran"), answers(200, "ok"))
	b.serve("/read/")
	assert.True(t, b.d.Disconnects.Empty())
	b.serve("/read/")
	assert.True(t, b.d.Disconnects.Empty(), "a failure response is an answer")
}

// oneWithdrawn selects the release "good"; the release "bad" is withdrawn.
type oneWithdrawn struct{ noReleases }

func (oneWithdrawn) Choose(string, string) string       { return "good" }
func (oneWithdrawn) IsWithdrawn(_, release string) bool { return release == "bad" }

// TestWithdrawnReleaseGetsNoRequestWhenTheOtherHasNoServer guards against a bad release
// that serves whatever finds no server of the good one.
func TestWithdrawnReleaseGetsNoRequestWhenTheOtherHasNoServer(t *testing.T) {
	b := newSetup(answers(200, "served"))
	b.d.Releases = oneWithdrawn{}
	put := func(release string) {
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			b.d.Fleet.Put(fleet.Registration{ID: "web" + id, Service: "web", Address: id + ":1", FailureDomain: "here", Slots: 4, Release: release})
		}
	}
	put("bad")
	c := b.serve("/read/")
	require.NotNil(t, c.refusal)
	assert.Equal(t, NoServer, c.refusal.Reason)
	assert.Equal(t, apierror.NotRun, c.refusal.Execution)
	assert.Positive(t, c.refusal.RetryAfter)
	assert.Empty(t, b.script.attempts)

	put("third")
	assert.Nil(t, b.serve("/read/").refusal, "served by a release that is neither selected nor withdrawn")
}
