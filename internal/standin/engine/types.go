package engine

import "strings"

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	// Model is "model@version".
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream"`
	// MaxTokens bounds the answer; zero leaves it to the engine.
	MaxTokens int `json:"max_tokens"`
}

// prompt joins the contents of all messages.
func (r ChatRequest) prompt() string {
	parts := make([]string, 0, len(r.Messages))
	for _, m := range r.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one answer, or one piece of it when streamed.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is a whole answer or, when streamed, one chunk.
type Completion struct {
	// ID is the attempt id.
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// Offset is the index of a chunk in its stream; absent in a whole answer.
	Offset  *int     `json:"offset,omitempty"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Action is what an order asks for.
type Action string

// The orders.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order is the body of POST /orders.
type Order struct {
	Fencing uint64 `json:"fencing"`
	Action  Action `json:"action"`
	// Version is "model@version".
	Version string `json:"version"`
}

// OrderReply is the answer to an order.
type OrderReply struct {
	// Fencing is the highest fencing number seen.
	Fencing uint64 `json:"fencing"`
}

// Attempt is one line of GET /received.
type Attempt struct {
	ID    string `json:"id"`
	Model string `json:"model"`
	// Fingerprint is a hash of the prompt.
	Fingerprint string `json:"fingerprint"`
	Priority    int    `json:"priority"`
	// Started attempts executed at least a part.
	Started bool `json:"started"`
	// Completed attempts produced their whole answer.
	Completed bool `json:"completed"`
	// ResumedFrom is the attempt that this one continued.
	ResumedFrom string `json:"resumed_from,omitempty"`
	// Tokens is the number of tokens generated.
	Tokens int `json:"tokens"`
}

// Faults is the body of POST /faults: what goes wrong from now on.
type Faults struct {
	// CrashOn crashes the engine when a prompt that holds it starts; empty for never.
	CrashOn string `json:"crash_on"`
	// CrashMillis is how long the engine stays away after a crash.
	CrashMillis int `json:"crash_millis"`
	// CutAfterChunks closes a stream after so many chunks; zero for never.
	CutAfterChunks int `json:"cut_after_chunks"`
	// BadRate is, by "model@version", the fraction of prompts answered badly, 0 to 1.
	BadRate map[string]float64 `json:"bad_rate"`
	// SlowMillis is added to the time of each token.
	SlowMillis int `json:"slow_millis"`
	// WrongAttemptID answers under another attempt's id.
	WrongAttemptID bool `json:"wrong_attempt_id"`
	// DuplicateChunks sends each chunk of a stream twice.
	DuplicateChunks bool `json:"duplicate_chunks"`
	// Down closes every connection without an answer.
	Down bool `json:"down"`
	// Leaving refuses new requests and finishes those in flight.
	Leaving bool `json:"leaving"`
}
