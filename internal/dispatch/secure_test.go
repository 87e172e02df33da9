package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/brittle"
	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/modeltier"
	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
)

// silentAnswer is a stream whose server falls silent after some events: the transport asks
// MayEnd, delivers the late events that had arrived, and then ends the attempt if it may, or else
// the stream.
type silentAnswer struct {
	fakeAnswer
	attempt *Attempt
	late    []Event
	mayEnd  *bool
}

func (s *silentAnswer) Next() (Event, error) {
	if len(s.events) == 0 && s.mayEnd == nil {
		mayEnd := s.attempt.MayEnd()
		s.mayEnd = &mayEnd
		s.events = s.late
	}
	event, err := s.fakeAnswer.Next()
	if err == io.EOF && *s.mayEnd {
		return event, NewSendError(retry.OutcomeTimeout, errTest)
	}
	return event, err
}

// fallsSilent answers with the events 1 and 2, falls silent, and goes on with the event 3. It
// stores whether the attempt might end.
func fallsSilent(mayEnd *bool) step {
	return func(_ context.Context, a *Attempt) (Answer, error) {
		answer := &silentAnswer{attempt: a, late: []Event{{ID: "3", Raw: []byte("3 ")}}, mayEnd: nil}
		answer.head = Head{Status: http.StatusOK, Stream: true, Confidence: 90}
		answer.events = []Event{{ID: "1", Raw: []byte("1 ")}, {ID: "2", Raw: []byte("2 ")}}
		return &recordedAnswer{answer, mayEnd}, nil
	}
}

type recordedAnswer struct {
	*silentAnswer
	recorded *bool
}

func (r *recordedAnswer) Close() {
	if r.mayEnd != nil {
		*r.recorded = *r.mayEnd
	}
}

// TestSilentServerIsGivenUpOnlyForAnother guards against streams that are cut because their
// server is silent while no other server can go on with them.
func TestSilentServerIsGivenUpOnlyForAnother(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(b *setup)
		want    bool
	}{
		"another server":      {func(*setup) {}, true},
		"no retry budget":     {func(b *setup) { b.d.Budgets = newBudgets(0) }, false},
		"all others ejected":  {func(b *setup) { b.eject(func(int) bool { return true }) }, false},
		"one other available": {func(b *setup) { b.eject(func(i int) bool { return i > 1 }) }, true},
		"key revoked": {func(b *setup) {
			b.script.steps[0] = afterSending(b.script.steps[0], func() {
				b.keys = map[string]*routing.Account{}
				b.putTable(2)
			})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			mayEnd := false
			b := newSetup(fallsSilent(&mayEnd), streams(90, 4, 6, nil))
			c.prepare(b)
			caller := b.serve("/chat/")
			assert.Equal(t, c.want, mayEnd)
			assert.True(t, caller.ended)
			if !c.want {
				assert.Equal(t, "1 2 3 ", caller.text)
				assert.Len(t, b.script.attempts, 1)
				return
			}
			assert.Equal(t, "1 2 3 4 5 6 ", caller.text)
			require.Len(t, b.script.attempts, 2)
			assert.Equal(t, "3", b.script.attempts[1].ResumeAfter, "an event that arrived while the next server was chosen is not sent twice")
			assert.NotEqual(t, b.script.attempts[0].Server.ID, b.script.attempts[1].Server.ID)
		})
	}
}

