package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/datastore"
)

const (
	chatPath = "/v1/chat/completions"
	// maxEventBytes is the maximum length of one line of an event stream.
	maxEventBytes = 1 << 20
	// initialReadBufferBytes is the initial size of the stream's read buffer.
	initialReadBufferBytes = 4 << 10
)

// Usage is the number of prompt and completion tokens of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Chat is one attempt at a chat completion.
type Chat struct {
	AttemptID string
	Server    *datastore.Server
	// Body is the request's JSON, with the version as its model.
	Body []byte
	// Priority is the engine's priority; higher numbers start sooner.
	Priority int
	// Resume is the point to resume a stream from; nil starts a new one.
	Resume *ResumePoint
}

// ResumePoint is the position in an earlier attempt's stream to resume from.
type ResumePoint struct {
	AttemptID string
	// Offset is the number of chunks received.
	Offset int
}

// Completion is a complete chat answer. Choices are forwarded without decoding.
type Completion struct {
	ID      string            `json:"id"`
	Choices []json.RawMessage `json:"choices"`
	Usage   Usage             `json:"usage"`
}

// Chunk is one event of a streamed answer.
type Chunk struct {
	// ID is the id of the attempt.
	ID string `json:"id"`
	// Offset is the chunk's index in the stream, from zero; nil in the closing
	// chunk, which carries the usage.
	Offset  *int              `json:"offset,omitempty"`
	Choices []json.RawMessage `json:"choices"`
	// Usage is set only in the closing chunk.
	Usage *Usage `json:"usage,omitempty"`
}

func (ch Chat) call() Call {
	header := http.Header{"Content-Type": []string{"application/json"}}
	header.Set(HeaderPriority, strconv.Itoa(ch.Priority))
	if ch.Resume != nil {
		header.Set(HeaderResumeAttempt, ch.Resume.AttemptID)
		header.Set(HeaderResumeOffset, strconv.Itoa(ch.Resume.Offset))
	}
	return Call{
		AttemptID: ch.AttemptID,
		Server:    ch.Server,
		Method:    http.MethodPost,
		Path:      chatPath,
		Header:    header,
		Body:      ch.Body,
	}
}

// Complete sends a chat request and reads the complete answer.
func (c *Client) Complete(ctx context.Context, chat Chat) (*Completion, error) {
	answer, err := c.Do(ctx, chat.call())
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		return nil, statusError(chat.Server.ID, answer.Status)
	}
	var completion Completion
	if err := json.Unmarshal(answer.Body, &completion); err != nil {
		return nil, &Error{Outcome: OutcomeUnknown, Server: chat.Server.ID, cause: errors.Wrap(err, "decode answer")}
	}
	if completion.ID != chat.AttemptID {
		return nil, &Error{Outcome: OutcomeUnknown, Server: chat.Server.ID, cause: ErrAnswerMismatch}
	}
	return &completion, nil
}

func statusError(server string, status int) *Error {
	return &Error{Outcome: Answered, Server: server, Status: status, cause: errors.Errorf("answered with status %d", status)}
}

// Stream is a streamed answer. It must be closed; closing it cancels the request.
type Stream struct {
	ctx        context.Context
	cancel     context.CancelFunc
	resp       *http.Response
	lines      *bufio.Scanner
	server     string
	attemptID  string
	nextOffset int
	// data is the data of the event that is being read.
	data []byte
	// Dropped is the number of chunks skipped as duplicates or as belonging to
	// another attempt.
	Dropped int
}

// ErrStreamEnd is returned by Next after the terminal event.
var ErrStreamEnd = errors.New("stream ended")

// ErrStreamCut is the cause of an *Error for a stream that ended without its terminal event.
var ErrStreamCut = errors.New("stream ended without its terminal event")

// Stream sends a chat request whose answer is streamed.
func (c *Client) Stream(ctx context.Context, chat Chat) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.do(ctx, chat.call())
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		cancel()
		return nil, statusError(chat.Server.ID, resp.StatusCode)
	}
	return newStream(ctx, cancel, resp, chat), nil
}

func newStream(ctx context.Context, cancel context.CancelFunc, resp *http.Response, chat Chat) *Stream {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, initialReadBufferBytes), maxEventBytes)
	s := &Stream{ctx: ctx, cancel: cancel, resp: resp, lines: lines, server: chat.Server.ID, attemptID: chat.AttemptID}
	if chat.Resume != nil {
		s.nextOffset = chat.Resume.Offset
	}
	return s
}

// Next returns the next chunk in order, ErrStreamEnd after the terminal event,
// or an *Error with OutcomeUnknown. Chunks of another attempt and duplicate chunks
// are dropped; a missing chunk is an error.
func (s *Stream) Next() (*Chunk, error) {
	for s.lines.Scan() {
		if data, ok := bytes.CutPrefix(s.lines.Bytes(), []byte("data: ")); ok {
			s.data = append(s.data[:0], data...)
			continue
		}
		// Only a blank line completes an event; without it the stream was cut off.
		if len(s.lines.Bytes()) > 0 || len(s.data) == 0 {
			continue
		}
		data := s.data
		s.data = s.data[:0]
		if string(data) == "[DONE]" {
			return nil, ErrStreamEnd
		}
		chunk, err := s.decode(data)
		if err != nil {
			return nil, err
		}
		if chunk != nil {
			return chunk, nil
		}
	}
	cause := s.lines.Err()
	if cause == nil {
		cause = ErrStreamCut
	}
	return nil, transportError(s.ctx, s.server, true, cause)
}

// decode decodes one event; it returns a nil chunk for an event to skip.
func (s *Stream) decode(data []byte) (*Chunk, error) {
	chunk, err := DecodeChunk(data)
	if err != nil {
		return nil, &Error{Outcome: OutcomeUnknown, Server: s.server, cause: err}
	}
	if chunk.ID != s.attemptID {
		s.Dropped++
		return nil, nil
	}
	if chunk.Offset == nil {
		return chunk, nil
	}
	return s.checkOffset(chunk)
}

// checkOffset returns the chunk if it is the next one, nil if it is a duplicate, and
// an error if a chunk before it is missing.
func (s *Stream) checkOffset(chunk *Chunk) (*Chunk, error) {
	switch {
	case *chunk.Offset < s.nextOffset:
		s.Dropped++
		return nil, nil
	case *chunk.Offset > s.nextOffset:
		return nil, &Error{Outcome: OutcomeUnknown, Server: s.server, cause: errors.Errorf("chunk %d missing", s.nextOffset)}
	}
	s.nextOffset++
	return chunk, nil
}

// DecodeChunk decodes the JSON of one stream event.
func DecodeChunk(data []byte) (*Chunk, error) {
	chunk := &Chunk{}
	if err := json.Unmarshal(data, chunk); err != nil {
		return nil, errors.Wrap(err, "decode stream event")
	}
	return chunk, nil
}

// Received returns the number of chunks received in order, which is the offset to
// resume from.
func (s *Stream) Received() int { return s.nextOffset }

// Close closes the stream and cancels the request on the server.
func (s *Stream) Close() {
	s.cancel()
	s.resp.Body.Close()
}
