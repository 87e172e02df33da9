// Package events is the numbered catalogue of all log events.
//
// Each event is defined once, in the file of its area, with its meaning and the
// operator's action; docs/EVENTS.md is generated from the catalogue. Numbers are
// never reused: 1xxx settings, 2xxx requests, 3xxx claims and bills, 4xxx
// peers and membership, 5xxx rollouts and versions, 6xxx backend servers,
// 7xxx process.
package events

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/basilrail/basilrail/internal/settings"
)

// Event describes one kind of log line.
type Event struct {
	Number int
	Name   string
	Level  logrus.Level
	// Message is the fixed text of the line; variable values are in Fields.
	Message string
	// Action is what an operator should do; empty if no action is needed.
	Action string
}

// Fields are the values that a line may carry. They never contain a prompt, an
// answer, a key or a token. Zero values are omitted.
type Fields struct {
	Account   settings.AccountID
	RequestID string
	AttemptID string
	Server    string
	Version   string
	Peer      string
	Path      string
	Address   string
	// FailureDomain is the failure domain that an event concerns.
	FailureDomain string
	Revision      uint64
	// Era is the era of the platform's store.
	Era      uint64
	Count    int
	Duration time.Duration
	Reason   string
	Model    string
	Outcome  string
	Status   int
	// PromptParts are the ids of the parts of a prompt, in hexadecimal.
	PromptParts string
	Load        float64
	// Bad is the number of bad answers among Count.
	Bad int
	// Rate is in requests per second.
	Rate float64
	// Share is a fraction of the requests or sessions.
	Share float64
	// Latency is the time to the first chunk of the response.
	Latency    time.Duration
	RetryAfter time.Duration
	// Age is the time since the configuration or table in use was last confirmed to be current.
	Age time.Duration
	Err error
}

var catalogue = map[int]*Event{}

// register adds an event to the catalogue. It panics if the number is already in use.
func register(e Event) *Event {
	if _, ok := catalogue[e.Number]; ok {
		panic(fmt.Sprintf("event %d registered twice", e.Number))
	}
	catalogue[e.Number] = &e
	return &e
}

// All returns all events, sorted by number.
func All() []*Event {
	all := make([]*Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Logger writes events. A nil *Logger discards them.
type Logger struct {
	out *logrus.Logger
	// native reports whether out uses a Formatter, which takes lines without conversion to logrus.Fields.
	native bool
}

// NewLogger wraps a logrus logger.
func NewLogger(out *logrus.Logger) *Logger {
	_, native := out.Formatter.(*Formatter)
	return &Logger{out: out, native: native}
}

// Log writes one event.
func (l *Logger) Log(e *Event, f Fields) {
	if l == nil || !l.out.IsLevelEnabled(e.Level) {
		return
	}
	if l.native {
		l.out.WithField(lineField, &line{event: e, fields: f}).Log(e.Level, e.Message)
		return
	}
	fields := logrus.Fields{"event": e.Number, "name": e.Name}
	f.visit(fieldMap(fields))
	l.out.WithFields(fields).Log(e.Level, e.Message)
}

// visitor receives the values of a line.
type visitor interface {
	text(name, value string)
	integer(name string, value int64)
	unsigned(name string, value uint64)
	float(name string, value float64)
}

// visit passes each non-zero value to v, under its field name in the log.
func (f *Fields) visit(v visitor) {
	text := func(name, value string) {
		if value != "" {
			v.text(name, value)
		}
	}
	text("client_account", string(f.Account))
	text("request_id", f.RequestID)
	text("attempt_id", f.AttemptID)
	text("backend_server", f.Server)
	text("version", f.Version)
	text("peer", f.Peer)
	text("path", f.Path)
	text("address", f.Address)
	text("failure_domain", f.FailureDomain)
	text("reason", f.Reason)
	text("model", f.Model)
	text("outcome", f.Outcome)
	text("prompt_parts", f.PromptParts)
	integer := func(name string, value int) {
		if value != 0 {
			v.integer(name, int64(value))
		}
	}
	integer("count", f.Count)
	integer("bad", f.Bad)
	integer("status", f.Status)
	duration := func(name string, value time.Duration) {
		if value != 0 {
			v.integer(name, value.Milliseconds())
		}
	}
	duration("duration_ms", f.Duration)
	duration("latency_ms", f.Latency)
	duration("retry_after_ms", f.RetryAfter)
	duration("age_ms", f.Age)
	if f.Revision != 0 {
		v.unsigned("revision", f.Revision)
	}
	if f.Era != 0 {
		v.unsigned("era", f.Era)
	}
	if f.Load != 0 {
		v.float("load", math.Round(f.Load*100)/100)
	}
	if f.Rate != 0 {
		v.float("rate", math.Round(f.Rate*1000)/1000)
	}
	if f.Share != 0 {
		v.float("share", math.Round(f.Share*1000)/1000)
	}
	if f.Err != nil {
		v.text("error", f.Err.Error())
	}
}

// fieldMap collects the values as logrus.Fields.
type fieldMap logrus.Fields

func (m fieldMap) text(name, value string)            { m[name] = value }
func (m fieldMap) integer(name string, value int64)   { m[name] = value }
func (m fieldMap) unsigned(name string, value uint64) { m[name] = value }
func (m fieldMap) float(name string, value float64)   { m[name] = value }
