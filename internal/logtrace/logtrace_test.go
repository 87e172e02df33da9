package logtrace

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// line returns a log line of an instance at the given second.
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
			"store unreachable", line("a", 1, `"event":4201,"name":"store_lost","error":"refused"`) + line("b", 2, `"event":4201,"name":"store_lost"`) +
				line("a", 5, refused+`,"reason":"configuration_not_confirmed","age_ms":3900`),
			"the configuration was last confirmed 3.9s earlier: the store became unreachable at 07:48:01: refused",
		},
		{
			"servers disconnected", line("a", 1, attempt+`,"backend_server":"s1","outcome":"broken","duration_ms":20`) +
				line("a", 2, attempt+`,"backend_server":"s2","outcome":"timeout","duration_ms":700`) +
				line("a", 3, refused+`,"reason":"server_failed"`),
			"backend servers failed; the last one may have run the request; s1 disconnected after 20ms, then s2 did not respond for 700ms",
		},
		{
			"no server", line("a", 1, `"event":6012,"name":"server_ejected","backend_server":"s1","request_id":"other"`) +
				line("a", 2, refused+`,"reason":"no_server"`),
			"no backend server was available (1 were found unresponsive, failing, draining or removed in the preceding 15s); the request was not sent",
		},
		{
			"store restored", line("a", 1, `"event":4204,"name":"store_era_changed","path":"op","era":3`) +
				line("a", 5, refused+`,"reason":"configuration_not_confirmed","age_ms":4100`),
			"the configuration was last confirmed 4.1s earlier: the store was restored from an earlier copy, found at 07:48:01 (era 3), and what it lost may not have been written again",
		},
		{
			"servers paused", line("a", 1, `"event":6017,"name":"server_paused","backend_server":"s1","retry_after_ms":3000`) +
				line("a", 2, `"event":6017,"name":"server_paused","backend_server":"s2","retry_after_ms":4000`) +
				line("a", 3, refused+`,"reason":"servers_paused","retry_after_ms":1500`),
			"all backend servers that could take the request had asked for a pause or named a limit that was used up; the caller may return 1.5s later (2 asked for one in the preceding 15s); the request was not sent",
		},
		{
			"servers leaving", line("a", 1, `"event":6016,"name":"server_leaving","backend_server":"s1"`) +
				line("a", 2, refused+`,"reason":"no_server"`),
			"no backend server was available (1 were found unresponsive, failing, draining or removed in the preceding 15s); the request was not sent",
		},
		{
			"server error", line("a", 1, attempt+`,"backend_server":"s1","outcome":"server_error"`) + line("a", 2, answered+`,"status":500`),
			"the backend server responded with status 500; s1 returned a server error",
		},
		{
			"escalated answer", line("a", 1, attempt+`,"backend_server":"s1","model":"small","outcome":"escalated","duration_ms":40`) +
				line("a", 2, attempt+`,"backend_server":"s1","model":"large","outcome":"answered","duration_ms":900,"latency_ms":60,"load":1.25`) +
				line("a", 3, answered+`,"status":200`),
			"answered, first chunk after 100ms, by model large; the server had 1.25 s of work ahead of it; s1 ended with outcome escalated, then s1 ended with outcome answered",
		},
		{"truncated log", line("a", 1, attempt), "the logs do not contain the end of the request: it is still running, the instance was stopped, or lines were dropped"},
		{
			"killed instance", line("a", 1, `"event":7001,"name":"process_started"`) + line("a", 2, attempt) + line("a", 4, `"event":7001,"name":"process_started"`),
			"the instance exited without logging it while the request was in flight; it restarted at 07:48:04",
		},
		{
			"stopped and restarted", line("a", 1, `"event":7001,"name":"process_started"`) + line("a", 2, attempt) +
				line("a", 3, `"event":7003,"name":"process_stopped"`) + line("a", 4, `"event":7001,"name":"process_started"`),
			"the logs do not contain the end of the request: it is still running, the instance was stopped, or lines were dropped",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewCollector("r1")
			require.NoError(t, c.Read(strings.NewReader("no line\n{broken\n"+tt.log), "file"))
			timeline := c.Timeline()
			require.Len(t, timeline.Attempts, 1)
			assert.Equal(t, tt.want, timeline.Attempts[0].Cause)
			assert.Equal(t, 2, c.Skipped)
		})
	}
}

func TestCallerAttemptsAreSortedByTime(t *testing.T) {
	c := NewCollector("r1")
	// The later log is read first.
	require.NoError(t, c.Read(strings.NewReader(line("", 9, answered+`,"status":200`)), "second"))
	require.NoError(t, c.Read(strings.NewReader(line("", 3, refused+`,"reason":"overloaded"`)+line("", 4, `"event":2104,"request_id":"r2"`)), "first"))
	timeline := c.Timeline()
	require.Len(t, timeline.Attempts, 2)
	assert.Equal(t, "first", timeline.Attempts[0].Instance)
	assert.Equal(t, "second", timeline.Attempts[1].Instance)
}
