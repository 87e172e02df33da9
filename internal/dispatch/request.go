// Package dispatch serves one request of a caller from arrival to completion: it
// chooses the service, the model and the backend server, retries failed attempts
// and relays the answer. It is independent of protocols: front ends pass requests
// in and receive answers through a Responder, and a Transport reaches the servers.
package dispatch

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/basilrail/basilrail/internal/fleet"
	"github.com/basilrail/basilrail/internal/poison"
)

// Part is one part of a prompt. Other requests may share it.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt describes the prompt of a request; zero for a plain call.
type Prompt struct {
	// Parts are in prompt order. The last one belongs only to this request or its
	// session.
	Parts []Part
	// InputTokens and MaxOutputTokens bound the size in tokens.
	InputTokens     int
	MaxOutputTokens int
	// OutputHint is the caller's estimate of the number of generated tokens; zero
	// for none.
	OutputHint int
}

// Tokens estimates the memory, in tokens, that the request occupies at a server.
func (p Prompt) Tokens() int64 {
	output := p.MaxOutputTokens
	if p.OutputHint > 0 {
		output = min(output, p.OutputHint)
	}
	return int64(p.InputTokens + output)
}

// sharedPrefixHash identifies the prefix that related requests have in common: all
// parts but the last. Zero means that there is none.
func (p Prompt) sharedPrefixHash() uint64 {
	if len(p.Parts) < 2 {
		return 0
	}
	return p.Parts[len(p.Parts)-2].ID
}

// sharedParts are the ids of the parts that other requests may share: all but the last.
func (p Prompt) sharedParts() []poison.Part {
	if len(p.Parts) < 2 {
		return nil
	}
	parts := make([]poison.Part, len(p.Parts)-1)
	for i := range parts {
		parts[i] = poison.Part(p.Parts[i].ID)
	}
	return parts
}

// sharedPrefixTokens is the length of the shared prefix.
func (p Prompt) sharedPrefixTokens() int {
	tokens := 0
	for i := 0; i+1 < len(p.Parts); i++ {
		tokens += p.Parts[i].Tokens
	}
	return tokens
}

// partIDs returns the ids of the parts in hexadecimal, separated by commas.
func (p Prompt) partIDs() string {
	ids := make([]string, len(p.Parts))
	for i, part := range p.Parts {
		ids[i] = strconv.FormatUint(part.ID, 16)
	}
	return strings.Join(ids, ",")
}

// Request is one request of a caller.
type Request struct {
	// ID is the request id given by the caller; backend servers echo it.
	ID string
	// Host is the host name that routes are matched by; Authority is the same name
	// as the caller sent it.
	Host      string
	Authority string
	Path      string
	// Target is the path and query as the caller sent them.
	Target string
	Method string
	Key    string
	// Header holds the headers forwarded to the backend server.
	Header  http.Header
	Body    []byte
	Arrived time.Time
	// CallerTimeout is how long the caller waits; zero if the caller did not say.
	CallerTimeout time.Duration
	// Session identifies the session that the request belongs to; empty for none.
	Session string
	Prompt  Prompt
	// ResumeAfter is the id of the last event that the caller received; empty for
	// the complete stream.
	ResumeAfter string
	// AnyModel reports whether the caller lets the router choose the model.
	AnyModel bool
}

// Head is the status and the headers of a backend server's answer.
type Head struct {
	Status int
	// Header holds the headers forwarded to the caller.
	Header http.Header
	// Stream reports whether events follow.
	Stream bool
	// Confidence is the model's own confidence in the answer, 0 to 100, or
	// modeltier.ConfidenceUnknown.
	Confidence int
}

// Event is one event of a stream.
type Event struct {
	// ID is empty where the event has none.
	ID string
	// Raw is the event as the server sent it, including the closing blank line.
	Raw []byte
	// IsEmpty is set for an event that holds no piece of the stream: comments, for example.
	IsEmpty bool
	// IsMalformed is set for an event with a line that no event has.
	IsMalformed bool
}

// Responder receives the answer to one request. An error from Deliver, Begin, Event
// or End means that the caller has disconnected.
type Responder interface {
	// Deliver sends a complete answer.
	Deliver(head Head, body []byte) error
	// Begin starts a stream, Event sends one event, End completes the stream.
	Begin(head Head) error
	Event(e Event) error
	End() error
	// Abort ends a stream in such a way that the caller can't take it for a
	// complete one.
	Abort()
	// Refuse sends a refusal.
	Refuse(r Refusal)
}

// Attempt is the data sent to one backend server.
type Attempt struct {
	Request *Request
	Server  *fleet.Server
	// Account is the client account's name; empty for none.
	Account string
	// Model replaces the model named by the caller; empty to keep that one.
	Model string
	// ResumeAfter is the id of the last event that the caller received; empty for
	// the complete stream.
	ResumeAfter string
	// Taken is when the request was counted among those that the server's limits allow.
	Taken time.Time
	// Deadline is when the server should stop working on the request.
	Deadline time.Time
	// Priority is the rank in the server's queue; 0 is the most urgent.
	Priority int
	// HeaderTimeout is the timeout for the head of the answer, EventTimeout that between
	// two events of a stream, and NoticedEventTimeout the shorter one that applies if
	// another instance has also found the server unresponsive. Zero means until the
	// deadline.
	HeaderTimeout       time.Duration
	EventTimeout        time.Duration
	NoticedEventTimeout time.Duration
	// MayEnd is asked when a timeout has passed. If it reports true, another attempt follows and
	// the transport ends this one; otherwise the wait goes on, and it is asked again later. It may
	// be called from any goroutine while Send or Next waits for the server, one call at a time.
	MayEnd func() bool
}
