package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/cascade"
	"github.com/basilrail/basilrail/internal/settings"
	"github.com/basilrail/basilrail/internal/statechart"
	"github.com/basilrail/basilrail/internal/tracing"
)

// chunkObject is the object name of a streamed event.
const chunkObject = "chat.completion.chunk"

// maxResumes bounds how often one stream is resumed.
const maxResumes = 2

// errCallerGone is the cause for a stream that its caller left.
var errCallerGone = errors.New("the caller went away")

// limitTime bounds the request by its deadline. A stream must begin by the
// deadline and then has the stream time.
func (c *chat) limitTime(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := time.Until(c.deadline)
	if c.req.stream {
		return context.WithTimeoutCause(ctx, limit+c.gateway.StreamTime, context.DeadlineExceeded)
	}
	return context.WithTimeoutCause(ctx, limit, context.DeadlineExceeded)
}

// live is a stream on its way to the caller.
type live struct {
	c      *chat
	work   *work
	out    *eventWriter
	body   []byte
	stream *backend.Stream
	// placement is the attempt that streams now.
	placement *placement
	// resume is where a cut stream continues; nil at the beginning.
	resume *backend.ResumePoint
	// choices are the chunks sent so far, for the rating after the answer.
	choices []json.RawMessage
	closing *backend.Chunk
	resumes int
}

// streamLive passes a version's stream on as it comes. It is retried on another
// server until the first chunk is sent, and resumed on its server after that.
func (c *chat) streamLive(ctx context.Context, w *work, step cascade.Step) *apierror.Error {
	body, err := c.req.bodyFor(w.version, true)
	if err != nil {
		return apierror.New(http.StatusInternalServerError, apierror.CodeInternal, "the request could not be encoded")
	}
	l := &live{c: c, work: w, out: newEventWriter(c.w), body: body}
	for {
		refusal, again := l.attempt(ctx)
		if refusal != nil {
			return refusal
		}
		if !again {
			break
		}
	}
	c.fire(statechart.RequestAnswer)
	c.fire(statechart.RequestAccept)
	return l.close(ctx, step)
}

// attempt streams one attempt; again tells to make another one.
func (l *live) attempt(ctx context.Context) (refusal *apierror.Error, again bool) {
	p, refusal := l.place(ctx)
	if refusal != nil {
		return refusal.WithRan(l.c.ran), false
	}
	l.placement = p
	err := l.pump(ctx, p)
	p.end(ctx, err, int64(len(l.choices)))
	switch {
	case err == nil:
		l.c.sawFate(apierror.DidRun)
		return nil, false
	case errors.Is(err, errCallerGone):
		return l.left(ctx), false
	case len(l.choices) == 0:
		return l.work.failed(ctx, p, err), true
	default:
		return l.broken(ctx, p, err)
	}
}

// place picks a server, or the same one again to resume.
func (l *live) place(ctx context.Context) (*placement, *apierror.Error) {
	if l.resume == nil {
		return l.work.place(ctx)
	}
	if refusal := l.work.permit(); refusal != nil {
		return nil, refusal
	}
	grant, refusal := l.work.queue(ctx)
	if refusal != nil {
		return nil, refusal
	}
	p := &placement{work: l.work, id: l.c.nextAttempt(), server: l.placement.server, grant: grant, started: time.Now()}
	p.record = l.c.record.attempt(p.id, l.work.target())
	p.begin()
	return p, nil
}

// pump passes chunks on until the terminal event.
func (l *live) pump(ctx context.Context, p *placement) error {
	ctx, span := startSpan(ctx, l.c.request, tracing.HopAttempt)
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if l.resume == nil {
		timer := time.AfterFunc(time.Until(l.c.deadline), func() { cancel(context.DeadlineExceeded) })
		defer timer.Stop()
		return l.pass(ctx, p, timer)
	}
	return l.pass(ctx, p, nil)
}

func (l *live) pass(ctx context.Context, p *placement, firstChunk *time.Timer) error {
	stream, err := l.c.gateway.Backend.Stream(ctx, backend.Chat{
		AttemptID: p.id,
		Server:    p.server,
		Body:      l.body,
		Priority:  enginePriority(p.grant),
		Resume:    l.resume,
	})
	if err != nil {
		return err
	}
	defer stream.Close()
	l.stream = stream
	for {
		chunk, err := stream.Next()
		if errors.Is(err, backend.ErrStreamEnd) {
			return nil
		}
		if err != nil {
			return err
		}
		if firstChunk != nil {
			firstChunk.Stop()
		}
		if err := l.forward(chunk); err != nil {
			return errCallerGone
		}
	}
}

