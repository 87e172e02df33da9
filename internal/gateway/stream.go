package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
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

// chunkObject is the "object" field of a streamed event.
const chunkObject = "chat.completion.chunk"

// maxResumes is the maximum number of times one stream is resumed.
const maxResumes = 2

// errCallerDisconnected is returned for a stream whose caller disconnected.
var errCallerDisconnected = errors.New("the caller went away")

// limitTime bounds the request by its deadline. A stream must start by the
// deadline and must end within StreamTime after it.
func (c *chat) limitTime(ctx context.Context) (context.Context, context.CancelFunc) {
	limit := time.Until(c.deadline)
	if c.req.stream {
		return context.WithTimeoutCause(ctx, limit+c.gateway.StreamTime, context.DeadlineExceeded)
	}
	return context.WithTimeoutCause(ctx, limit, context.DeadlineExceeded)
}

// liveStream forwards a version's stream to the caller.
type liveStream struct {
	c      *chat
	work   *work
	out    *eventWriter
	body   []byte
	stream *backend.Stream
	// placement is the current attempt.
	placement *placement
	// resume is the point from which an interrupted stream is resumed; nil before
	// the first interruption.
	resume *backend.ResumePoint
	// choices are the choices sent so far; they are rated after the answer.
	choices []json.RawMessage
	closing *backend.Chunk
	resumes int
}

// streamLive forwards a version's stream as it arrives. Until the first chunk is
// sent, a failure is retried on another server; after that, the stream is resumed
// on the same server.
func (c *chat) streamLive(ctx context.Context, w *work, step cascade.Step) *apierror.Error {
	body, err := c.req.bodyFor(w.version, true)
	if err != nil {
		return apierror.New(http.StatusInternalServerError, apierror.CodeInternal, "the request could not be encoded")
	}
	l := &liveStream{c: c, work: w, out: newEventWriter(c.w), body: body}
	for {
		refusal, retry := l.attempt(ctx)
		if refusal != nil {
			return refusal
		}
		if !retry {
			break
		}
	}
	c.fire(statechart.RequestAnswer)
	c.fire(statechart.RequestAccept)
	return l.finish(ctx, step)
}

// attempt streams one attempt; retry is set if another one must follow.
func (l *liveStream) attempt(ctx context.Context) (refusal *apierror.Error, retry bool) {
	p, refusal := l.place(ctx)
	if refusal != nil {
		return refusal.WithExecutionStatus(l.c.execution), false
	}
	l.placement = p
	err := l.streamUntilEnd(ctx, p)
	p.end(ctx, err, int64(len(l.choices)))
	switch {
	case err == nil:
		l.c.updateExecution(apierror.DidRun)
		return nil, false
	case errors.Is(err, errCallerDisconnected):
		return l.handleCallerDisconnect(ctx), false
	case len(l.choices) == 0:
		return l.work.handleFailure(ctx, p, err), true
	default:
		return l.handleInterruption(ctx, p, err)
	}
}

// place picks a server, or the previous one to resume.
func (l *liveStream) place(ctx context.Context) (*placement, *apierror.Error) {
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
	// A stream that was interrupted by a crash does not go on where it may have caused it.
	verdict, refusal := l.work.checkContent()
	if refusal == nil && slices.Contains(verdict.Avoid, l.placement.server.ID) {
		refusal = interruptedRefusal()
	}
	if refusal != nil {
		grant.Release(0)
		return nil, refusal
	}
	p := &placement{work: l.work, id: l.c.nextAttemptID(), server: l.placement.server, grant: grant, started: time.Now()}
	p.record = l.c.record.attempt(p.id, l.work.target())
	p.begin()
	return p, nil
}

// streamUntilEnd forwards chunks until the terminal event. A stream that is not
// resumed must send its first chunk by the request's deadline.
func (l *liveStream) streamUntilEnd(ctx context.Context, p *placement) error {
	ctx, span := startSpan(ctx, l.c.request, tracing.HopAttempt)
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if l.resume == nil {
		timer := time.AfterFunc(time.Until(l.c.deadline), func() { cancel(context.DeadlineExceeded) })
		defer timer.Stop()
		return l.relayChunks(ctx, p, timer)
	}
	return l.relayChunks(ctx, p, nil)
}

