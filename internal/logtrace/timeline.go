package logtrace

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/basilrail/basilrail/internal/dispatch"
	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/retry"
)

// relatedWindow is the maximum time between a related line and the end of the attempt.
// A server is ejected for less than that, and an outage of a table that was logged
// earlier is not reported as the cause.
const relatedWindow = 15 * time.Second

// CallerAttempt is one attempt of the caller at one instance.
type CallerAttempt struct {
	Instance string `json:"instance"`
	// Lines are the request's own lines, in order. The last one reports the end, if the
	// logs contain it.
	Lines []Line `json:"lines"`
	// Related are lines of the same instance, shortly before the end of the attempt,
	// about the servers and tables that it depended on.
	Related []Line `json:"related,omitempty"`
	// Cause explains the result of the attempt.
	Cause string `json:"cause"`
}

// Timeline is the timeline of a request.
type Timeline struct {
	RequestID string          `json:"request_id"`
	Attempts  []CallerAttempt `json:"tries"`
	// UnexpectedRestarts are the restarts of instances that had exited without logging
	// it: requests in flight there may have left no line.
	UnexpectedRestarts []Line `json:"deaths,omitempty"`
}

// Timeline returns the request's timeline from the logs read so far.
func (c *Collector) Timeline() Timeline {
	slices.SortStableFunc(c.requestLines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	slices.SortStableFunc(c.stateLines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	open := make(map[string][]Line)
	timeline := Timeline{RequestID: c.requestID, UnexpectedRestarts: c.unexpectedRestarts()}
	for _, line := range c.requestLines {
		open[line.Instance] = append(open[line.Instance], line)
		if isEnd(line) {
			timeline.Attempts = append(timeline.Attempts, c.newCallerAttempt(open[line.Instance]))
			delete(open, line.Instance)
		}
	}
	for _, lines := range open {
		unfinished := c.newCallerAttempt(lines)
		unfinished.Cause = missingEndCause(lines[len(lines)-1], timeline.UnexpectedRestarts)
		timeline.Attempts = append(timeline.Attempts, unfinished)
	}
	slices.SortStableFunc(timeline.Attempts, func(a, b CallerAttempt) int {
		return cmp.Compare(a.Lines[0].Time.UnixNano(), b.Lines[0].Time.UnixNano())
	})
	return timeline
}

// unexpectedRestarts returns the starts of instances that had not logged their exit.
func (c *Collector) unexpectedRestarts() []Line {
	running := make(map[string]bool)
	var list []Line
	for _, line := range c.stateLines {
		switch line.Event {
		case events.ProcessStarted.Number:
			if running[line.Instance] {
				list = append(list, line)
			}
			running[line.Instance] = true
		case events.ProcessStopped.Number:
			running[line.Instance] = false
		}
	}
	return list
}

// missingEndCause explains why an attempt has no end.
func missingEndCause(last Line, restarts []Line) string {
	for _, start := range restarts {
		if start.Instance == last.Instance && start.Time.After(last.Time) {
			return "the instance exited without logging it while the request was in flight; it restarted at " + start.Time.Format(time.TimeOnly)
		}
	}
	return "the logs do not contain the end of the request: it is still running, the instance was stopped, or lines were dropped"
}

func isEnd(line Line) bool {
	switch line.Event {
	case events.ExchangeAnswered.Number, events.ExchangeRefused.Number, events.ExchangeAborted.Number:
		return true
	}
	return false
}

func (c *Collector) newCallerAttempt(lines []Line) CallerAttempt {
	t := CallerAttempt{Instance: lines[0].Instance, Lines: lines}
	t.Related = c.related(t)
	t.Cause = t.cause()
	return t
}

// related returns the instance's lines about the servers and tables that the attempt depended on.
func (c *Collector) related(t CallerAttempt) []Line {
	end := t.Lines[len(t.Lines)-1]
	var found []Line
	for _, line := range c.stateLines {
		if line.Instance != t.Instance || line.Time.After(end.Time) || end.Time.Sub(line.Time) > relatedWindow {
			continue
		}
		if t.dependsOn(line, end) {
			found = append(found, line)
		}
	}
	return found
}

// dependsOn reports whether a line is about the store, a server or the instance in a
// way that can explain the attempt's end.
func (t CallerAttempt) dependsOn(line, end Line) bool {
	switch line.Event {
	case events.StoreUnreachable.Number, events.StoreRestored.Number, events.ProcessStateChanged.Number, events.StoreEraChanged.Number:
		return end.Reason == string(dispatch.NotConfirmed) || end.Reason == string(dispatch.NoConfiguration)
	case events.ServerPaused.Number:
		return end.Reason == string(dispatch.ServersPaused) || slices.ContainsFunc(t.serverAttempts(), func(a Line) bool { return a.Server == line.Server })
	case events.ServerEjected.Number, events.ServerDeregistered.Number, events.ServerDraining.Number, events.ServerRestarted.Number,
		events.ServerLeaving.Number, events.ServerHeld.Number:
		return end.Reason == string(dispatch.NoServer) || end.Reason == string(dispatch.ServersPaused) || slices.ContainsFunc(t.serverAttempts(), func(a Line) bool { return a.Server == line.Server })
	case events.ProcessDraining.Number:
		return true
	}
	return false
}

// serverAttempts returns the lines of the attempts at backend servers.
func (t CallerAttempt) serverAttempts() []Line {
	var list []Line
	for _, line := range t.Lines {
		if line.Event == events.ExchangeAttempt.Number {
			list = append(list, line)
		}
	}
	return list
}

// cause explains the result of the attempt.
func (t CallerAttempt) cause() string {
	end := t.Lines[len(t.Lines)-1]
	switch end.Event {
	case events.ExchangeAnswered.Number:
		return t.answeredCause(end)
	case events.ExchangeRefused.Number, events.ExchangeAborted.Number:
		return t.failedCause(end)
	}
	return ""
}

func (t CallerAttempt) failedCause(end Line) string {
	switch dispatch.Reason(end.Reason) {
	case dispatch.NoConfiguration:
		return "the instance had just started and had not read a configuration yet"
	case dispatch.NotConfirmed:
		if end.AgeMS == 0 {
			return "the configuration had not been confirmed since the instance started: " + t.storeOutageText()
		}
		return fmt.Sprintf("the configuration was last confirmed %v earlier: %s", milliseconds(end.AgeMS), t.storeOutageText())
	case dispatch.NoRoute:
		return fmt.Sprintf("no route of revision %d matches the host and path", end.Revision)
	case dispatch.BadKey:
		return fmt.Sprintf("revision %d contains no such key", end.Revision)
	case dispatch.Withdrawn:
		return "a newer configuration removed the key, the route or the service before the request was sent"
	case dispatch.Quarantined:
		return "several servers disconnected, one after another, while running this content"
	case dispatch.CallerGone:
		return "the caller closed its connection" + t.serverAttemptsText()
	case dispatch.NoServer:
		return "no backend server was available" + t.unavailableServersText() + t.serverAttemptsText()
	case dispatch.ServersPaused:
		return fmt.Sprintf("all backend servers that could take the request had asked for a pause or named a limit that was used up; the caller may return %v later", milliseconds(end.RetryMS)) +
			t.pausedServersText() + t.serverAttemptsText()
	case dispatch.Overloaded:
		return "the backend servers had no free capacity" + t.serverAttemptsText()
	case dispatch.TimedOut:
		return fmt.Sprintf("the deadline expired after %v", milliseconds(end.DurationMS)) + t.serverAttemptsText()
	case dispatch.ServerFailed:
		return "backend servers failed; the last one may have run the request" + t.serverAttemptsText()
	case dispatch.Rejected:
		return "the backend server rejected the request as invalid" + t.serverAttemptsText()
	}
	return end.Reason + t.serverAttemptsText()
}

func (t CallerAttempt) storeOutageText() string {
	for _, line := range slices.Backward(t.Related) {
		switch line.Event {
		case events.StoreUnreachable.Number:
			return "the store became unreachable at " + line.Time.Format(time.TimeOnly) + detail(line.Error)
		case events.StoreEraChanged.Number:
			return fmt.Sprintf("the store was restored from an earlier copy, found at %s (era %d), and what it lost may not have been written again",
				line.Time.Format(time.TimeOnly), line.Era)
		}
	}
	return "neither the store nor a peer confirmed it; check the instance's connections"
}

func (t CallerAttempt) pausedServersText() string {
	paused := make(map[string]bool)
	for _, line := range t.Related {
		if line.Event == events.ServerPaused.Number {
			paused[line.Server] = true
		}
	}
	if len(paused) == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d asked for one in the preceding %v)", len(paused), relatedWindow)
}

func (t CallerAttempt) unavailableServersText() string {
	unavailable := 0
	for _, line := range t.Related {
		switch line.Event {
		case events.ServerEjected.Number, events.ServerDeregistered.Number, events.ServerDraining.Number, events.ServerLeaving.Number, events.ServerHeld.Number:
			unavailable++
		}
	}
	if unavailable == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d were found unresponsive, failing, draining or removed in the preceding %v)", unavailable, relatedWindow)
}

