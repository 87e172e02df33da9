package events

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
)

// lineField is the field of a logrus entry that holds a *line.
const lineField = "line"

// line carries an event and its values to the Formatter.
type line struct {
	event  *Event
	fields Fields
}

// Formatter writes events as JSON objects. It avoids the maps and the reflection of
// logrus.JSONFormatter because every request logs a line per attempt and one for its
// end. Entries that are not events are formatted by logrus.JSONFormatter.
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
	// logrus reuses the entry's buffer for the next line.
	var out object
	if entry.Buffer != nil {
		out = entry.Buffer.AvailableBuffer()
	}
	out = append(out, '{')
	out.integer("event", int64(l.event.Number))
	out.text("name", l.event.Name)
	out.text("level", entry.Level.String())
	out.text("msg", entry.Message)
	out.text("time", entry.Time.Format(time.RFC3339Nano))
	l.fields.visit(&out)
	return append(out, "}\n"...), nil
}

// object is a JSON object under construction.
type object []byte

// name appends a separator if needed and the member's name.
func (o *object) name(name string) {
	if (*o)[len(*o)-1] != '{' {
		*o = append(*o, ',')
	}
	*o = append(append(append(*o, '"'), name...), `":`...)
}

func (o *object) text(name, value string) {
	o.name(name)
	if isPlain(value) {
		*o = append(append(append(*o, '"'), value...), '"')
		return
	}
	// Marshal does not fail for strings.
	quoted, _ := json.Marshal(value)
	*o = append(*o, quoted...)
}

func (o *object) integer(name string, value int64) {
	o.name(name)
	*o = strconv.AppendInt(*o, value, 10)
}

func (o *object) unsigned(name string, value uint64) {
	o.name(name)
	*o = strconv.AppendUint(*o, value, 10)
}

func (o *object) float(name string, value float64) {
	o.name(name)
	*o = strconv.AppendFloat(*o, value, 'g', -1, 64)
}

// isPlain reports whether value can be written without JSON escapes.
func isPlain(value string) bool {
	for i := range len(value) {
		if c := value[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}
