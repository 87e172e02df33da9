// Package caller is a stand-in for callers: it sends one request to an entry
// instance and reads the whole answer, streamed or not.
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

// Headers of the callers' interface.
const (
	headerSession = "X-Session-Token"
	headerTask    = "X-Task"
	headerKey     = "Idempotency-Key"
	headerRequest = "X-Request-Id"
	headerVersion = "X-Model-Version"
	headerCost    = "X-Cost-Micro-Units"
	headerReplay  = "X-Replayed"
)

// maxAnswerBytes bounds a whole answer, and maxEventBytes one event of a stream.
const (
	maxAnswerBytes = 16 << 20
	maxEventBytes  = 1 << 20
)

// ErrCut is returned for a stream without a terminal event.
var ErrCut = errors.New("the stream ended without its terminal event")

// Call is one request to send.
type Call struct {
	Method string
	URL    string
	// Key is the caller's key.
	Key string
	// IdempotencyKey names a request that must not be repeated; empty for none.
	IdempotencyKey string
	Task           string
	// SessionFile holds the session token of the last answer; empty for no session.
	SessionFile string
	Body        []byte
}

// Answer is what came back.
type Answer struct {
	Status    int
	RequestID string
	// Version is the "model@version" that answered; empty for a plain service.
	Version string
	// Cost is in micro-units.
	Cost     string
	Replayed bool
	// Text is the generated text, or the body of any other answer.
	Text  string
	Usage engine.Usage
}

// Refused reports whether the answer is a refusal or failure.
func (a Answer) Refused() bool { return a.Status >= http.StatusBadRequest }

// Do sends a call and reads its answer.
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
		RequestID: resp.Header.Get(headerRequest),
		Version:   resp.Header.Get(headerVersion),
		Cost:      resp.Header.Get(headerCost),
		Replayed:  resp.Header.Get(headerReplay) == strconv.FormatBool(true),
	}
	if err := c.keepSession(resp.Header.Get(headerSession)); err != nil {
		return Answer{}, err
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return answer, answer.readStream(resp.Body)
	}
	return answer, answer.readWhole(resp.Body)
}

func (c Call) request(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	token, err := c.session()
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
	set(headerKey, c.IdempotencyKey)
	set(headerSession, token)
	return req, nil
}

// session reads the token kept so far; a file that is not there yet is empty.
func (c Call) session() (string, error) {
	if c.SessionFile == "" {
		return "", nil
	}
	token, err := os.ReadFile(c.SessionFile)
	if err != nil && !os.IsNotExist(err) {
		return "", errors.Wrap(err, "read session token")
	}
	return string(token), nil
}

func (c Call) keepSession(token string) error {
	if c.SessionFile == "" || token == "" {
		return nil
	}
	return errors.Wrap(os.WriteFile(c.SessionFile, []byte(token), 0o600), "keep session token")
}

func (a *Answer) readWhole(body io.Reader) error {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
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

// readStream joins the pieces up to the terminal event.
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
	return ErrCut
}

// event is one event of a stream; the closing one carries the cost.
type event struct {
	engine.Completion
	// Cost is in micro-units.
	Cost int64 `json:"cost_micro_units"`
}

func (a *Answer) addChunk(data string) error {
	var chunk event
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errors.Wrap(err, "read event")
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
