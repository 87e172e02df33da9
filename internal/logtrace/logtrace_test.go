package logtrace

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// line is a log line of an instance, at so many seconds.
func line(instance string, second int, fields string) string {
	return fmt.Sprintf(`%s {"time":"2026-08-05T07:48:%02d.5Z",%s}`+"\n", instance, second, fields)
}

const (
	refused  = `"event":2104,"name":"exchange_refused","request_id":"r1"`
	answered = `"event":2103,"name":"exchange_answered","request_id":"r1"`
	attempt  = `"event":2101,"name":"exchange_attempt","request_id":"r1"`
)

func TestCause(t *testing.T) {
	tests := []struct {
		name, log, want string
	}{
		{
			"store lost", line("a", 1, `"event":4201,"name":"store_lost","error":"refused"`) + line("b", 2, `"event":4201,"name":"store_lost"`) +
				line("a", 5, refused+`,"reason":"configuration_not_confirmed","age_ms":3900`),
			"the configuration was last confirmed 3.9s before: the store was lost at 07:48:01: refused",
		},
		{
			"servers broke off", line("a", 1, attempt+`,"backend_server":"s1","outcome":"broken","duration_ms":20`) +
				line("a", 2, attempt+`,"backend_server":"s2","outcome":"timeout","duration_ms":700`) +
				line("a", 3, refused+`,"reason":"server_failed"`),
			"backend servers failed, the last while it may have run the request; s1 broke off after 20ms, then s2 was silent for 700ms",
		},
		{
			"no server", line("a", 1, `"event":6012,"name":"server_ejected","backend_server":"s1","request_id":"other"`) +
				line("a", 2, refused+`,"reason":"no_server"`),
			"no backend server could take it (1 were found silent, failing, leaving or gone in the 15s before); it was not sent",
		},
		{
			"own failure", line("a", 1, attempt+`,"backend_server":"s1","outcome":"server_error"`) + line("a", 2, answered+`,"status":500`),
			"the backend server's own answer was 500; s1 answered with a failure",
		},
		{
			"small model, late", line("a", 1, attempt+`,"backend_server":"s1","model":"small","outcome":"escalated","duration_ms":40`) +
				line("a", 2, attempt+`,"backend_server":"s1","model":"large","outcome":"answered","duration_ms":900,"latency_ms":60,"load":1.25`) +
				line("a", 3, answered+`,"status":200`),
			"answered, the first part after 100ms by model large; the server had 1.25 s of work before it; s1 ended as escalated, then s1 ended as answered",
		},
		{"cut log", line("a", 1, attempt), "the end is not in these logs: the instance still works on it, was ended, or left out lines"},
		{
			"killed instance", line("a", 1, `"event":7001,"name":"process_started"`) + line("a", 2, attempt) + line("a", 4, `"event":7001,"name":"process_started"`),
			"the instance ended without a word while it worked on it; it started again at 07:48:04",
		},
		{
			"ended and started again", line("a", 1, `"event":7001,"name":"process_started"`) + line("a", 2, attempt) +
				line("a", 3, `"event":7003,"name":"process_stopped"`) + line("a", 4, `"event":7001,"name":"process_started"`),
			"the end is not in these logs: the instance still works on it, was ended, or left out lines",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCollector("r1")
			require.NoError(t, c.Read(strings.NewReader("no line\n{broken\n"+tt.log), "file"))
			story := c.Story()
			require.Len(t, story.Tries, 1)
			assert.Equal(t, tt.want, story.Tries[0].Cause)
			assert.Equal(t, 2, c.Skipped)
		})
	}
}

func TestTriesAtSeveralInstancesStandInOrder(t *testing.T) {
	c := NewCollector("r1")
	// The later log is read first.
	require.NoError(t, c.Read(strings.NewReader(line("", 9, answered+`,"status":200`)), "second"))
	require.NoError(t, c.Read(strings.NewReader(line("", 3, refused+`,"reason":"overloaded"`)+line("", 4, `"event":2104,"request_id":"r2"`)), "first"))
	story := c.Story()
	require.Len(t, story.Tries, 2)
	assert.Equal(t, "first", story.Tries[0].Instance)
	assert.Equal(t, "second", story.Tries[1].Instance)
}
