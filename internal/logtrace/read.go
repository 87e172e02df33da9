// Package logtrace tells what a request did from nothing but the log lines of the
// instances, and names the cause if it failed.
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
	// maxLine bounds a line of a log: an instance's own are below 2 kB.
	maxLine = 1 << 20
	// maxBeliefs bounds the lines that are kept beside the request's own; the oldest
	// are dropped.
	maxBeliefs = 20000
)

// Line is one line of an instance's log.
type Line struct {
	// Instance is the file or the prefix that the line was found with.
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
	Count      int       `json:"count,omitempty"`
	Status     int       `json:"status,omitempty"`
	Load       float64   `json:"load,omitempty"`
	DurationMS int64     `json:"duration_ms,omitempty"`
	LatencyMS  int64     `json:"latency_ms,omitempty"`
	AgeMS      int64     `json:"age_ms,omitempty"`
	RetryMS    int64     `json:"retry_after_ms,omitempty"`
}

// Collector picks the lines that concern one request out of logs.
type Collector struct {
	requestID string
	own       []Line
	beliefs   []Line
	// Skipped counts the lines that are no log lines.
	Skipped int
}

// NewCollector makes a Collector for a request id.
func NewCollector(requestID string) *Collector { return &Collector{requestID: requestID} }

// Read takes in a log, of one instance or of several where the instance's name
// stands right before each line's object. Name is the instance where a line has no such prefix.
func (c *Collector) Read(r io.Reader, name string) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		c.take(scanner.Bytes(), name)
	}
	return errors.Wrapf(scanner.Err(), "read the log of %s", name)
}

func (c *Collector) take(text []byte, name string) {
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
		c.own = append(c.own, line)
	case line.RequestID == "" || line.Event == events.ServerEjected.Number:
		c.beliefs = append(c.beliefs, line)
		if len(c.beliefs) > maxBeliefs {
			c.beliefs = slices.Delete(c.beliefs, 0, maxBeliefs/2)
		}
	}
}