// forward sends one chunk. The closing one waits until the bill is durable.
func (l *live) forward(chunk *backend.Chunk) error {
	if chunk.Usage != nil {
		l.closing = chunk
		return nil
	}
	if len(l.choices) == 0 {
		l.c.pin(l.work.version)
		l.c.record.Streaming = true
	}
	l.choices = append(l.choices, chunk.Choices...)
	return l.out.send(chunkBody{ID: l.c.id, Object: chunkObject, Model: l.work.version.String(), Choices: chunk.Choices})
}

// broken takes in a stream that broke after its first chunk: it is resumed
// where the server can, or it ends with an explicit error event.
func (l *live) broken(ctx context.Context, p *placement, err error) (*apierror.Error, bool) {
	l.work.note(p, err)
	if ctx.Err() != nil || !p.server.Settings.Traits.ResumesStreams || l.resumes == maxResumes {
		l.billUnfinished(ctx)
		return interrupted(), false
	}
	l.c.fire(statechart.RequestRetry)
	l.resumes++
	l.resume = &backend.ResumePoint{AttemptID: p.id, Offset: l.stream.Received()}
	return nil, true
}

func interrupted() *apierror.Error {
	return apierror.New(http.StatusBadGateway, apierror.CodeInterrupted, "the stream broke and can't be resumed").
		WithRan(apierror.DidRun).Retry(failureRetry)
}

// billUnfinished records that a request without a whole answer costs nothing.
func (l *live) billUnfinished(ctx context.Context) {
	if err := l.c.bill(ctx); err != nil {
		l.c.gateway.logBillDelayed(l.c.request, err)
	}
}

// left bills what a caller received before it went away.
func (l *live) left(ctx context.Context) *apierror.Error {
	input, _ := l.c.req.estimate()
	usage := backend.Usage{PromptTokens: input, CompletionTokens: len(l.choices)}
	l.placement.line(usage, l.c.costOf(l.work.version, usage), true)
	l.billUnfinished(ctx)
	return gaveUp(ctx).WithRan(apierror.DidRun)
}

// close bills the answer and then sends its end.
func (l *live) close(ctx context.Context, step cascade.Step) *apierror.Error {
	usage := l.usage()
	l.c.gateway.Planner.Finished(l.work.version, time.Since(l.placement.started))
	l.c.settle(ctx, l.placement, usage, l.c.costOf(l.work.version, usage))
	l.c.sample(ctx, step, l.work.version, l.choices)
	return l.c.endEvents(l.out, l.work.version, l.closing, usage)
}

// usage is what the engine counted, or the chunks where it did not count.
func (l *live) usage() backend.Usage {
	if l.closing != nil {
		return *l.closing.Usage
	}
	input, _ := l.c.req.estimate()
	return backend.Usage{PromptTokens: input, CompletionTokens: len(l.choices), TotalTokens: input + len(l.choices)}
}

// endEvents sends the closing chunk and the terminal event.
func (c *chat) endEvents(out *eventWriter, ref settings.VersionRef, closing *backend.Chunk, usage backend.Usage) *apierror.Error {
	end := chunkBody{ID: c.id, Object: chunkObject, Model: ref.String(), Choices: []json.RawMessage{}, Usage: &usage}
	if closing != nil {
		end.Choices = closing.Choices
	}
	if c.record.Bill != nil {
		end.Cost = &c.record.Bill.Total
	}
	// The caller may be gone; the answer was given and billed.
	if out.send(end) == nil {
		_ = out.done()
	}
	return nil
}

// deliverEvents gives a rated whole answer to a caller that asked for a stream.
func (c *chat) deliverEvents(a *answer) *apierror.Error {
	out := newEventWriter(c.w)
	for i, raw := range a.choices {
		var choice struct {
			Message json.RawMessage `json:"message"`
		}
		if json.Unmarshal(raw, &choice) != nil {
			continue
		}
		delta, err := json.Marshal(deltaChoice{Index: i, Delta: choice.Message})
		if err != nil {
			continue
		}
		if out.send(chunkBody{ID: c.id, Object: chunkObject, Model: a.version.String(), Choices: []json.RawMessage{delta}}) != nil {
			return nil
		}
	}
	return c.endEvents(out, a.version, nil, a.usage)
}

// deltaChoice is a whole message as one streamed choice.
type deltaChoice struct {
	Index int             `json:"index"`
	Delta json.RawMessage `json:"delta"`
}

// total is the bill's total as a header value.
func (r *request) total() string {
	if r.record.Bill == nil {
		return "0"
	}
	return strconv.FormatInt(int64(r.record.Bill.Total), 10)
}
