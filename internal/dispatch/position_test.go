package dispatch

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/basilrail/basilrail/internal/retry"
)

// streamOf answers with a stream of events with the ids, and then ends it or fails with err.
func streamOf(err error, ids ...string) step {
	return func(context.Context, *Attempt) (Answer, error) {
		a := &fakeAnswer{head: Head{Status: http.StatusOK, Stream: true, Confidence: 90}, err: err}
		for _, id := range ids {
			a.events = append(a.events, Event{ID: id, Raw: []byte(id + " ")})
		}
		return a, nil
	}
}

// TestEventsThatDoNotFollowAreNotDelivered guards against pieces of a stream that come twice or out
// of order (ORDER).
func TestEventsThatDoNotFollowAreNotDelivered(t *testing.T) {
	broken := NewSendError(retry.OutcomeDisconnected, errTest)
	for name, c := range map[string]struct {
		path    string
		steps   []step
		text    string
		isWhole bool
	}{
		"begins again":                    {"/chat/", []step{streamOf(broken, "1", "2"), streamOf(nil, "1", "2", "3")}, "1 2 ", false},
		"repeats the last one":            {"/chat/", []step{streamOf(broken, "1", "2"), streamOf(nil, "2", "3"), streamOf(nil, "3")}, "1 2 3 ", true},
		"skips one":                       {"/chat/", []step{streamOf(broken, "1", "2"), streamOf(nil, "4")}, "1 2 4 ", true},
		"more digits":                     {"/chat/", []step{streamOf(broken, "9"), streamOf(nil, "10")}, "9 10 ", true},
		"ids that are no numbers":         {"/chat/", []step{streamOf(nil, "a", "b", "a1")}, "a b a1 ", true},
		"no numbers, repeated":            {"/chat/", []step{streamOf(nil, "a", "a"), streamOf(nil)}, "a ", true},
		"no numbers, resumed":             {"/chat/", []step{streamOf(broken, "a"), streamOf(nil, "b")}, "a ", false},
		"a number after none":             {"/chat/", []step{streamOf(broken, "a"), streamOf(nil, "2")}, "a ", false},
		"a stream that can't be resumed":  {"/once/", []step{streamOf(nil, "1", "2", "1")}, "1 2 ", false},
		"a call that answers with events": {"/read/", []step{streamOf(nil, "1", "1")}, "1 1 ", true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newSetup(c.steps...)
			got := b.serve(c.path)
			assert.Equal(t, c.text, got.text)
			assert.Equal(t, c.isWhole, got.ended)
			assert.Equal(t, !c.isWhole, got.aborted)
			assert.Nil(t, got.refusal)
		})
	}
}

// TestStreamEndsAfterAnEventThatBrokeOff guards against a stream that ends as complete although the
// event inside which it broke off is missing (ORDER).
func TestStreamEndsAfterAnEventThatBrokeOff(t *testing.T) {
	inside := NewSendError(retry.OutcomeDisconnected, ErrInsideEvent)
	for name, c := range map[string]struct {
		path    string
		steps   []step
		text    string
		isWhole bool
	}{
		"nothing follows":                 {"/chat/", []step{streamOf(inside, "1"), streamOf(nil)}, "1 ", false},
		"it follows":                      {"/chat/", []step{streamOf(inside, "1"), streamOf(nil, "2")}, "1 2 ", true},
		"it follows the third time":       {"/chat/", []step{streamOf(inside, "1"), streamOf(nil), streamOf(nil, "2")}, "1 2 ", true},
		"it breaks off again":             {"/chat/", []step{streamOf(inside, "1"), streamOf(inside, "2"), streamOf(nil)}, "1 2 ", false},
		"a call that answers with events": {"/read/", []step{streamOf(inside), streamOf(nil, "")}, " ", true},
	} {
		t.Run(name, func(t *testing.T) {
			got := newSetup(c.steps...).serve(c.path)
			assert.Equal(t, c.text, got.text)
			assert.Equal(t, c.isWhole, got.ended)
			assert.Equal(t, !c.isWhole, got.aborted)
			assert.Nil(t, got.refusal)
		})
	}
}

// TestStartedStreamIsNotEscalated guards against a stream that begins again with a larger model, as
// the server that resumes it has little confidence (ORDER).
func TestStartedStreamIsNotEscalated(t *testing.T) {
	b := newSetup(streams(90, 1, 2, NewSendError(retry.OutcomeDisconnected, errTest)), streams(1, 3, 4, nil), streams(90, 1, 4, nil))
	got := b.serve("/chat/")
	assert.Equal(t, "1 2 3 4 ", got.text)
	assert.True(t, got.ended)
	assert.Len(t, b.script.attempts, 2)
	assert.Equal(t, b.script.attempts[0].Model, b.script.attempts[1].Model)
}

// TestFailureOfAnEarlierServerStaysOutOfTheStream guards against the error of a server in the stream
// of the one that answered after it, when that stream breaks off (MIXED).
func TestFailureOfAnEarlierServerStaysOutOfTheStream(t *testing.T) {
	broken := NewSendError(retry.OutcomeDisconnected, errTest)
	for name, steps := range map[string][]step{
		"before":         {answers(500, "error"), streams(90, 1, 2, broken)},
		"before, after":  {answers(500, "error"), streams(90, 1, 2, broken), answers(503, "error")},
		"after":          {streams(90, 1, 2, broken), answers(500, "error")},
		"after, refused": {streams(90, 1, 2, broken), fails(retry.OutcomeNoCapacity), answers(404, "error")},
		"rejected":       {streams(90, 1, 2, broken), fails(retry.OutcomeRejected)},
	} {
		t.Run(name, func(t *testing.T) {
			got := newSetup(steps...).serve("/chat/")
			assert.Equal(t, "1 2 ", got.text)
			assert.Equal(t, http.StatusOK, got.status)
			assert.True(t, got.aborted)
			assert.False(t, got.ended)
			assert.Nil(t, got.refusal)
		})
	}
}
