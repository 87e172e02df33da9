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

// generation is the state of one admitted attempt.
type generation struct {
	attempt *Attempt
	request ChatRequest
	prompt  string
	tokens  []string
	// from is the index of the first token to send.
	from   int
	faults Faults
}

// chat serves POST /v1/chat/completions.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req ChatRequest
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	if !e.admit(w, req) {
		return
	}
	from, ok := e.resumeFrom(w, r, req)
	if !ok {
		return
	}
	ctx, cancel := e.withCrash(r.Context())
	defer cancel()
	priority, _ := strconv.Atoi(r.Header.Get(standin.HeaderPriority))
	gen := e.newGeneration(req, from)
	tokenCount := int64(countTokens(gen.prompt) + len(gen.tokens))
	if err := e.slots.acquire(ctx, priority, tokenCount); err != nil {
		e.refuseQueued(ctx, w, err)
		return
	}
	defer e.slots.release(tokenCount)
	gen.attempt = e.recordAttempt(r, req, priority)
	e.serve(ctx, w, gen)
}

// admit reports whether the engine can run the request now, and refuses it if not.
func (e *Engine) admit(w http.ResponseWriter, req ChatRequest) bool {
	e.mu.Lock()
	loaded := e.loaded[req.Model]
	e.mu.Unlock()
	switch {
	case e.faults.Get().Draining:
		standin.RefuseDraining(w)
	case !loaded:
		standin.Refuse(w, http.StatusConflict, "the version is not loaded")
	case len(req.Messages) == 0:
		standin.Refuse(w, http.StatusBadRequest, "no messages")
	default:
		return true
	}
	return false
}

// resumeFrom reads the resume headers and returns the offset to resume from. A
// stream can only be resumed with the same prompt on the same version.
func (e *Engine) resumeFrom(w http.ResponseWriter, r *http.Request, req ChatRequest) (int, bool) {
	header := r.Header.Get(standin.HeaderResumeOffset)
	if header == "" {
		return 0, true
	}
	offset, err := strconv.Atoi(header)
	e.mu.Lock()
	earlier, known := e.byID[r.Header.Get(standin.HeaderResumeAttempt)]
	e.mu.Unlock()
	matches := known && earlier.Model == req.Model && earlier.Fingerprint == Fingerprint(req.prompt())
	if err != nil || offset < 0 || !matches || !e.cfg.ResumesStreams {
		standin.Refuse(w, http.StatusConflict, "the stream can't be resumed")
		return 0, false
	}
	return offset, true
}

// refuseQueued responds to a request that did not get a slot.
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

// newGeneration determines the complete answer in advance.
func (e *Engine) newGeneration(req ChatRequest, from int) *generation {
	faults := e.faults.Get()
	prompt := req.prompt()
	bad := draw("unacceptable", req.Model, prompt) < e.cfg.UnacceptableFraction[req.Model] ||
		draw("bad", req.Model, prompt) < faults.BadRate[req.Model]
	all := tokens(req.Model, prompt, bad, req.MaxTokens)
	return &generation{request: req, prompt: prompt, tokens: all, from: min(from, len(all)), faults: faults}
}

// recordAttempt records the start of an attempt.
func (e *Engine) recordAttempt(r *http.Request, req ChatRequest, priority int) *Attempt {
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
	if len(e.received) < maxRecordedAttempts {
		e.received = append(e.received, a)
		e.byID[a.ID] = a
	}
	return a
}

func (e *Engine) serve(ctx context.Context, w http.ResponseWriter, gen *generation) {
	if crashText := gen.faults.CrashOn; crashText != "" && strings.Contains(gen.prompt, crashText) {
		e.crash()
	}
	if wait.For(ctx, e.cfg.TimeToFirstToken) != nil {
		abortIfCrashed(ctx)
		return
	}
	w.Header().Set(standin.HeaderAttemptID, gen.answerID())
	if gen.request.Stream {
		e.respondStream(ctx, w, gen)
		return
	}
	e.respondJSON(ctx, w, gen)
}

func abortIfCrashed(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errCrashed) {
		standin.Abort()
	}
}

// answerID returns the attempt ID for the response.
func (g *generation) answerID() string {
	if g.faults.WrongAttemptID {
		return "attempt-of-another-request"
	}
	return g.attempt.ID
}

// generateToken waits for the time of one token and counts the token.
func (e *Engine) generateToken(ctx context.Context, gen *generation) error {
	slow := time.Duration(gen.faults.SlowMillis) * time.Millisecond
	if err := wait.For(ctx, e.cfg.TimePerToken+slow); err != nil {
		abortIfCrashed(ctx)
		return err
	}
	e.mu.Lock()
	gen.attempt.Tokens++
	e.mu.Unlock()
	return nil
}

func (e *Engine) markCompleted(gen *generation) {
	e.mu.Lock()
	gen.attempt.Completed = true
	e.mu.Unlock()
}

// respondJSON sends the answer as one JSON document.
func (e *Engine) respondJSON(ctx context.Context, w http.ResponseWriter, gen *generation) {
	for range gen.tokens {
		if e.generateToken(ctx, gen) != nil {
			return
		}
	}
	e.markCompleted(gen)
	body := gen.completion("chat.completion")
	body.Choices = []Choice{{
		Message:      &Message{Role: "assistant", Content: strings.Join(gen.tokens, "")},
		FinishReason: finishReason(),
	}}
	body.Usage = gen.usage()
	standin.WriteJSON(w, http.StatusOK, body)
}

// respondStream sends the answer as server-sent events, one token per chunk.
func (e *Engine) respondStream(ctx context.Context, w http.ResponseWriter, gen *generation) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for offset := gen.from; offset < len(gen.tokens); offset++ {
		if e.generateToken(ctx, gen) != nil {
			return
		}
		if cut := gen.faults.CutAfterChunks; cut > 0 && offset-gen.from >= cut {
			standin.Abort()
		}
		chunk := gen.chunk(offset)
		send(w, chunk)
		if gen.faults.DuplicateChunks {
			send(w, chunk)
		}
	}
	e.markCompleted(gen)
	end := gen.completion("chat.completion.chunk")
	end.Choices = []Choice{{Delta: &Message{}, FinishReason: finishReason()}}
	end.Usage = gen.usage()
	send(w, end)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	flush(w)
}

func (g *generation) completion(object string) Completion {
	return Completion{ID: g.answerID(), Object: object, Created: time.Now().Unix(), Model: g.request.Model}
}

func (g *generation) chunk(offset int) Completion {
	c := g.completion("chat.completion.chunk")
	c.Offset = &offset
	c.Choices = []Choice{{Delta: &Message{Role: "assistant", Content: g.tokens[offset]}}}
	return c
}

// usage counts the tokens of the complete answer, even if a resumed stream sent
// only the end of it.
func (g *generation) usage() *Usage {
	in, out := countTokens(g.prompt), len(g.tokens)
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
