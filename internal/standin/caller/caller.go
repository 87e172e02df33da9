// Package caller is a stand-in for callers. It sends a request to an instance
// and reads the complete response, streamed or not.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/standin/engine"
)

// Headers of the callers' API.
const (
	headerSession        = "X-Session-Token"
	headerTask           = "X-Task"
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestID      = "X-Request-Id"
	headerVersion        = "X-Model-Version"
	headerCost           = "X-Cost-Micro-Units"
	headerReplayed       = "X-Replayed"
)

// maxResponseBytes limits an unstreamed response, and maxEventBytes one event of
// a stream.
const (
	maxResponseBytes = 16 << 20
	maxEventBytes    = 1 << 20
)

// ErrTruncated is returned if a stream ends without a terminal event.
var ErrTruncated = errors.New("the stream ended without its terminal event")

// Call is one request to send.
type Call struct {
	Method string
	URL    string
	// Key is the caller's API key.
	Key string
	// IdempotencyKey identifies a non-idempotent request; empty for none.
	IdempotencyKey string
	Task           string
	// SessionFile stores the session token of the last response; empty for no session.
	SessionFile string
	Body        []byte
}

// Answer is the response to a Call.
type Answer struct {
	Status    int
	RequestID string
	// Version is the "model@version" that answered; empty for a plain service.
	Version string
	// Cost is in micro-units.
	Cost     string
	Replayed bool
	// Text is the generated text, or the body of any other response.
	Text  string
	Usage engine.Usage
}

// Refused reports whether the status is a client or server error.
func (a Answer) Refused() bool { return a.Status >= http.StatusBadRequest }

// Do sends a call and reads the response. For a truncated or failed stream it
// returns both the text received so far and an error.
func Do(ctx context.Context, client *http.Client, c Call) (Answer, error) {
	req, err := c.request(ctx)
	if err != nil {
		return Answer{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}, errors.Wrap(err, "send")
	}
	defer resp.Body.Close()
	answer := Answer{
		Status:    resp.StatusCode,
		RequestID: resp.Header.Get(headerRequestID),
		Version:   resp.Header.Get(headerVersion),
		Cost:      resp.Header.Get(headerCost),
		Replayed:  resp.Header.Get(headerReplayed) == strconv.FormatBool(true),
	}
	if err := c.writeSession(resp.Header.Get(headerSession)); err != nil {
		return Answer{}, err
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return answer, answer.readStream(resp.Body)
	}
	return answer, answer.readBody(resp.Body)
}

func (c Call) request(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	token, err := c.readSession()
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set(headerTask, c.Task)
	set(headerIdempotencyKey, c.IdempotencyKey)
	set(headerSession, token)
	return req, nil
}

// readSession reads the stored session token. A missing file means no token.
func (c Call) readSession() (string, error) {
	if c.SessionFile == "" {
		return "", nil
	}
	token, err := os.ReadFile(c.SessionFile)
	if err != nil && !os.IsNotExist(err) {
		return "", errors.Wrap(err, "read session token")
	}
	return string(token), nil
}

func (c Call) writeSession(token string) error {
	if c.SessionFile == "" || token == "" {
		return nil
	}
	return errors.Wrap(os.WriteFile(c.SessionFile, []byte(token), 0o600), "write session token")
}

func (a *Answer) readBody(body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	a.Text = strings.TrimSpace(string(data))
	var completion engine.Completion
	if json.Unmarshal(data, &completion) != nil || len(completion.Choices) == 0 || completion.Choices[0].Message == nil {
		return nil
	}
	a.Text = completion.Choices[0].Message.Content
	if completion.Usage != nil {
		a.Usage = *completion.Usage
	}
	return nil
}

// readStream concatenates the chunks up to the terminal event.
func (a *Answer) readStream(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	failed := false
	for scanner.Scan() {
		line := scanner.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case isData && data == "[DONE]":
			return nil
		case isData && failed:
			return errors.Errorf("the stream failed: %s", data)
		case isData:
			if err := a.addChunk(data); err != nil {
				return err
			}
		}
	}
	if scanner.Err() != nil {
		return errors.Wrap(scanner.Err(), "read stream")
	}
	return ErrTruncated
}

// event is one event of a stream; the last one before the terminal event
// carries the cost.
type event struct {
	engine.Completion
	// Cost is in micro-units.
	Cost int64 `json:"cost_micro_units"`
}

func (a *Answer) addChunk(data string) error {
	var chunk event
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errors.Wrap(err, "decode event")
	}
	for _, choice := range chunk.Choices {
		if choice.Delta != nil {
			a.Text += choice.Delta.Content
		}
	}
	if chunk.Usage != nil {
		a.Usage = *chunk.Usage
		a.Cost = strconv.FormatInt(chunk.Cost, 10)
	}
	return nil
}
