package events

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// lineField is the field of a logrus entry that holds a whole line.
const lineField = "line"

// line is an event and its values on the way to the Formatter.
type line struct {
	event  *Event
	fields Fields
}

// Formatter writes events as JSON objects, without the maps and the reflection of
// logrus's own formatter: a request takes two lines. Entries that are no events are
// left to that one.
type Formatter struct {
	fallback logrus.JSONFormatter
}

// NewFormatter makes a Formatter.
func NewFormatter() *Formatter {
	return &Formatter{fallback: logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}}
}

// Format implements logrus.Formatter.
func (f *Formatter) Format(entry *logrus.Entry) ([]byte, error) {
	l, ok := entry.Data[lineField].(*line)
	if !ok {
		return f.fallback.Format(entry)
	}
	// The entry's buffer is used again for the next line.
	var text []byte
	if entry.Buffer != nil {
		text = entry.Buffer.AvailableBuffer()
	}
	text = append(text, `{"event":`...)
	text = strconv.AppendInt(text, int64(l.event.Number), 10)
	text = appendText(text, "name", l.event.Name)
	text = appendText(text, "level", entry.Level.String())
	text = appendText(text, "msg", entry.Message)
	text = append(text, `,"time":"`...)
	text = append(entry.Time.AppendFormat(text, time.RFC3339Nano), '"')
	return append(l.fields.appendTo(text), "}\n"...), nil
}

// appendTo adds the values that are present.
func (f *Fields) appendTo(text []byte) []byte {
	text = appendText(text, "client_account", string(f.Account))
	text = appendText(text, "request_id", f.RequestID)
	text = appendText(text, "attempt_id", f.AttemptID)
	text = appendText(text, "backend_server", f.Server)
	text = appendText(text, "version", f.Version)
	text = appendText(text, "peer", f.Peer)
	text = appendText(text, "path", f.Path)
	text = appendText(text, "address", f.Address)
	text = appendText(text, "reason", f.Reason)
	text = appendText(text, "model", f.Model)
	text = appendText(text, "outcome", f.Outcome)
	text = appendNumber(text, "revision", f.Revision, f.Revision != 0)
	text = appendNumber(text, "count", f.Count, f.Count != 0)
	text = appendNumber(text, "status", f.Status, f.Status != 0)
	text = appendNumber(text, "duration_ms", f.Duration.Milliseconds(), f.Duration != 0)
	text = appendNumber(text, "latency_ms", f.Latency.Milliseconds(), f.Latency != 0)
	text = appendNumber(text, "retry_after_ms", f.RetryAfter.Milliseconds(), f.RetryAfter != 0)
	text = appendNumber(text, "age_ms", f.Age.Milliseconds(), f.Age != 0)
	if f.Load != 0 {
		text = append(text, `,"load":`...)
		text = strconv.AppendFloat(text, math.Round(f.Load*100)/100, 'g', -1, 64)
	}
	if f.Err != nil {
		text = appendText(text, "error", f.Err.Error())
	}
	return text
}

// appendText adds a text, unless it is empty.
func appendText(text []byte, name, value string) []byte {
	if value == "" {
		return text
	}
	text = append(append(append(text, `,"`...), name...), `":`...)
	if isPlain(value) {
		return append(append(append(text, '"'), value...), '"')
	}
	// A string can always be encoded.
	quoted, _ := json.Marshal(value)
	return append(text, quoted...)
}

// isPlain reports whether a text needs no escapes.
func isPlain(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

func appendNumber[T int | int64 | uint64](text []byte, name string, value T, present bool) []byte {
	if !present {
		return text
	}
	text = append(append(append(text, `,"`...), name...), `":`...)
	if value < 0 {
		return strconv.AppendInt(text, int64(value), 10)
	}
	return strconv.AppendUint(text, uint64(value), 10)
}
