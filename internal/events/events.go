// Package events is the numbered catalogue of everything the programs log.
//
// Each event stands once, in the file of its area, with what it means and what
// an operator does about it; docs/EVENTS.md is generated from it. Numbers are
// never reused: 1xxx settings, 2xxx requests, 3xxx claims and bills, 4xxx
// peers and membership, 5xxx roll-outs and versions, 6xxx backend servers,
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

// Event is one kind of log line.
type Event struct {
	Number int
	Name   string
	Level  logrus.Level
	// Message is the fixed text of the line; what varies stands in Fields.
	Message string
	// Action is what an operator does about it; empty for nothing.
	Action string
}

// Fields are the values a line may carry. They never hold a prompt, an answer,
// a key or a token. Zero values are left out.
type Fields struct {
	Account   settings.AccountID
	RequestID string
	AttemptID string
	Server    string
	Version   string
	Peer      string
	Path      string
	Address   string
	Revision  uint64
	Count     int
	Duration  time.Duration
	Reason    string
	Model     string
	Outcome   string
	Status    int
	Load      float64
	// Latency is the time to the first part of an answer.
	Latency    time.Duration
	RetryAfter time.Duration
	// Age is how long ago the deciding input was known to be the newest.
	Age time.Duration
	Err error
}

var catalogue = map[int]*Event{}

// register adds an event; a number used twice is a fault in the program.
func register(e Event) *Event {
	if _, ok := catalogue[e.Number]; ok {
		panic(fmt.Sprintf("event %d registered twice", e.Number))
	}
	catalogue[e.Number] = &e
	return &e
}

// All returns every event in the order of the numbers.
func All() []*Event {
	all := make([]*Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Logger writes events. A nil *Logger drops them.
type Logger struct {
	out *logrus.Logger
	// whole tells that lines are handed to a Formatter as they are.
	whole bool
}

// NewLogger wraps a logrus logger.
func NewLogger(out *logrus.Logger) *Logger {
	_, whole := out.Formatter.(*Formatter)
	return &Logger{out: out, whole: whole}
}

// Log writes one event.
func (l *Logger) Log(e *Event, f Fields) {
	if l == nil || !l.out.IsLevelEnabled(e.Level) {
		return
	}
	if l.whole {
		l.out.WithField(lineField, &line{event: e, fields: f}).Log(e.Level, e.Message)
		return
	}
	fields := logrus.Fields{"event": e.Number, "name": e.Name}
	f.addTo(fields)
	l.out.WithFields(fields).Log(e.Level, e.Message)
}

func (f Fields) addTo(fields logrus.Fields) {
	add := func(name string, value any, present bool) {
		if present {
			fields[name] = value
		}
	}
	add("client_account", f.Account, f.Account != "")
	add("request_id", f.RequestID, f.RequestID != "")
	add("attempt_id", f.AttemptID, f.AttemptID != "")
	add("backend_server", f.Server, f.Server != "")
	add("version", f.Version, f.Version != "")
	add("peer", f.Peer, f.Peer != "")
	add("path", f.Path, f.Path != "")
	add("address", f.Address, f.Address != "")
	add("revision", f.Revision, f.Revision != 0)
	add("count", f.Count, f.Count != 0)
	add("duration_ms", f.Duration.Milliseconds(), f.Duration != 0)
	add("reason", f.Reason, f.Reason != "")
	add("model", f.Model, f.Model != "")
	add("outcome", f.Outcome, f.Outcome != "")
	add("status", f.Status, f.Status != 0)
	add("load", math.Round(f.Load*100)/100, f.Load != 0)
	add("latency_ms", f.Latency.Milliseconds(), f.Latency != 0)
	add("retry_after_ms", f.RetryAfter.Milliseconds(), f.RetryAfter != 0)
	add("age_ms", f.Age.Milliseconds(), f.Age != 0)
	add("error", f.Err, f.Err != nil)
}
