package dispatch

import (
	"io"
	"strconv"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/retry"
	"github.com/basilrail/basilrail/internal/routing"
)

// invalidStream returns the error of an attempt whose server sent what can't follow in the stream.
func invalidStream(format string, args ...any) error {
	return NewSendError(retry.OutcomeServerError, errors.Errorf(format, args...)).WithLink(LinkSound)
}

// ErrInsideEvent means that a stream broke off inside an event, so that it has at least this event
// to come.
var ErrInsideEvent = errors.New("the stream broke off inside an event")

// nextEvent returns the next event that continues the caller's stream, or io.EOF after the last
// one.
func (x *exchange) nextEvent(p *placement, answer Answer) (Event, error) {
	event, err := answer.Next()
	p.isComplete = err == io.EOF
	switch {
	case err == nil:
		return event, x.checkEvent(p, event)
	case err == io.EOF && x.isEventDue:
		return event, invalidStream("the stream ended without the event in which it had broken off")
	case errors.Is(err, ErrInsideEvent):
		x.isEventDue = true
	}
	return event, err
}

// checkEvent returns an error for an event that doesn't follow the last one that the caller has
// received: the server began again, its event has another place in the stream, or its text is no
// event.
func (x *exchange) checkEvent(p *placement, e Event) error {
	switch {
	case x.route.Kind != routing.Streaming:
		return nil
	case e.IsMalformed:
		return invalidStream("the stream holds a line that no event has")
	case e.IsEmpty:
		return nil
	case e.ID == "":
		return invalidStream("an event of the stream has no id")
	}
	last := x.lastEvent
	if last == "" && x.route.Resumable {
		last = x.req.ResumeAfter
	}
	// Only the server that assigns ids which are no numbers knows their order.
	isOrderKnown := p.hasDelivered || x.lastEvent == ""
	if last != "" && !follows(e.ID, last, isOrderKnown) {
		return invalidStream("event %q of the stream doesn't follow event %q", e.ID, last)
	}
	return nil
}

// follows reports whether an event has a later place in its stream than another one. Where an id is
// no number, every other id does if the order of the events is known to be right.
func follows(id, last string, isOrderKnown bool) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return isOrderKnown && id != last
	}
	return number > lastNumber
}