func (l *liveStream) relayChunks(ctx context.Context, p *placement, firstChunkTimer *time.Timer) error {
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
		if firstChunkTimer != nil {
			firstChunkTimer.Stop()
		}
		if err := l.sendChunk(chunk); err != nil {
			return errCallerDisconnected
		}
	}
}

// sendChunk sends one chunk to the caller. The closing chunk is held back until
// the bill is durable.
func (l *liveStream) sendChunk(chunk *backend.Chunk) error {
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

// handleInterruption handles a stream that was interrupted after its first chunk:
// it is resumed if the server supports that; else it ends with an error event and
// the unfinished attempt costs nothing.
func (l *liveStream) handleInterruption(ctx context.Context, p *placement, err error) (*apierror.Error, bool) {
	l.work.reportFailure(p, err)
	if ctx.Err() != nil || !p.server.Settings.Traits.ResumesStreams || l.resumes == maxResumes {
		l.recordBill(ctx)
		return interruptedRefusal(), false
	}
	l.c.fire(statechart.RequestRetry)
	l.resumes++
	l.resume = &backend.ResumePoint{AttemptID: p.id, Offset: l.stream.Received()}
	return nil, true
}

func interruptedRefusal() *apierror.Error {
	return apierror.New(http.StatusBadGateway, apierror.CodeInterrupted, "the stream broke and can't be resumed").
		WithExecutionStatus(apierror.DidRun).WithRetryAfter(failureRetryAfter)
}

// recordBill makes the bill of an unfinished answer durable, even if its total is
// zero. If that fails, the delayed bill is logged.
func (l *liveStream) recordBill(ctx context.Context) {
	if err := l.c.bill(ctx); err != nil {
		l.c.gateway.logBillDelayed(l.c.request, err)
	}
}

// handleCallerDisconnect bills the chunks sent before the caller disconnected.
func (l *liveStream) handleCallerDisconnect(ctx context.Context) *apierror.Error {
	input, _ := l.c.req.estimate()
	usage := backend.Usage{PromptTokens: input, CompletionTokens: len(l.choices)}
	l.placement.addBillLine(usage, l.c.costOf(l.work.version, usage), true)
	l.recordBill(ctx)
	return contextRefusal(ctx).WithExecutionStatus(apierror.DidRun)
}

// finish bills the answer and then sends the final events.
func (l *liveStream) finish(ctx context.Context, step cascade.Step) *apierror.Error {
	usage := l.usage()
	l.c.gateway.Planner.ObserveDuration(l.work.version, time.Since(l.placement.started))
	l.c.billAnswer(ctx, l.placement, usage, l.c.costOf(l.work.version, usage))
	l.c.sample(ctx, step, l.work.version, l.choices)
	return l.c.sendFinalEvents(l.out, l.work.version, l.closing, usage)
}

// usage returns the engine's token counts. If the engine sent none, it estimates
// the prompt and counts each chunk as one token.
func (l *liveStream) usage() backend.Usage {
	if l.closing != nil {
		return *l.closing.Usage
	}
	input, _ := l.c.req.estimate()
	return backend.Usage{PromptTokens: input, CompletionTokens: len(l.choices), TotalTokens: input + len(l.choices)}
}

// sendFinalEvents sends the closing chunk and the terminal event.
func (c *chat) sendFinalEvents(out *eventWriter, ref settings.VersionRef, closing *backend.Chunk, usage backend.Usage) *apierror.Error {
	end := chunkBody{ID: c.id, Object: chunkObject, Model: ref.String(), Choices: []json.RawMessage{}, Usage: &usage}
	if closing != nil {
		end.Choices = closing.Choices
	}
	if c.record.Bill != nil {
		end.Cost = &c.record.Bill.Total
	}
	// Write errors are ignored: the answer is billed even if the caller has
	// disconnected.
	if out.send(end) == nil {
		_ = out.done()
	}
	return nil
}

// deliverAsEvents sends a complete answer as a stream to a caller that asked for one.
func (c *chat) deliverAsEvents(a *answer) *apierror.Error {
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
	return c.sendFinalEvents(out, a.version, nil, a.usage)
}

// deltaChoice is a complete message in the form of one streamed choice.
type deltaChoice struct {
	Index int             `json:"index"`
	Delta json.RawMessage `json:"delta"`
}

// billTotal returns the bill's total in micro-units as a header value.
func (r *request) billTotal() string {
	if r.record.Bill == nil {
		return "0"
	}
	return strconv.FormatInt(int64(r.record.Bill.Total), 10)
}
