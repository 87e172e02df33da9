package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/standin"
	"github.com/basilrail/basilrail/internal/wait"
)

var errCrashed = errors.New("engine crashed")

// run is one accepted attempt.
type run struct {
	attempt *Attempt
	request ChatRequest
	prompt  string
	tokens  []string
	// from is the first token to send.
	from   int
	faults Faults
}

// chat serves POST /v1/chat/completions.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req ChatRequest
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	if !e.accepts(w, req) {
		return
	}
	from, ok := e.resumeFrom(w, r, req)
	if !ok {
		return
	}
	ctx, cancel := e.untilCrash(r.Context())
	defer cancel()
	priority, _ := strconv.Atoi(r.Header.Get(standin.HeaderPriority))
	work := e.plan(req, from)
	cost := int64(countTokens(work.prompt) + len(work.tokens))
	if err := e.slots.acquire(ctx, priority, cost); err != nil {
		e.refuseQueued(ctx, w, err)
		return
	}
	defer e.slots.release(cost)
	work.attempt = e.record(r, req, priority)
	e.serve(ctx, w, work)
}

// accepts refuses what the engine can't run now.
func (e *Engine) accepts(w http.ResponseWriter, req ChatRequest) bool {
	e.mu.Lock()
	loaded := e.loaded[req.Model]
	e.mu.Unlock()
	switch {
	case e.faults.Get().Leaving:
		standin.RefuseLeaving(w)
	case !loaded:
		standin.Refuse(w, http.StatusConflict, "the version is not loaded")
	case len(req.Messages) == 0:
		standin.Refuse(w, http.StatusBadRequest, "no messages")
	default:
		return true
	}
	return false
}

// resumeFrom reads the resume headers; a stream is continued only by the same
// prompt on the same version.
func (e *Engine) resumeFrom(w http.ResponseWriter, r *http.Request, req ChatRequest) (int, bool) {
	header := r.Header.Get(standin.HeaderResumeOffset)
	if header == "" {
		return 0, true
	}
	offset, err := strconv.Atoi(header)
	e.mu.Lock()
	earlier, known := e.byID[r.Header.Get(standin.HeaderResumeAttempt)]
	e.mu.Unlock()
	same := known && earlier.Model == req.Model && earlier.Fingerprint == Fingerprint(req.prompt())
	if err != nil || offset < 0 || !same || !e.cfg.ResumesStreams {
		standin.Refuse(w, http.StatusConflict, "the stream can't be resumed")
		return 0, false
	}
	return offset, true
}

// refuseQueued answers a request that never got a slot.
func (e *Engine) refuseQueued(ctx context.Context, w http.ResponseWriter, err error) {
	if errors.Is(err, errQueueFull) {
		w.Header().Set("Retry-After", "1")
		standin.Refuse(w, http.StatusTooManyRequests, "the queue is full")
		return
	}
	if errors.Is(context.Cause(ctx), errCrashed) {
		standin.Abort()
	}
}

// plan decides the whole answer before it is generated.
func (e *Engine) plan(req ChatRequest, from int) *run {
	faults := e.faults.Get()
	prompt := req.prompt()
	bad := draw("unacceptable", req.Model, prompt) < e.cfg.Unacceptable[req.Model] ||
		draw("bad", req.Model, prompt) < faults.BadRate[req.Model]
	all := tokens(req.Model, prompt, bad, req.MaxTokens)
	return &run{request: req, prompt: prompt, tokens: all, from: min(from, len(all)), faults: faults}
}

// record notes an attempt that starts.
func (e *Engine) record(r *http.Request, req ChatRequest, priority int) *Attempt {
	a := &Attempt{
		ID:          r.Header.Get(standin.HeaderAttemptID),
		Model:       req.Model,
		Fingerprint: Fingerprint(req.prompt()),
		Priority:    priority,
		Started:     true,
		ResumedFrom: r.Header.Get(standin.HeaderResumeAttempt),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.received) < maxReceived {
		e.received = append(e.received, a)
		e.byID[a.ID] = a
	}
	return a
}

func (e *Engine) serve(ctx context.Context, w http.ResponseWriter, work *run) {
	if crash := work.faults.CrashOn; crash != "" && strings.Contains(work.prompt, crash) {
		e.crashNow()
	}
	if wait.For(ctx, e.cfg.FirstToken) != nil {
		abortIfCrashed(ctx)
		return
	}
	w.Header().Set(standin.HeaderAttemptID, work.answerID())
	if work.request.Stream {
		e.stream(ctx, w, work)
		return
	}
	e.whole(ctx, w, work)
}

func abortIfCrashed(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errCrashed) {
		standin.Abort()
	}
}

// answerID is the id that the answer carries.
func (r *run) answerID() string {
	if r.faults.WrongAttemptID {
		return "attempt-of-another-request"
	}
	return r.attempt.ID
}

// generate spends the time of one token.
func (e *Engine) generate(ctx context.Context, work *run) error {
	slow := time.Duration(work.faults.SlowMillis) * time.Millisecond
	if err := wait.For(ctx, e.cfg.TokenTime+slow); err != nil {
		abortIfCrashed(ctx)
		return err
	}
	e.mu.Lock()
	work.attempt.Tokens++
	e.mu.Unlock()
	return nil
}

func (e *Engine) complete(work *run) {
	e.mu.Lock()
	work.attempt.Completed = true
	e.mu.Unlock()
}

// whole answers with one JSON document.
func (e *Engine) whole(ctx context.Context, w http.ResponseWriter, work *run) {
	for range work.tokens {
		if e.generate(ctx, work) != nil {
			return
		}
	}
	e.complete(work)
	body := work.completion("chat.completion")
	body.Choices = []Choice{{
		Message:      &Message{Role: "assistant", Content: strings.Join(work.tokens, "")},
		FinishReason: finishReason(),
	}}
	body.Usage = work.usage()
	standin.WriteJSON(w, http.StatusOK, body)
}

// stream answers with server-sent events, one token a chunk.
func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, work *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for offset := work.from; offset < len(work.tokens); offset++ {
		if e.generate(ctx, work) != nil {
			return
		}
		if cut := work.faults.CutAfterChunks; cut > 0 && offset-work.from >= cut {
			standin.Abort()
		}
		chunk := work.chunk(offset)
		send(w, chunk)
		if work.faults.DuplicateChunks {
			send(w, chunk)
		}
	}
	e.complete(work)
	end := work.completion("chat.completion.chunk")
	end.Choices = []Choice{{Delta: &Message{}, FinishReason: finishReason()}}
	end.Usage = work.usage()
	send(w, end)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	flush(w)
}

func (r *run) completion(object string) Completion {
	return Completion{ID: r.answerID(), Object: object, Created: time.Now().Unix(), Model: r.request.Model}
}

func (r *run) chunk(offset int) Completion {
	c := r.completion("chat.completion.chunk")
	c.Offset = &offset
	c.Choices = []Choice{{Delta: &Message{Role: "assistant", Content: r.tokens[offset]}}}
	return c
}

// usage counts the whole answer, also when only its end was sent.
func (r *run) usage() *Usage {
	in, out := countTokens(r.prompt), len(r.tokens)
	return &Usage{PromptTokens: in, CompletionTokens: out, TotalTokens: in + out}
}

func finishReason() *string {
	reason := "stop"
	return &reason
}

func send(w http.ResponseWriter, c Completion) {
	encoded, err := json.Marshal(c)
	if err != nil {
		standin.Abort()
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", encoded)
	flush(w)
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}
