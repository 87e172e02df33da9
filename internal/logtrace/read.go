// Package logtrace reconstructs the timeline of a request from the log lines of the
// instances alone, and derives the cause of a failure.
package logtrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
)

const (
	// maxLineBytes is the maximum length of a log line; instances write lines below 2 kB.
	maxLineBytes = 1 << 20
	// maxStateLines is the maximum number of lines kept in addition to the request's own
	// lines; when it is exceeded, the half that was read first is dropped.
	maxStateLines = 20000
)

// Line is one line of an instance's log.
type Line struct {
	// Instance is the prefix of the line, or the name of its file if it has none.
	Instance   string    `json:"instance"`
	Time       time.Time `json:"time"`
	Event      int       `json:"event"`
	Name       string    `json:"name"`
	Message    string    `json:"msg"`
	RequestID  string    `json:"request_id,omitempty"`
	Server     string    `json:"backend_server,omitempty"`
	Version    string    `json:"version,omitempty"`
	Model      string    `json:"model,omitempty"`
	Path       string    `json:"path,omitempty"`
	Peer       string    `json:"peer,omitempty"`
	Reason     string    `json:"reason,omitempty"`
	Outcome    string    `json:"outcome,omitempty"`
	Error      string    `json:"error,omitempty"`
	Revision   uint64    `json:"revision,omitempty"`
	Era        uint64    `json:"era,omitempty"`
	Count      int       `json:"count,omitempty"`
	Status     int       `json:"status,omitempty"`
	Load       float64   `json:"load,omitempty"`
	DurationMS int64     `json:"duration_ms,omitempty"`
	LatencyMS  int64     `json:"latency_ms,omitempty"`
	AgeMS      int64     `json:"age_ms,omitempty"`
	RetryMS    int64     `json:"retry_after_ms,omitempty"`
}

// Collector selects the log lines that are relevant to one request.
type Collector struct {
	requestID    string
	requestLines []Line
	// stateLines are about the instances and the servers and tables that they use.
	stateLines []Line
	// Skipped is the number of lines that are not log lines of an instance.
	Skipped int
}

// NewCollector returns a Collector for a request id.
func NewCollector(requestID string) *Collector { return &Collector{requestID: requestID} }

// Read reads a log of one or several instances. The word before a line's JSON object,
// if any, is the instance; name is the instance of lines without such a prefix.
func (c *Collector) Read(r io.Reader, name string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		c.addLine(scanner.Bytes(), name)
	}
	return errors.Wrapf(scanner.Err(), "read the log of %s", name)
}

func (c *Collector) addLine(text []byte, name string) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		c.Skipped++
		return
	}
	line := Line{Instance: name}
	if words := strings.Fields(strings.Trim(string(text[:begin]), " \t:|")); len(words) > 0 {
		line.Instance = words[len(words)-1]
	}
	if err := json.Unmarshal(text[begin:], &line); err != nil || line.Event == 0 {
		c.Skipped++
		return
	}
	switch {
	case line.RequestID == c.requestID:
		c.requestLines = append(c.requestLines, line)
	case line.RequestID == "" || line.Event == events.ServerEjected.Number:
		c.stateLines = append(c.stateLines, line)
		if len(c.stateLines) > maxStateLines {
			c.stateLines = slices.Delete(c.stateLines, 0, maxStateLines/2)
		}
	}
}
