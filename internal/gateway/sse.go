package gateway

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/backend"
	"github.com/basilrail/basilrail/internal/settings"
)

// completionBody is the response body of a complete answer.
type completionBody struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Model   string            `json:"model"`
	Choices []json.RawMessage `json:"choices"`
	Usage   backend.Usage     `json:"usage"`
}

// chunkBody is the data of one streamed event.
type chunkBody struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Model   string            `json:"model"`
	Choices []json.RawMessage `json:"choices"`
	Usage   *backend.Usage    `json:"usage,omitempty"`
	// Cost is the bill's total in micro-units; only the closing event has it.
	Cost *settings.MicroUnits `json:"cost_micro_units,omitempty"`
}

// eventWriter writes server-sent events to a caller.
type eventWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, control: http.NewResponseController(w)}
}

// markStarted marks the headers as already sent and returns the writer.
func (e *eventWriter) markStarted() *eventWriter {
	e.started = true
	return e
}

// start sends the response headers on its first call.
func (e *eventWriter) start() {
	if e.started {
		return
	}
	e.started = true
	e.w.Header().Set("Content-Type", "text/event-stream")
	e.w.Header().Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

// send writes one event and flushes it.
func (e *eventWriter) send(event any) error {
	data, err := json.Marshal(event)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return e.write("data: " + string(data) + "\n\n")
}

// done writes the terminal event.
func (e *eventWriter) done() error { return e.write("data: [DONE]\n\n") }

// fail ends a stream with an error event.
func (e *eventWriter) fail(refusal *apierror.Error) {
	data, err := json.Marshal(apierror.Body{Error: refusal})
	if err != nil {
		return
	}
	_ = e.write("event: error\ndata: " + string(data) + "\n\n")
}

func (e *eventWriter) write(text string) error {
	e.start()
	if _, err := e.w.Write([]byte(text)); err != nil {
		return errors.Wrap(err, "write event")
	}
	return errors.Wrap(e.control.Flush(), "flush event")
}