func (t CallerAttempt) serverAttemptsText() string {
	var parts []string
	for _, a := range t.serverAttempts() {
		parts = append(parts, a.Server+" "+attemptText(a))
	}
	if len(parts) == 0 {
		return "; the request was not sent"
	}
	return "; " + strings.Join(parts, ", then ")
}

func attemptText(a Line) string {
	switch a.Outcome {
	case retry.OutcomeDisconnected.String():
		return "disconnected after " + milliseconds(a.DurationMS).String()
	case retry.OutcomeTimeout.String():
		return "did not respond for " + milliseconds(a.DurationMS).String()
	case retry.OutcomeNoCapacity.String():
		return "had no free capacity"
	case retry.OutcomeServerError.String():
		return "returned a server error"
	case retry.OutcomeConnectFailed.String():
		return "could not be reached"
	}
	return "ended with outcome " + a.Outcome
}

// answeredCause explains the status, the latency and the model of an answer.
func (t CallerAttempt) answeredCause(end Line) string {
	if end.Status >= 500 {
		return fmt.Sprintf("the backend server responded with status %d", end.Status) + t.serverAttemptsText()
	}
	attempts := t.serverAttempts()
	if len(attempts) == 0 {
		return "answered; the logs do not contain its attempts"
	}
	last := attempts[len(attempts)-1]
	first := int64(0)
	for _, a := range attempts[:len(attempts)-1] {
		first += a.DurationMS
	}
	text := fmt.Sprintf("answered, first chunk after %v", milliseconds(first+last.LatencyMS))
	if last.Model != "" {
		text += ", by model " + last.Model
	}
	if last.Load > 0 {
		text += fmt.Sprintf("; the server had %.2f s of work ahead of it", last.Load)
	}
	if len(attempts) > 1 {
		text += t.serverAttemptsText()
	}
	return text
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func detail(text string) string {
	if text == "" {
		return ""
	}
	return ": " + text
}
