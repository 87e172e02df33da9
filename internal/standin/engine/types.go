package engine

import "strings"

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the request body of POST /v1/chat/completions.
type ChatRequest struct {
	// Model is "model@version".
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream"`
	// MaxTokens limits the number of tokens of the answer; zero means no limit.
	MaxTokens int `json:"max_tokens"`
}

// prompt joins the contents of all messages with newlines.
func (r ChatRequest) prompt() string {
	parts := make([]string, 0, len(r.Messages))
	for _, m := range r.Messages {
		parts = append(parts, m.Content)
	}
	return strings.Join(parts, "\n")
}

// Usage is the number of tokens of a prompt and its answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is an answer or, in a stream, one chunk of it.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is a complete response or, in a stream, one event.
type Completion struct {
	// ID is the attempt ID.
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	// Offset is the index of a chunk in its stream; absent in an unstreamed response.
	Offset  *int     `json:"offset,omitempty"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Action is the operation that a command requests.
type Action string

// The actions of a command.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Command is the request body of POST /orders.
type Command struct {
	Fencing uint64 `json:"fencing"`
	Action  Action `json:"action"`
	// Version is "model@version".
	Version string `json:"version"`
}

// CommandReply is the response body of POST /orders.
type CommandReply struct {
	// Fencing is the highest fencing number received.
	Fencing uint64 `json:"fencing"`
}

// Attempt is one element of the response of GET /received.
type Attempt struct {
	ID    string `json:"id"`
	Model string `json:"model"`
	// Fingerprint is a hash of the prompt.
	Fingerprint string `json:"fingerprint"`
	Priority    int    `json:"priority"`
	// Started reports whether the engine executed at least a part of the attempt.
	Started bool `json:"started"`
	// Completed reports whether the engine generated the complete answer.
	Completed bool `json:"completed"`
	// ResumedFrom is the ID of the attempt whose stream this one resumed.
	ResumedFrom string `json:"resumed_from,omitempty"`
	// Tokens is the number of tokens generated.
	Tokens int `json:"tokens"`
}

// Faults is the request body of POST /faults.
type Faults struct {
	// CrashOn crashes the engine when it starts a prompt containing this text;
	// empty for never.
	CrashOn string `json:"crash_on"`
	// CrashMillis is the downtime after a crash, in milliseconds; zero for the
	// default.
	CrashMillis int `json:"crash_millis"`
	// CutAfterChunks is the number of chunks after which a stream is closed; zero
	// for never.
	CutAfterChunks int `json:"cut_after_chunks"`
	// BadRate maps "model@version" to the fraction of prompts, 0 to 1, that get an
	// unacceptable answer.
	BadRate map[string]float64 `json:"bad_rate"`
	// SlowMillis is added to the time of each token, in milliseconds.
	SlowMillis int `json:"slow_millis"`
	// WrongAttemptID returns the ID of another attempt in the response.
	WrongAttemptID bool `json:"wrong_attempt_id"`
	// DuplicateChunks sends each chunk of a stream twice.
	DuplicateChunks bool `json:"duplicate_chunks"`
	// Down closes every connection without a response.
	Down bool `json:"down"`
	// Draining refuses new requests and finishes those in flight, as a draining
	// server does.
	Draining bool `json:"leaving"`
}