// TestStreamOfAGivenUpServerGoesOn guards against streams that are cut because the server that was
// to go on in place of a silent one does not take them. Further requests earn repeats.
func TestStreamOfAGivenUpServerGoesOn(t *testing.T) {
	linkLost := func(context.Context, *Attempt) (Answer, error) {
		return nil, NewSendError(retry.OutcomeConnectFailed, errTest).WithLink(LinkLost)
	}
	last := streams(90, 4, 6, nil)
	for name, c := range map[string]struct {
		steps   []step
		budget  int
		servers int
	}{
		"refused":                         {[]step{fails(retry.OutcomeNoCapacity), last}, 1, 5},
		"draining":                        {[]step{fails(retry.OutcomeDraining), last}, 1, 5},
		"disconnected":                    {[]step{fails(retry.OutcomeDisconnected), last}, 1, 5},
		"refused by all that are allowed": {[]step{fails(retry.OutcomeNoCapacity), fails(retry.OutcomeNoCapacity), last}, 100, 5},
		"refused by the only other one":   {[]step{fails(retry.OutcomeNoCapacity), last}, 100, 2},
		"links lost":                      {[]step{linkLost, last}, 100, 5},
		"connect failed four times":       {[]step{fails(retry.OutcomeConnectFailed), fails(retry.OutcomeConnectFailed), fails(retry.OutcomeConnectFailed), fails(retry.OutcomeConnectFailed), last}, 100, 5},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				mayEnd := false
				b := newSetup(append([]step{fallsSilent(&mayEnd)}, c.steps...)...)
				for b.d.Budgets.Take("models") {
				}
				for range c.budget {
					b.d.Budgets.Return("models")
				}
				for _, server := range b.d.Fleet.Snapshot().Servers("models")[c.servers:] {
					b.d.Fleet.Remove(server.ID)
				}
				time.AfterFunc(time.Second, func() {
					for range 3 {
						b.d.Budgets.Request("models")
					}
				})
				caller := b.serve("/chat/")
				require.True(t, mayEnd)
				assert.Equal(t, "1 2 3 4 5 6 ", caller.text)
				assert.True(t, caller.ended)
				asked := make(map[string]bool)
				for _, a := range b.script.attempts {
					asked[a.Server.ID] = true
				}
				if name != "connect failed four times" {
					assert.LessOrEqual(t, len(asked), 3, "max_attempts servers are sent the request")
				}
			})
		})
	}
}

// afterSending runs f once an attempt was sent.
func afterSending(s step, f func()) step {
	return func(ctx context.Context, a *Attempt) (Answer, error) {
		f()
		return s(ctx, a)
	}
}

// eject ejects the model servers with the indices that isEjected selects.
func (b *setup) eject(isEjected func(i int) bool) {
	b.script.steps[0] = afterSending(b.script.steps[0], func() {
		sent := b.script.attempts[0].Server.ID
		i := 0
		for _, server := range b.d.Fleet.Snapshot().Servers("models") {
			if server.ID == sent {
				continue
			}
			if isEjected(i) {
				server.RecordUnresponsive(time.Now())
			}
			i++
		}
	})
}

// TestRepeatThatWasNotNeededReturnsToTheBudget guards against a budget that is used up by answers
// which arrive while the next server is chosen.
func TestRepeatThatWasNotNeededReturnsToTheBudget(t *testing.T) {
	b := newSetup()
	b.d.Budgets = newBudgets(1)
	for b.d.Budgets.Take("models") {
	}
	b.d.Budgets.Return("models")
	for range 5 {
		b.script.steps = append(b.script.steps, func(_ context.Context, a *Attempt) (Answer, error) {
			assert.True(t, a.MayEnd())
			// As the transport does: a report of the silence that comes later must not eject it.
			a.Server.RecordReceived()
			return &fakeAnswer{head: Head{Status: http.StatusOK, Confidence: modeltier.ConfidenceUnknown}, body: "ok"}, nil
		})
		assert.Equal(t, "ok", b.serve("/chat/").text)
	}
	assert.Len(t, b.script.attempts, 5)
}

// usedUpLimits allow a number of requests.
type usedUpLimits struct {
	noLimits
	left int
}

func (l *usedUpLimits) MaySend(string) bool { return l.left > 0 }

func (l *usedUpLimits) Take(string, time.Time) (*brittle.Slot, bool) {
	l.left--
	return nil, l.left >= 0
}

// TestAnswerIsNotDiscardedForAModelThatCannotBeAsked guards against answers that are replaced by
// a refusal: they were discarded to ask a larger model, and then no server took the request.
func TestAnswerIsNotDiscardedForAModelThatCannotBeAsked(t *testing.T) {
	b := newSetup(streams(20, 1, 2, nil), streams(90, 1, 2, nil))
	b.d.Limits = &usedUpLimits{left: 1}
	c := b.serve("/chat/")
	assert.Nil(t, c.refusal)
	assert.Equal(t, "1 2 ", c.text)
	assert.Len(t, b.script.attempts, 1)
}
